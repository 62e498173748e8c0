package choice

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
	Peer        netip.AddrPort // peer address of the destination node
	Zone        string
	Region      string
	Incarnation uint64
	Slots       int
	State       admission.State
	Seen        Seen // what decided the choice
}

// Seen is what an entry node knew of a back end when it chose it.
type Seen struct {
	Age    time.Duration // of the report, 0 without one
	Pace   float64       // how long work took over its usual time
	Load   float64       // requests there
	Others int           // other back ends that were fast and had room
}

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Members replaces the targets of every service.
type Members struct{ Targets []Target }

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

// Report brings a hint that did not come with the end of an attempt.
type Report struct {
	Backend string
	Hint    hint.Hint
	Age     time.Duration // since the hint was true, as far as it is known
}

func (Report) msg()  {}
func (Members) msg() {}
func (Rules) msg()   {}
func (Begin) msg()   {}
func (End) msg()     {}

// Query asks for a target.
type Query struct {
	Service string
	Avoid   []string // back ends already tried
	Size    int      // usual bytes of the response, which cost more between zones
	Spare   bool     // only back ends with free slots, as for a hedge
}
