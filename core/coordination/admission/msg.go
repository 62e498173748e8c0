package admission

import (
	"time"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Arrive reports a new attempt.
type Arrive struct {
	ID               attempt.ID
	Deadline         time.Time
	Priority         rule.Level
	Route            string        // whose requests take about the same time
	ObjectiveAt      time.Time     // until then an answer is of full use
	LatencyObjective time.Duration // the whole time of the route until Aim
	Rerun            bool          // an earlier attempt of the same request may run or have run
	Movable          bool          // the entry node knows a faster back end with room

	since time.Time // start of the wait
}

// Cancel asks that an attempt that has not started never start; the answer is Cancelled or Running.
type Cancel struct{ ID attempt.ID }

// Done reports the end of a started attempt.
type Done struct {
	ID      attempt.ID
	Result  Result
	Latency time.Duration
}

// BackendState reports the announced state of the back end.
type BackendState struct{ State State }

// Limits reports the rules in force for the back end.
type Limits struct {
	Slots       int
	QueueLength int
	ColdSlots   int
	OutReason   refusal.Reason // ZoneOut or BackendOut while the rules take it out, else None

	Connections int // connections that the back end takes; limits the warming

	FixedLimit bool    // the back end says itself how many requests it takes at once and when it is cold
	ColdRate   float64 // with Fixed: requests a second that it takes while it is cold; 0: no limit
}

// defaults fills limits that are not set; a negative queue means none.
func (l Limits) defaults() Limits {
	if l.Slots <= 0 {
		l.Slots = rule.DefaultSlots
	}
	if l.ColdSlots <= 0 {
		l.ColdSlots = rule.DefaultCold
	}
	if l.QueueLength == 0 {
		l.QueueLength = rule.DefaultQueue
	}
	if l.Connections <= 0 {
		l.Connections = rule.DefaultConnections
	}
	return l
}

// Tick lets time pass: expired attempts leave the queue.
type Tick struct{}

// HealthCheck reports the result of a health check.
type HealthCheck struct{ OK bool }

// ConnectionsClosed reports connections that the back end closed; All says that none is left, as after a restart.
type ConnectionsClosed struct {
	Count int
	All   bool
}

// Slowdown reports how long work takes at the back end now, over its usual time.
type Slowdown struct{ Factor float64 }

// ConnectionCount reports how many connections to the back end are open.
type ConnectionCount struct{ Count int }

func (HealthCheck) msg()       {}
func (ConnectionsClosed) msg() {}
func (ConnectionCount) msg()   {}
func (Slowdown) msg()          {}
func (Arrive) msg()            {}
func (Cancel) msg()            {}
func (Done) msg()              {}
func (BackendState) msg()      {}
func (Limits) msg()            {}
func (Tick) msg()              {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Start lets an attempt go to the back end.
type Start struct{ ID attempt.ID }

// Refuse ends an attempt as not run; After is the wait to suggest to the caller. With the reason
// Duplicate it refers to the later arrival only.
type Refuse struct {
	ID         attempt.ID
	Reason     refusal.Reason
	RetryAfter time.Duration
}

// Cancelled answers a Cancel: the attempt has not started and never will.
type Cancelled struct{ ID attempt.ID }

// Running answers a Cancel: the attempt has started.
type Running struct{ ID attempt.ID }

// CheckSpeed asks for the speed of the back end at once; the result is Speed.
type CheckSpeed struct{}

// OpenConnections asks for new connections to the back end before they are needed.
type OpenConnections struct{ Count int }

func (OpenConnections) cmd() {}
func (CheckSpeed) cmd()      {}
func (Start) cmd()           {}
func (Refuse) cmd()          {}
func (Cancelled) cmd()       {}
func (Running) cmd()         {}

// View is a copy of the figures that hints and metrics need.
type View struct {
	Hint       hint.Hint
	State      State
	Limit      int
	RerunShare float64 // share of the started requests that are second runs
}
