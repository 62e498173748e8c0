package destination

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/protocol/requestlimit"
	"pollenhill.example/core/state/rule"
)

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Arrive reports a completely received attempt.
type Arrive struct {
	ID          attempt.ID
	Incarnation uint64 // incarnation of the destination node that the entry node addressed
	Service     string
	Deadline    time.Time
	Priority    rule.Priority
	Rank        int    // priority number of a request on a route, 0 for the most urgent
	Account     string // client account of the request, empty for none
	Nested      bool   // sent on behalf of another request
	Depth       int
	Route       string             // empty if a service line of the rules matched the request, not a route
	Rerun       bool               // an earlier attempt of the same request may still be running or have run
	Objective   time.Duration      // time left to meet the latency objective, negative if it is missed
	Movable     bool               // may be refused as slow: the entry node knows a faster back end with free slots
	KnownLimit  requestlimit.Limit // request limit of the back end as the entry node has heard it
}

// Cancel reports that the entry node gave up an attempt; the answer is CancelResult.
type Cancel struct {
	ID          attempt.ID
	Incarnation uint64 // incarnation of the destination node to which the attempt was sent
}

// ConnectionLost reports that the connection on which an attempt arrived has closed.
type ConnectionLost struct{ ID attempt.ID }

// Done reports the end of a started attempt.
type Done struct {
	ID      attempt.ID
	Result  admission.Result
	Latency time.Duration
}

// Backend reports the newest announcement of the local back end; the zero value reports that its lease expired.
type Backend struct {
	Name        string
	Service     string
	Version     string // of its software, empty if it is not known
	Slots       int
	Connections int
	State       admission.State
}

// Rules replaces the rule set.
type Rules struct{ Set *rule.Set }

// Connections reports how many connections to the back end are open, after the back end closed Closed of them.
type Connections struct{ Open, Closed int }

// Slowdown reports the factor by which service time at the back end is above normal; 1 is normal, larger is slower.
type Slowdown struct{ Factor float64 }

// RequestLimit reports the request limit that a back end named in its newest response, none included.
type RequestLimit struct {
	Backend string
	Limit   requestlimit.Limit
}

// CheckSent reports a health check or speed check that this node sent to the back end.
type CheckSent struct{}

// Leave makes the node refuse every new attempt because it is shutting down.
type Leave struct{}

// Tick reports only that time has passed, for queue timeouts and probes.
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
func (RequestLimit) msg()   {}
func (CheckSent) msg()      {}
func (Tick) msg()           {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Start sends an attempt to the back end.
type Start struct{ ID attempt.ID }

// Refuse refuses an attempt; it is not sent to the back end.
type Refuse struct {
	ID         attempt.ID
	Reason     refusal.Reason
	Outcome    attempt.Outcome
	RetryAfter time.Duration // wait to suggest to the caller
}

// Abort ends a started attempt by closing its connection to the back end.
type Abort struct{ ID attempt.ID }

// CancelResult answers a Cancel.
type CancelResult struct {
	ID      attempt.ID
	Outcome CancelOutcome
}

// CheckSpeed asks for a speed check of the back end at once; the answer is Slowdown.
type CheckSpeed struct{}

// OpenConnections asks to open Count connections to the back end in advance.
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

// Outcomes of a Cancel; the names are the values of attempt.HeaderOutcome in its response.
const (
	Unknown CancelOutcome = iota // unknown
	NotRun                       // not-run
	Started                      // started
)
