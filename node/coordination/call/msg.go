package call

import (
	"time"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
)

// ID numbers the calls of one entry node incarnation.
type ID uint64

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Begin reports a new call.
type Begin struct {
	Call         ID
	Service      string
	Route        string // whose requests take about the same time, empty if that is not known
	Idempotent   bool
	Keyed        bool
	Deadline     time.Time
	Depth        int
	Objective    time.Duration // time within which an answer is of full use, 0 if that is not known
	Waited       time.Duration // part of the aim that the caller lost with earlier tries
	ResponseSize int           // usual bytes of the response, 0 if not known
	Urgent       bool          // extra attempts of this call come before those of others
	MaxTries     int           // back ends that the request may reach, 0 for no limit
	RerunShare   float64       // share of second runs at the local back end: calls that they make are extra attempts
	FreeRefusals bool          // a refusal by a node costs no retry budget: only what reaches a back end is work
}

// Claimed reports the verdict on the claim of a keyed call.
type Claimed struct {
	Call    ID
	Verdict Verdict
}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Verdict -linecomment

// Verdict is the result of a claim.
type Verdict int

// Results of a claim.
const (
	ClaimFailed Verdict = iota // no-quorum
	Granted                    // granted
	Held                       // held
	AlreadyDone                // done
	Mismatch                   // mismatch
)

// Response reports the response header of an attempt, or its failure before one.
type Response struct {
	Attempt     attempt.ID
	Outcome     attempt.Outcome
	Result      balancer.Result
	Refusal     refusal.Refusal // if Outcome is not Answered
	Deliverable bool            // there is a response to deliver
	ServerError bool            // the response is a failure of the back end, which another one may not have
	Hint        *hint.Hint
}

// Ended reports the end of an attempt: its body was read, or abandoned.
type Ended struct {
	Attempt attempt.ID
	Result  balancer.Result
}

// CancelResult answers Ask.
type CancelResult struct {
	Attempt attempt.ID
	NotRun  bool
}

// TimerFired reports that the time of a Wake has come.
type TimerFired struct{ Call ID }

// CallerGone reports that the caller disconnected.
type CallerGone struct{ Call ID }

func (Begin) msg()        {}
func (Claimed) msg()      {}
func (Response) msg()     {}
func (Ended) msg()        {}
func (CancelResult) msg() {}
func (TimerFired) msg()   {}
func (CallerGone) msg()   {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Claim asks the control group for the key of a call.
type Claim struct{ Call ID }

// Send starts an attempt.
type Send struct {
	Call    ID
	Attempt attempt.ID
	Target  balancer.Target
	Rerun   bool // an earlier attempt of the call may run or have run
	Movable bool // the back end may refuse it in a slow spell, since another one is fast
}

// Abort abandons an attempt: its connection is closed and its destination told.
type Abort struct {
	Call    ID
	Attempt attempt.ID
}

// Cancel cancels an attempt at its destination to learn whether it ran; the answer is Proof.
type Cancel struct {
	Call    ID
	Attempt attempt.ID
}

// SetTimer asks for a Timer; a later Wake of the same call replaces it.
type SetTimer struct {
	Call ID
	At   time.Time
}

// Deliver passes the response of an attempt to the caller.
type Deliver struct {
	Call    ID
	Attempt attempt.ID
}

// Refuse answers the caller without a response.
type Refuse struct {
	Call    ID
	Refusal refusal.Refusal
}

// Release gives up the claim of a call that is proven not run.
type Release struct{ Call ID }

// Forget is the last effect of a call.
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
