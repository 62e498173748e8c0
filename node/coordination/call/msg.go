package call

import (
	"time"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/protocol/requestlimit"
)

// ID identifies a call within one incarnation of the entry node.
type ID uint64

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Begin reports a new call.
type Begin struct {
	Call         ID
	Service      string
	Route        string // requests of a route have about the same service time; empty without a route
	Idempotent   bool
	Keyed        bool // has an Idempotency-Key, which must be claimed first
	Deadline     time.Time
	Depth        int           // position in the call chain
	Objective    time.Duration // latency objective, counted from the caller's first try; 0 for none
	Waited       time.Duration // time since the caller's first try, spent on tries before this call
	ResponseSize int           // usual size of the response in bytes, 0 if unknown
	Urgent       bool          // its extra attempts take precedence over those of other calls
	MaxTries     int           // largest number of back ends that the request may reach, 0 for no limit
	RerunShare   float64       // share of reruns at the local back end; the calls that reruns make count as extra attempts
	ByCost       bool          // under overload, requests give way by what their delay costs callers
	Nested       bool          // sent by a back end on behalf of another request
	FreeRefusals bool          // retrying a refusal by a node costs no retry budget, since it causes no work at a back end
}

// EndBy moves the deadlines of all calls, later ones included, to At unless they are earlier.
type EndBy struct{ At time.Time }

// Claimed reports the result of the claim of a keyed call.
type Claimed struct {
	Call    ID
	Verdict Verdict
}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Verdict -linecomment

// Verdict is the result of a claim of an Idempotency-Key.
type Verdict int

// Results of a claim.
const (
	ClaimFailed Verdict = iota // no-quorum
	Granted                    // granted
	Held                       // held
	AlreadyDone                // done
	Mismatch                   // mismatch
)

// Response reports that the response header of an attempt has arrived or that the attempt failed before that.
type Response struct {
	Attempt     attempt.ID
	Outcome     attempt.Outcome
	Result      balancer.Result
	Refusal     refusal.Refusal    // set unless Outcome is Answered
	Deliverable bool               // an HTTP response arrived, possibly a refusal by a node
	ServerError bool               // the back end answered with a server error; another back end may succeed
	Hint        *hint.Hint         // nil if the response has none
	Limit       requestlimit.Limit // request limit that the back end named in its answer, unknown for a refusal by a node
	Leaving     bool               // the back end said in its answer that it leaves
}

// Ended reports the end of an attempt: its body was read or closed.
type Ended struct {
	Attempt attempt.ID
	Result  balancer.Result
}

// CancelResult reports the result of a Cancel.
type CancelResult struct {
	Attempt attempt.ID
	NotRun  bool // the attempt did not run and never will
}

// TimerFired reports that the time of the newest SetTimer has come.
type TimerFired struct{ Call ID }

// CallerGone reports that the caller disconnected.
type CallerGone struct{ Call ID }

func (Begin) msg()        {}
func (EndBy) msg()        {}
func (Claimed) msg()      {}
func (Response) msg()     {}
func (Ended) msg()        {}
func (CancelResult) msg() {}
func (TimerFired) msg()   {}
func (CallerGone) msg()   {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Claim claims the Idempotency-Key of a call at the control processes.
type Claim struct{ Call ID }

// Send starts an attempt.
type Send struct {
	Call    ID
	Attempt attempt.ID
	Target  balancer.Target
	Rerun   bool // an earlier attempt of the call may still be running or have run
	Movable bool // may be refused in a slow period of the back end, since another back end is fast
}

// Abort gives up an attempt: its connection is closed and its destination is told.
type Abort struct {
	Call    ID
	Attempt attempt.ID
}

// Cancel cancels an attempt at its destination to learn whether it ran; the answer is CancelResult.
type Cancel struct {
	Call    ID
	Attempt attempt.ID
}

// SetTimer asks for a TimerFired at the given time; it replaces the previous SetTimer of the call.
type SetTimer struct {
	Call ID
	At   time.Time
}

// Deliver passes the response of an attempt to the caller.
type Deliver struct {
	Call    ID
	Attempt attempt.ID
}

// Refuse answers the caller with a refusal.
type Refuse struct {
	Call    ID
	Refusal refusal.Refusal
}

// Release releases the claim of a call that did not run.
type Release struct{ Call ID }

// Forget reports the end of a call; it is its last effect.
type Forget struct{ Call ID }

func (Claim) cmd()    {}
func (Send) cmd()     {}
func (Abort) cmd()    {}
func (Cancel) cmd()   {}
func (SetTimer) cmd() {}
func (Deliver) cmd()  {}
func (Refuse) cmd()   {}
func (Release) cmd()  {}
func (Forget) cmd()   {}
