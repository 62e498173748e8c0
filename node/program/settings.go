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
	Name    string         `json:"name" validate:"required,excludesall=/;"`
	Zone    string         `json:"zone" validate:"required"`
	Region  string         `json:"region" validate:"required"`
	Caller  netip.AddrPort `json:"caller" validate:"required"`
	Peer    netip.AddrPort `json:"peer" validate:"required"`
	Local   netip.AddrPort `json:"local" validate:"required"`
	Bind    netip.Addr     `json:"bind"`
	Control []Control      `json:"control" validate:"dive"`
	Seeds   []string       `json:"seeds"` // addresses of some control processes of a group that assembles itself
	Ready   netip.AddrPort `json:"ready"` // listener that tells whether the node takes callers; invalid: none
	Hints   netip.AddrPort `json:"hints"` // UDP listener for the load of back ends; invalid: only responses carry it
	Backend Backside       `json:"backend"`
	Headers header.Names   `json:"headers"` // that callers and the back end use
	Limits  Limits         `json:"limits"`
	Log     string         `json:"log"`
	Events  string         `json:"events"`
	TLS     *mtls.Config   `json:"tls,omitempty"` // of connections to other nodes and control processes; nil: plain
}

// Backside is what is known of the back end before it shows itself.
type Backside struct {
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Hangup  bool           `json:"hangup"` // it drops a request when the whole connection closes, not at the end of its input
}

// Control is one control process.
type Control struct {
	Name    string         `json:"name" validate:"required"`
	Address netip.AddrPort `json:"address" validate:"required"`
	Region  string         `json:"region"`
}

// Limits bounds what a node accepts and how long it waits; zero values mean the defaults.
type Limits struct {
	Header   int               `json:"header" validate:"gte=0"`           // bytes of a request header
	Body     int               `json:"body" validate:"gte=0"`             // bytes of a request body
	Memory   int               `json:"memory" validate:"gte=0"`           // bytes of all request bodies at once
	Inflight int               `json:"inflight" validate:"gte=0"`         // calls at once
	Depth    int               `json:"depth" validate:"gte=0"`            // requests of one connection that are read and not answered
	Ahead    int               `json:"ahead" validate:"gte=0"`            // requests of all connections that were read while an earlier one was not answered
	Peers    int               `json:"peers" validate:"gte=0"`            // connections to one other node
	Idle     settings.Duration `json:"idle" validate:"gte=0"`             // until an unused connection is closed
	Read     settings.Duration `json:"read" validate:"gte=0"`             // for receiving a request
	Stall    settings.Duration `json:"stall" validate:"gte=0"`            // without progress of a response
	Linger   settings.Duration `json:"linger" validate:"gte=0"`           // after SIGTERM until listeners close
	Serving  settings.Duration `json:"serving" validate:"gte=0"`          // part of Linger in which other nodes may still send work to the back end
	Grace    settings.Duration `json:"grace" validate:"gte=0"`            // after SIGTERM until the process ends with requests in flight; 0: it waits for all
	Kill     settings.Duration `json:"kill" validate:"gte=0"`             // after SIGTERM until the process is killed, from which Grace follows; 0: not known
	Keep     settings.Duration `json:"keep" validate:"gte=0"`             // until a connection to the back end or another node is not used again
	Whole    int               `json:"whole" validate:"gte=0"`            // bytes up to which a response is received before it is passed on
	Collect  int               `json:"collect" validate:"gte=0,lte=1000"` // growth of the heap between two runs of the collector, in percent
	Extra    float64           `json:"extra" validate:"gte=0,lte=1"`      // extra attempts over calls that all nodes together may send to a pool; 0: by the rules
	Promise  bool              `json:"promise"`                           // callers take 503 as the promise that a request did not run, and a Retry-After in fractions of a second
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
		Header:   cmp.Or(l.Header, defaultHeader),
		Body:     cmp.Or(l.Body, defaultBody),
		Memory:   cmp.Or(l.Memory, defaultMemory),
		Inflight: cmp.Or(l.Inflight, defaultInflight),
		Depth:    cmp.Or(l.Depth, defaultDepth),
		Ahead:    cmp.Or(l.Ahead, defaultAhead),
		Peers:    cmp.Or(l.Peers, defaultPeers),
		Idle:     cmp.Or(l.Idle, settings.Duration(defaultIdle)),
		Read:     cmp.Or(l.Read, settings.Duration(defaultRead)),
		Stall:    cmp.Or(l.Stall, settings.Duration(defaultStall)),
		Linger:   cmp.Or(l.Linger, settings.Duration(defaultLinger)),
		Keep:     cmp.Or(l.Keep, l.Idle, settings.Duration(defaultIdle)),
		Whole:    cmp.Or(l.Whole, message.BufferedBodySize),
		Grace:    cmp.Or(l.Grace, l.Kill/killShares*(killShares-1)),
		Serving:  min(l.Serving, cmp.Or(l.Linger, settings.Duration(defaultLinger))),
		Collect:  cmp.Or(l.Collect, defaultCollect),
		Extra:    l.Extra,
		Promise:  l.Promise,
	}
}

// Load reads the settings file at path; errors name the field's path.
func Load(path string) (Settings, error) {
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
