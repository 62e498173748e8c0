package tcp

import (
	"fmt"
	"net/netip"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Step -linecomment

// Step is the part of an exchange or of a handshake in which an error occurred.
type Step int

// Steps of an exchange or a handshake. The line comments are the values of String.
const (
	// AcquireConnection waits for one of the connections of a Pool to become free.
	AcquireConnection Step = iota // wait for a connection
	// Connect opens a connection.
	Connect // connect
	// WriteRequest sends the header and the body of a request.
	WriteRequest // write request
	// ReadHeader reads the header of a response.
	ReadHeader // read response header
	// ReadBody reads the body of a response.
	ReadBody // read response body
	// ClientHandshake is the TLS handshake of a connection that this process opened.
	ClientHandshake // TLS handshake to
	// ServerHandshake is the TLS handshake of a connection that this process accepted.
	ServerHandshake // TLS handshake from
)

// Error is a failed step of an exchange with Peer.
type Error struct {
	Step     Step
	Peer     netip.AddrPort
	WroteAny bool // the kernel accepted at least one byte of the request; of its body, if the exchange asks before it sends that
	Err      error
	// PeerDone is closed when Peer is known to have stopped working on the request, or when PoolConfig.AbandonTimeout
	// has passed. It is nil if there was no connection, and for ReadBody.
	PeerDone <-chan struct{}
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
