package balancer

import (
	"net/netip"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/rule"
)

// Target is one back end that the entry node can send attempts to.
type Target struct {
	Backend     string
	Service     string
	Node        string
	PeerAddress netip.AddrPort // peer address of the destination node
	Zone        string
	Region      string
	Incarnation uint64
	Slots       int
	State       admission.State
	Observed    Observation // what decided the choice
}

// Observation is what an entry node knew of a back end when it chose it.
type Observation struct {
	HintAge          time.Duration // of the report, 0 without one
	Slowdown         float64       // how long work took over its usual time
	Requests         float64       // requests there
	FastAlternatives int           // other back ends that were fast and had room
}

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Targets replaces the targets of every service.
type Targets struct{ List []Target }

// Rules replaces the rules in force.
type Rules struct{ Set *rule.Set }

// Begin reports that an attempt was sent to a back end.
type Begin struct{ Backend string }

// End reports the end of an attempt; Hint is nil when the response carried none.
type End struct {
	Backend string
	Result  Result
	Latency time.Duration
	Hint    *hint.Hint
}

// LoadReport brings a hint that did not come with the end of an attempt.
type LoadReport struct {
	Backend string
	Hint    hint.Hint
	Age     time.Duration // since the hint was true, as far as it is known
}

func (LoadReport) msg() {}
func (Targets) msg()    {}
func (Rules) msg()      {}
func (Begin) msg()      {}
func (End) msg()        {}

// Query asks for a target.
type Query struct {
	Service           string
	Exclude           []string // back ends already tried
	ResponseBytes     int      // usual bytes of the response, which cost more between zones
	SpareCapacityOnly bool     // only back ends with free slots, as for a hedge
}
