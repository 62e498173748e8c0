package balancer

import (
	"net/netip"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/requestlimit"
	"pollenhill.example/core/state/rule"
)

// Target is one back end that the entry node can send attempts to.
type Target struct {
	Backend     string
	Service     string
	Version     string // of its software, empty if it is not known
	Node        string
	PeerAddress netip.AddrPort // of the destination node
	Zone        string
	Region      string
	Incarnation uint64
	Slots       int // announced concurrency limit, 0 for that of the rules
	State       admission.State
	StartMillis int64              // start of the instance in Unix time, 0 if it is not known
	Observed    Observation        // set by Model.Pick for a pool
	KnownLimit  requestlimit.Limit // request limit of the back end as this entry node has heard it, set by Model.Pick
}

// Observation is what an entry node knew of a back end when it picked it.
type Observation struct {
	HintAge          time.Duration // age of the last hint, 0 without one
	Slowdown         float64       // expected service time over the normal one
	Requests         float64       // at the back end or queued for it
	Limit            int           // concurrency limit by the last hint, 0 without one
	FastAlternatives int           // other back ends that were fast and had a free slot
}

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Targets replaces the targets of every service.
type Targets struct{ List []Target }

// Rules replaces the rules in force.
type Rules struct{ Set *rule.Set }

// Begin reports that an attempt was sent to a back end.
type Begin struct{ Backend string }

// End reports the end of an attempt; Hint is nil if the response carried none.
type End struct {
	Backend string
	Result  Result
	Latency time.Duration
	Hint    *hint.Hint
}

// LoadReport reports a hint that did not arrive with the end of an attempt.
type LoadReport struct {
	Backend string
	Hint    hint.Hint
	Age     time.Duration // time since the hint was true, as far as known
}

func (LoadReport) msg() {}
func (Targets) msg()    {}
func (Rules) msg()      {}
func (Begin) msg()      {}
func (End) msg()        {}

// Query describes the attempt that Model.Pick picks a target for.
type Query struct {
	Service           string
	Exclude           []string // back ends already tried
	ResponseBytes     int      // usual size of the response; large ones cost more between zones
	SpareCapacityOnly bool     // only back ends with spare capacity, as for a hedge
	Contended         bool     // callers compete for room: picks near the limit of a pool are spread
	Urgent            bool     // with Contended: goes before most requests that wait at back ends
}
