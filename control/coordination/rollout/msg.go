package rollout

import (
	"time"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
)

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Orders replaces the rollouts that the control group holds.
type Orders struct{ List []Order }

// Order is a rollout in its present state.
type Order struct {
	rule.Rollout
	Index    uint64        // of the order in the log; progress is bound to it
	Revision uint64        // revision of the rules that contain this state
	Age      time.Duration // since the order was given
}

// Observed reports what a node saw of the back end beside it.
type Observed struct{ Observation *control.Observation }

// Tick makes the leader decide; a control process that does not lead sends none.
type Tick struct{}

func (Orders) msg()   {}
func (Observed) msg() {}
func (Tick) msg()     {}

// Advance is the decision to change the share or the state of a rollout.
type Advance struct {
	Service  string
	Index    uint64 // of the order
	Share    rule.Ratio
	State    rule.RolloutState
	Replaced []string // other versions that were seen, for a completed rollout
	Reason   Reason
	Elapsed  time.Duration // since the order
	Evidence Evidence
}

// Evidence summarizes what a decision is based on.
type Evidence struct {
	Route                         string // with the strongest sign of a fault, empty if there is none
	TargetAnswers, TargetFailures uint64
	OtherAnswers, OtherFailures   uint64
	TargetBackends, OtherBackends int
}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Reason -linecomment

// Reason says why a rollout is advanced or reverted.
type Reason int

// Reasons of decisions.
const (
	NoFault      Reason = iota // no fault seen
	Drained                    // nothing runs at the other versions
	TargetFails                // the target version fails more requests
	TargetSlow                 // the target version is slower
	TimeLimit                  // the time limit passed
	FaultSuspect               // a fault is likely, and the time for more evidence is over
)
