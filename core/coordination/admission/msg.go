package admission

import (
	"time"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/protocol/requestlimit"
	"pollenhill.example/core/state/rule"
)

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Arrive reports a new attempt; the answer is Start or Refuse, at once or later.
type Arrive struct {
	ID               attempt.ID
	Deadline         time.Time
	Priority         rule.Priority
	Rank             int                // priority number of a request on a route, 0 for the most urgent
	RouteRank        int                // priority number of the route, which decides between requests of the same Rank
	Account          string             // client account of the request, empty for none
	Nested           bool               // sent on behalf of another request, which holds a slot until this one ends
	Route            string             // requests of one route have similar service times
	ObjectiveAt      time.Time          // when LatencyObjective ends; a later answer loses part of its use
	LatencyObjective time.Duration      // time left for the request on its arrival, 0 if none is left
	Rerun            bool               // an earlier attempt of the same request may run or have run
	Movable          bool               // the entry node knows a faster back end with free slots
	KnownLimit       requestlimit.Limit // request limit of the back end as the entry node has heard it

	// Set by Model.
	arrivedAt    time.Time
	exceedsUsual bool // its account sends more than usual
	neglected    bool // its route gets a smaller share of the starts than others
}

// Cancel asks that an attempt never start if it has not yet; the answer is Cancelled or Running.
type Cancel struct{ ID attempt.ID }

// Done reports the end of a started attempt and its latency at the back end.
type Done struct {
	ID      attempt.ID
	Result  Result
	Latency time.Duration
}

// BackendState reports the announced state of the back end.
type BackendState struct{ State State }

// Limits replaces the limits of the back end, as the rules in force and the back end itself set them.
type Limits struct {
	Slots       int            // largest number of requests in flight
	QueueLength int            // waiting attempts while all slots are in use; negative for no queue
	ColdSlots   int            // requests in flight while the back end is cold
	OutReason   refusal.Reason // ZoneOutOfService or BackendOutOfService while the rules say so, else None

	Connections int // largest number of connections to the back end

	// FixedLimit is set if the back end itself reports its concurrency limit and when it is cold, so that the limit is
	// not adapted to latency and failures.
	FixedLimit bool
	ColdRate   float64 // with FixedLimit: requests per second while the back end is cold; 0 for no limit

	// ByCost is set, with FixedLimit, if requests are ordered and refused by what their delay costs callers.
	ByCost bool
}

// defaults returns l with defaults for the limits that are not set.
func (l Limits) defaults() Limits {
	if l.Slots <= 0 {
		l.Slots = rule.DefaultSlots
	}
	if l.ColdSlots <= 0 {
		l.ColdSlots = rule.DefaultColdSlots
	}
	if l.QueueLength == 0 {
		l.QueueLength = rule.DefaultQueueLength
	}
	if l.Connections <= 0 {
		l.Connections = rule.DefaultMaxConnections
	}
	return l
}

// Tick advances the time: expired attempts leave the queue.
type Tick struct{}

// HealthCheck reports the result of a health check.
type HealthCheck struct{ OK bool }

// ConnectionsClosed reports connections that the back end closed; All is set if none is left, as after a restart.
type ConnectionsClosed struct {
	Count int
	All   bool
}

// Slowdown reports the factor by which service time at the back end is above normal now.
type Slowdown struct{ Factor float64 }

// RequestLimit reports the request limit that the back end named in its newest response, none included.
type RequestLimit struct{ Limit requestlimit.Limit }

// CheckSent reports a health check or speed check, which the back end counts as a request.
type CheckSent struct{}

// NewInstance reports that another instance of the back end runs, whose request limit is unknown.
type NewInstance struct{}

// ConnectionCount reports the number of open connections to the back end.
type ConnectionCount struct{ Count int }

func (HealthCheck) msg()       {}
func (ConnectionsClosed) msg() {}
func (ConnectionCount) msg()   {}
func (RequestLimit) msg()      {}
func (CheckSent) msg()         {}
func (NewInstance) msg()       {}
func (Slowdown) msg()          {}
func (Arrive) msg()            {}
func (Cancel) msg()            {}
func (Done) msg()              {}
func (BackendState) msg()      {}
func (Limits) msg()            {}
func (Tick) msg()              {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Start sends an attempt to the back end.
type Start struct{ ID attempt.ID }

// Refuse ends an attempt as not run; RetryAfter is the wait to suggest to the caller. With the reason DuplicateAttempt it
// refers to the later arrival only.
type Refuse struct {
	ID         attempt.ID
	Reason     refusal.Reason
	RetryAfter time.Duration
}

// Cancelled answers a Cancel: the attempt has not started and never will.
type Cancelled struct{ ID attempt.ID }

// Running answers a Cancel: the attempt has started.
type Running struct{ ID attempt.ID }

// CheckSpeed asks for an immediate speed check of the back end; the result is Slowdown.
type CheckSpeed struct{}

// OpenConnections asks for Count new connections to the back end before requests need them.
type OpenConnections struct{ Count int }

func (OpenConnections) cmd() {}
func (CheckSpeed) cmd()      {}
func (Start) cmd()           {}
func (Refuse) cmd()          {}
func (Cancelled) cmd()       {}
func (Running) cmd()         {}

// View is a snapshot of the admission state for hints and metrics.
type View struct {
	Hint       hint.Hint
	State      State
	Limit      int     // current concurrency limit
	RerunShare float64 // share of the requests in flight that may run for the second time
	CostCounts CostCounts
}
