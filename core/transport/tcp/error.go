package tcp

import (
	"fmt"
	"net/netip"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Step -linecomment

// Step is the part of an exchange in which an error occurred.
type Step int

// Steps of an exchange.
const (
	AcquireConnection Step = iota // wait for a connection
	Connect                       // connect
	WriteRequest                  // write request
	ReadHeader                    // read response header
	ReadBody                      // read response body
	ClientHandshake               // TLS handshake to
	ServerHandshake               // TLS handshake from
)

// Error is a failed step of an exchange with Peer.
type Error struct {
	Step     Step
	Peer     netip.AddrPort
	WroteAny bool // at least one byte of the request was handed to the kernel
	Err      error
	PeerDone <-chan struct{} // closed when Peer is known to work on the request no longer, or PoolConfig.Reap has passed; nil if there was no connection
}

// Error names the step and the peer.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
