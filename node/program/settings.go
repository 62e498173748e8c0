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

// Settings is the JSON settings file of a node.
type Settings struct {
	Name             string           `json:"name" validate:"required,excludesall=/;"`
	Zone             string           `json:"zone" validate:"required"`
	Region           string           `json:"region" validate:"required"`
	CallerAddress    netip.AddrPort   `json:"caller" validate:"required"`
	PeerAddress      netip.AddrPort   `json:"peer" validate:"required"`
	LocalAddress     netip.AddrPort   `json:"local" validate:"required"`
	Bind             netip.Addr       `json:"bind"`
	ControlProcesses []ControlProcess `json:"control" validate:"dive"`
	Seeds            []string         `json:"seeds"` // addresses of some control processes of a group that assembles itself
	ReadyAddress     netip.AddrPort   `json:"ready"` // listener that tells whether the node takes callers; invalid: none
	HintsAddress     netip.AddrPort   `json:"hints"` // UDP listener for the load of back ends; invalid: only responses carry it
	Backend          BackendSettings  `json:"backend"`
	Headers          header.Names     `json:"headers"` // that callers and the back end use
	Limits           Limits           `json:"limits"`
	LogFile          string           `json:"log"`
	EventFile        string           `json:"events"`
	TLS              *mtls.Config     `json:"tls,omitempty"` // of connections to other nodes and control processes; nil: plain
}

// BackendSettings is what is known of the back end before it shows itself.
type BackendSettings struct {
	Service       string         `json:"service"`
	Address       netip.AddrPort `json:"address"`
	CancelByClose bool           `json:"hangup"` // it drops a request when the whole connection closes, not at the end of its input
}

// ControlProcess is one control process.
type ControlProcess struct {
	Name    string         `json:"name" validate:"required"`
	Address netip.AddrPort `json:"address" validate:"required"`
	Region  string         `json:"region"`
}

// Limits bounds what a node accepts and how long it waits; zero values mean the defaults.
type Limits struct {
	MaxHeaderBytes      int               `json:"header" validate:"gte=0"`           // bytes of a request header
	MaxBodyBytes        int               `json:"body" validate:"gte=0"`             // bytes of a request body
	BodyMemory          int               `json:"memory" validate:"gte=0"`           // bytes of all request bodies at once
	MaxCalls            int               `json:"inflight" validate:"gte=0"`         // calls at once
	MaxPipelined        int               `json:"depth" validate:"gte=0"`            // requests of one connection that are read and not answered
	MaxReadAhead        int               `json:"ahead" validate:"gte=0"`            // requests of all connections that were read while an earlier one was not answered
	MaxPeerConnections  int               `json:"peers" validate:"gte=0"`            // connections to one other node
	IdleTimeout         settings.Duration `json:"idle" validate:"gte=0"`             // until an unused connection is closed
	ReadTimeout         settings.Duration `json:"read" validate:"gte=0"`             // for receiving a request
	StallTimeout        settings.Duration `json:"stall" validate:"gte=0"`            // without progress of a response
	ListenerCloseDelay  settings.Duration `json:"linger" validate:"gte=0"`           // after SIGTERM until listeners close
	BackendLeaveDelay   settings.Duration `json:"serving" validate:"gte=0"`          // part of Linger in which other nodes may still send work to the back end
	ShutdownTimeout     settings.Duration `json:"grace" validate:"gte=0"`            // after SIGTERM until the process ends with requests in flight; 0: it waits for all
	KillDelay           settings.Duration `json:"kill" validate:"gte=0"`             // after SIGTERM until the process is killed, from which Grace follows; 0: not known
	OutboundIdleTimeout settings.Duration `json:"keep" validate:"gte=0"`             // until a connection to the back end or another node is not used again
	MaxBufferedBytes    int               `json:"whole" validate:"gte=0"`            // bytes up to which a response is received before it is passed on
	GCPercent           int               `json:"collect" validate:"gte=0,lte=1000"` // growth of the heap between two runs of the collector, in percent
	ExtraAttemptRatio   float64           `json:"extra" validate:"gte=0,lte=1"`      // extra attempts over calls that all nodes together may send to a pool; 0: by the rules
	Guarantee503        bool              `json:"promise"`                           // callers take 503 as the promise that a request did not run, and a Retry-After in fractions of a second
}

// Defaults of Limits.
const (
	defaultHeader   = 16 << 10
	defaultBody     = 1 << 20
	defaultMemory   = 64 << 20 // leaves three quarters of the 256 MB of a node
	defaultInflight = 4096
	defaultDepth    = 32
	defaultAhead    = 1024 // with the largest header and 16 KiB of body each, half of defaultMemory
	defaultPeers    = 256
	defaultIdle     = 30 * time.Second
	defaultRead     = 10 * time.Second
	defaultStall    = 30 * time.Second
	defaultCollect  = 50          // a node works little, and its VM belongs to the back end
	defaultLinger   = time.Second // other nodes learn of the leaving within a few hundred milliseconds
)

// killShares is into how many parts the time until a kill is divided; the last one is left for the end of the process.
const killShares = 10

// withDefaults replaces zero values.
func (l Limits) withDefaults() Limits {
	return Limits{
		MaxHeaderBytes:      cmp.Or(l.MaxHeaderBytes, defaultHeader),
		MaxBodyBytes:        cmp.Or(l.MaxBodyBytes, defaultBody),
		BodyMemory:          cmp.Or(l.BodyMemory, defaultMemory),
		MaxCalls:            cmp.Or(l.MaxCalls, defaultInflight),
		MaxPipelined:        cmp.Or(l.MaxPipelined, defaultDepth),
		MaxReadAhead:        cmp.Or(l.MaxReadAhead, defaultAhead),
		MaxPeerConnections:  cmp.Or(l.MaxPeerConnections, defaultPeers),
		IdleTimeout:         cmp.Or(l.IdleTimeout, settings.Duration(defaultIdle)),
		ReadTimeout:         cmp.Or(l.ReadTimeout, settings.Duration(defaultRead)),
		StallTimeout:        cmp.Or(l.StallTimeout, settings.Duration(defaultStall)),
		ListenerCloseDelay:  cmp.Or(l.ListenerCloseDelay, settings.Duration(defaultLinger)),
		OutboundIdleTimeout: cmp.Or(l.OutboundIdleTimeout, l.IdleTimeout, settings.Duration(defaultIdle)),
		MaxBufferedBytes:    cmp.Or(l.MaxBufferedBytes, message.BufferedBodySize),
		ShutdownTimeout:     cmp.Or(l.ShutdownTimeout, l.KillDelay/killShares*(killShares-1)),
		BackendLeaveDelay:   min(l.BackendLeaveDelay, cmp.Or(l.ListenerCloseDelay, settings.Duration(defaultLinger))),
		GCPercent:           cmp.Or(l.GCPercent, defaultCollect),
		ExtraAttemptRatio:   l.ExtraAttemptRatio,
		Guarantee503:        l.Guarantee503,
	}
}

// LoadSettings reads the settings file at path; errors name the field's path.
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
