package program

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/header"
	"pollenhill.example/core/state/settings"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/node/protocol/message"
)

// Settings is the content of the JSON settings file of a node.
type Settings struct {
	Name             string           `json:"name" validate:"required,excludesall=/;"`
	Zone             string           `json:"zone" validate:"required"`
	Region           string           `json:"region" validate:"required"`
	CallerAddress    netip.AddrPort   `json:"caller" validate:"required"` // TCP listener for callers
	PeerAddress      netip.AddrPort   `json:"peer" validate:"required"`   // TCP listener for other nodes
	LocalAddress     netip.AddrPort   `json:"local" validate:"required"`  // TCP listener for the back end and operators
	Bind             netip.Addr       `json:"bind"`                       // source address of outgoing connections; invalid: any
	ControlProcesses []ControlProcess `json:"control" validate:"dive"`
	Seeds            []string         `json:"seeds"` // addresses of some control processes of a group with dynamic membership
	ReadyAddress     netip.AddrPort   `json:"ready"` // TCP listener that reports whether the node takes callers; invalid: none
	HintsAddress     netip.AddrPort   `json:"hints"` // UDP address for load reports from and to other nodes; invalid: only responses carry hints
	Backend          BackendSettings  `json:"backend"`
	Headers          header.Names     `json:"headers"` // names that callers and the back end use
	Limits           Limits           `json:"limits"`
	LogFile          string           `json:"log"`           // path; empty: standard error
	EventFile        string           `json:"events"`        // path; empty: same as log
	TLS              *mtls.Config     `json:"tls,omitempty"` // for connections to other nodes and control processes; nil: no TLS
}

// BackendSettings is what the node knows about the back end before its first heartbeat or announcement.
type BackendSettings struct {
	Service       string         `json:"service"`
	Address       netip.AddrPort `json:"address"`
	CancelByClose bool           `json:"hangup"` // the back end cancels a request when its connection is closed, not at the end of its input
}

// ControlProcess is one control process in the settings.
type ControlProcess struct {
	Name    string         `json:"name" validate:"required"`
	Address netip.AddrPort `json:"address" validate:"required"`
	Region  string         `json:"region"`
}

// Limits bounds what a node accepts and how long it waits. Zero values mean the defaults.
type Limits struct {
	MaxHeaderBytes      int               `json:"header" validate:"gte=0"`           // size of a request header
	MaxBodyBytes        int               `json:"body" validate:"gte=0"`             // size of a request body
	BodyMemory          int               `json:"memory" validate:"gte=0"`           // bytes of all request bodies together
	ResponseMemory      int               `json:"buffers" validate:"gte=0"`          // bytes of all responses that are received whole before they are passed on; without room one is passed on as it arrives
	MaxCalls            int               `json:"inflight" validate:"gte=0"`         // calls in flight
	MaxPipelined        int               `json:"depth" validate:"gte=0"`            // unanswered requests that are read from one connection
	MaxReadAhead        int               `json:"ahead" validate:"gte=0"`            // requests of all connections that are read before an earlier one of their connection is answered
	MaxPeerConnections  int               `json:"peers" validate:"gte=0"`            // connections to one other node
	IdleTimeout         settings.Duration `json:"idle" validate:"gte=0"`             // for unused connections of callers and other nodes
	ReadTimeout         settings.Duration `json:"read" validate:"gte=0"`             // for receiving a request
	StallTimeout        settings.Duration `json:"stall" validate:"gte=0"`            // longest time without progress of a response
	ListenerCloseDelay  settings.Duration `json:"linger" validate:"gte=0"`           // from SIGTERM until the listeners close
	BackendLeaveDelay   settings.Duration `json:"serving" validate:"gte=0"`          // from SIGTERM until the back end gets no new attempts; at most ListenerCloseDelay
	ShutdownTimeout     settings.Duration `json:"grace" validate:"gte=0"`            // from the end of BackendLeaveDelay until the process ends with requests in flight; 0: KillDelay alone decides
	KillDelay           settings.Duration `json:"kill" validate:"gte=0"`             // from SIGTERM until the process is killed; 0: not known, so that without ShutdownTimeout the node waits for all requests
	OutboundIdleTimeout settings.Duration `json:"keep" validate:"gte=0"`             // for unused connections to the back end and other nodes; 0: IdleTimeout
	MaxBufferedBytes    int               `json:"whole" validate:"gte=0"`            // size up to which a response is received whole before it is passed on
	GCPercent           int               `json:"collect" validate:"gte=0,lte=1000"` // growth of the heap between two garbage collections, in percent
	ExtraAttemptRatio   float64           `json:"extra" validate:"gte=0,lte=1"`      // retry budget: extra attempts per call that all nodes together may send to a pool; 0: from the rules
	AllowanceSlack      float64           `json:"slack" validate:"gte=0"`            // requests above the allowance of an account in 5 s that are tolerated; a part evens out small accounts
	Guarantee503        bool              `json:"promise"`                           // callers take 503 as proof that the request did not run, and accept a Retry-After in fractions of a second
}

