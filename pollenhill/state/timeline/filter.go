package timeline

import (
	"slices"
	"strconv"
	"strings"
)

// Filter selects events; empty fields select everything.
type Filter struct {
	Request string // attempt ID, idempotency key or request ID
	Peer    string // process that wrote the event, or the node, back end or control process that it names
	Zone    string
	Event   string // number or name
}

// Fields of events that the filters look at.
var (
	requestFields = []string{"request", "attempt", "key"}
	peerFields    = []string{"peer", "node", "backend", "leader", "origin", "server"}
	zoneFields    = []string{"zone"}
)

// Match reports whether the filter selects e.
func (f Filter) Match(e Event) bool {
	return e.has(f.Request, requestFields) && (e.Process == f.Peer || e.has(f.Peer, peerFields)) &&
		e.has(f.Zone, zoneFields) && f.kind(e)
}

func (f Filter) kind(e Event) bool {
	return f.Event == "" || f.Event == strconv.Itoa(e.Kind) || strings.EqualFold(f.Event, e.Name)
}

func (e Event) has(value string, fields []string) bool {
	return value == "" || slices.ContainsFunc(fields, func(key string) bool { return text(e.Fields[key]) == value })
}
