package destination

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Arrive reports a completely received attempt.
type Arrive struct {
	ID          attempt.ID
	Incarnation uint64 // of the destination node that the entry node addressed
	Service     string
	Deadline    time.Time
	Priority    rule.Priority
	Depth       int
	Route       string        // empty for a request that a service line led here
	Rerun       bool          // an earlier attempt of the same request may run or have run
	Objective   time.Duration // left until an answer is not of full use any more
	Movable     bool          // the entry node knows a faster back end with room
}

// Cancel reports that the entry node gave up an attempt; the answer is Verdict.
type Cancel struct {
	ID          attempt.ID
	Incarnation uint64
}

// ConnectionLost reports that the connection of an attempt to its entry node broke.
type ConnectionLost struct{ ID attempt.ID }

// Done reports the end of an attempt that was told to Start.
type Done struct {
	ID      attempt.ID
	Result  admission.Result
	Latency time.Duration
}

// Backend replaces what the local back end announced; an expired lease is the zero Backend.
type Backend struct {
	Name        string
	Service     string
	Slots       int
	Connections int
	State       admission.State
}

// Rules replaces the rules in force.
type Rules struct{ Set *rule.Set }

// Connections reports the connections to the back end: Open are left after it closed Closed of them.
type Connections struct{ Open, Closed int }

// Slowdown reports how long work takes at the back end now, over its usual time.
type Slowdown struct{ Factor float64 }

// Leave makes the node refuse every new attempt: it is shutting down.
type Leave struct{}

// Tick lets time pass.
type Tick struct{}

func (Arrive) msg()         {}
func (Cancel) msg()         {}
func (ConnectionLost) msg() {}
func (Done) msg()           {}
func (Backend) msg()        {}
func (Rules) msg()          {}
func (Connections) msg()    {}
func (Slowdown) msg()       {}
func (Leave) msg()          {}
func (Tick) msg()           {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Start lets an attempt go to the back end.
type Start struct{ ID attempt.ID }

// Refuse ends an attempt without the back end.
type Refuse struct {
	ID         attempt.ID
	Reason     refusal.Reason
	Outcome    attempt.Outcome
	RetryAfter time.Duration
}

// Abort ends a started attempt by closing its connection to the back end.
type Abort struct{ ID attempt.ID }

// CancelResult answers a Cancel.
type CancelResult struct {
	ID      attempt.ID
	Outcome CancelOutcome
}

// CheckSpeed asks for the speed of the back end at once; the result is Pace.
type CheckSpeed struct{}

// OpenConnections asks for new connections to the back end before they are needed.
type OpenConnections struct{ Count int }

func (OpenConnections) cmd() {}
func (CheckSpeed) cmd()      {}
func (Start) cmd()           {}
func (Refuse) cmd()          {}
func (Abort) cmd()           {}
func (CancelResult) cmd()    {}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=CancelOutcome -linecomment

// CancelOutcome is what a destination node knows about a cancelled attempt.
type CancelOutcome int

// Answers to a Cancel.
const (
	Unknown CancelOutcome = iota // unknown
	NotRun                       // not-run
	Started                      // started
)