// Defaults of Limits.
const (
	defaultMaxHeaderBytes     = 16 << 10
	defaultMaxBodyBytes       = 1 << 20
	defaultBodyMemory         = 64 << 20 // bytes; leaves three quarters of the 256 MB of a node, with defaultResponseMemory over a half
	defaultResponseMemory     = 32 << 20 // bytes
	defaultMaxCalls           = 4096
	defaultMaxPipelined       = 32
	defaultMaxReadAhead       = 1024 // with the largest header and a body of 16 KiB each, these requests take half of defaultBodyMemory
	defaultMaxPeerConnections = 256
	defaultIdleTimeout        = 30 * time.Second
	defaultReadTimeout        = 10 * time.Second
	defaultStallTimeout       = 30 * time.Second
	defaultGCPercent          = 50          // keeps the heap small, since the VM belongs to the back end; a node does little work, so that collections cost little
	defaultListenerCloseDelay = time.Second // other nodes learn within a few hundred milliseconds that the back end is leaving
)

// withDefaults returns l with defaults in place of zero values.
func (l Limits) withDefaults() Limits {
	return Limits{
		MaxHeaderBytes:      cmp.Or(l.MaxHeaderBytes, defaultMaxHeaderBytes),
		MaxBodyBytes:        cmp.Or(l.MaxBodyBytes, defaultMaxBodyBytes),
		BodyMemory:          cmp.Or(l.BodyMemory, defaultBodyMemory),
		ResponseMemory:      cmp.Or(l.ResponseMemory, defaultResponseMemory),
		MaxCalls:            cmp.Or(l.MaxCalls, defaultMaxCalls),
		MaxPipelined:        cmp.Or(l.MaxPipelined, defaultMaxPipelined),
		MaxReadAhead:        cmp.Or(l.MaxReadAhead, defaultMaxReadAhead),
		MaxPeerConnections:  cmp.Or(l.MaxPeerConnections, defaultMaxPeerConnections),
		IdleTimeout:         cmp.Or(l.IdleTimeout, settings.Duration(defaultIdleTimeout)),
		ReadTimeout:         cmp.Or(l.ReadTimeout, settings.Duration(defaultReadTimeout)),
		StallTimeout:        cmp.Or(l.StallTimeout, settings.Duration(defaultStallTimeout)),
		ListenerCloseDelay:  cmp.Or(l.ListenerCloseDelay, settings.Duration(defaultListenerCloseDelay)),
		OutboundIdleTimeout: cmp.Or(l.OutboundIdleTimeout, l.IdleTimeout, settings.Duration(defaultIdleTimeout)),
		MaxBufferedBytes:    cmp.Or(l.MaxBufferedBytes, message.BufferedBodySize),
		ShutdownTimeout:     l.ShutdownTimeout,
		KillDelay:           l.KillDelay,
		BackendLeaveDelay:   l.BackendLeaveDelay,
		GCPercent:           cmp.Or(l.GCPercent, defaultGCPercent),
		ExtraAttemptRatio:   l.ExtraAttemptRatio,
		AllowanceSlack:      l.AllowanceSlack,
		Guarantee503:        l.Guarantee503,
	}
}

// LoadSettings reads and checks the settings file at path; an error names the path of the invalid field.
func LoadSettings(path string) (Settings, error) {
	s, err := settings.Load[Settings](path)
	if err != nil {
		return s, err
	}
	for i, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return s, errors.Wrapf(err, "settings %s: field seeds[%d]", path, i)
		}
	}
	return s, nil
}
