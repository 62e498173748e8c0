package timeline

import (
	"slices"
	"strconv"
	"strings"
)

// Filter selects events; empty fields select everything.
type Filter struct {
	Request string // attempt ID, Idempotency-Key or request ID
	Peer    string // process that logged the event, or a node, back end or control process that the event names
	Zone    string // zone that the event names
	Event   string // number or name of the event; upper and lower case are the same
}

// Names of the event fields that each filter compares.
var (
	requestFields = []string{"request", "attempt", "key"}
	peerFields    = []string{"peer", "node", "backend", "leader", "origin", "server"}
	zoneFields    = []string{"zone"}
)

// Match reports whether the filter selects e.
func (f Filter) Match(e Event) bool {
	return e.hasValue(f.Request, requestFields) && (e.Process == f.Peer || e.hasValue(f.Peer, peerFields)) &&
		e.hasValue(f.Zone, zoneFields) && f.matchesEvent(e)
}

func (f Filter) matchesEvent(e Event) bool {
	return f.Event == "" || f.Event == strconv.Itoa(e.Kind) || strings.EqualFold(f.Event, e.Name)
}

func (e Event) hasValue(value string, fields []string) bool {
	return value == "" || slices.ContainsFunc(fields, func(key string) bool { return fieldText(e.Fields[key]) == value })
}
