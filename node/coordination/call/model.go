package call

import (
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/coordination/servicetime"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// MaxAttempts is the largest number of attempts of one call, hedges included.
const MaxAttempts = 4

// maxMovableAttempts is how many attempts of a call, from the first one on, may be sent as movable, which lets a slow
// back end refuse them.
const maxMovableAttempts = 2

// CancelGrace is how long past its deadline a call waits for the results of its cancels, which may prove that it did not
// run.
const CancelGrace = 100 * time.Millisecond

// Model is the entry side of all calls at one node; it is not safe for concurrent use.
type Model struct {
	cfg                  Config
	rules                *rule.Set
	calls                map[ID]*callState
	callsByAttempt       map[attempt.ID]*callState
	budgets              map[string]*serviceBudget
	serviceTimes         servicetime.ByRoute        // usual service time of each route as measured here
	outstandingByBackend map[string][]*attemptState // attempts without a response
	latestDeadline       time.Time                  // of any call; zero for no limit
	sequence             uint64
	now                  time.Time // time of the last Update
}

// Config identifies the node and holds the load balancing model, which only this Model may use afterwards.
type Config struct {
	Node        string
	Incarnation uint64
	Balancer    *balancer.Model
	ExtraRatio  float64 // extra attempts per call that all nodes together may send to a pool, 0 to take it from the rules
}

// callState is the state of one call.
type callState struct {
	Begin
	phase          phase
	startedAt      time.Time
	nextHedgeCheck time.Time // zero for never
	hedgeSent      bool
	tried          []string // names of the back ends that attempts were sent to
	attempts       []*attemptState
	lastRefusal    refusal.Refusal
	claimPending   bool // the result of the claim has not arrived
}

// phase is the progress of a call.
type phase int

const (
	claiming phase = iota // waits for the result of its claim
	active                // waits for a response header
	expired               // past its deadline, waits for cancel results
	answered              // the caller has a response or refusal, or is gone
)

// attemptState is the state of one attempt.
type attemptState struct {
	id               attempt.ID
	target           balancer.Target
	startedAt        time.Time
	outcome          attempt.Outcome
	awaitingResponse bool // no response header and no failure has arrived
	ended            bool
	cancelPending    bool // a Cancel was sent and its result has not arrived
	objective        time.Duration
	notReached       bool    // refused before it reached the back end
	slowdown         float64 // of the back end at the start of the attempt, as far as it is reported
}

// New returns a Model without calls.
func New(cfg Config) *Model {
	return &Model{
		cfg:                  cfg,
		rules:                &rule.Set{},
		calls:                map[ID]*callState{},
		callsByAttempt:       map[attempt.ID]*callState{},
		budgets:              map[string]*serviceBudget{},
		serviceTimes:         servicetime.ByRoute{},
		outstandingByBackend: map[string][]*attemptState{},
	}
}

// Outstanding returns the number of calls that have not ended with Forget.
func (m *Model) Outstanding() int {
	return len(m.calls)
}

// SetTargets replaces the back ends that attempts can be sent to.
func (m *Model) SetTargets(now time.Time, targets []balancer.Target) {
	m.cfg.Balancer.Update(now, balancer.Targets{List: targets})
}

// Update applies one message at the given time and returns the effects.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	m.now = now
	switch msg := msg.(type) {
	case Begin:
		return m.begin(now, msg)
	case EndBy:
		return m.endBy(msg.At)
	case Claimed:
		return m.withCall(msg.Call, func(s *callState) []Cmd { return m.claimed(now, s, msg.Verdict) })
	case TimerFired:
		return m.withCall(msg.Call, func(s *callState) []Cmd { return m.timerFired(now, s) })
	case CallerGone:
		return m.withCall(msg.Call, func(s *callState) []Cmd { return m.callerGone(now, s) })
	case Response:
		return m.withAttempt(msg.Attempt, func(s *callState, a *attemptState) []Cmd { return m.handleResponse(now, s, a, msg) })
	case Ended:
		return m.withAttempt(msg.Attempt, func(s *callState, a *attemptState) []Cmd { return m.ended(now, s, a, msg.Result) })
	case CancelResult:
		return m.withAttempt(msg.Attempt, func(s *callState, a *attemptState) []Cmd { return m.cancelResult(now, s, a, msg.NotRun) })
	}
	return nil
}

func (m *Model) withCall(id ID, f func(*callState) []Cmd) []Cmd {
	s, ok := m.calls[id]
	if !ok {
		return nil
	}
	return f(s)
}

func (m *Model) withAttempt(id attempt.ID, f func(*callState, *attemptState) []Cmd) []Cmd {
	s, ok := m.callsByAttempt[id]
	if !ok {
		return nil
	}
	a, _ := lo.Find(s.attempts, func(a *attemptState) bool { return a.id == id })
	return f(s, a)
}

// endBy moves later deadlines to at, now and for calls to come.
func (m *Model) endBy(at time.Time) []Cmd {
	m.latestDeadline = at
	var cmds []Cmd
	for _, s := range m.calls {
		if (s.phase == claiming || s.phase == active) && at.Before(s.Deadline) {
			s.Deadline = at
			cmds = append(cmds, s.setTimer())
		}
	}
	return cmds
}

func (m *Model) begin(now time.Time, msg Begin) []Cmd {
	if !m.latestDeadline.IsZero() && m.latestDeadline.Before(msg.Deadline) {
		msg.Deadline = m.latestDeadline
	}
	s := &callState{Begin: msg, startedAt: now}
	m.calls[msg.Call] = s
	m.budget(msg.Service).RecordCall(now)
	m.budget(msg.Service).Charge(msg.RerunShare)
	switch {
	case msg.Depth > attempt.MaxCallDepth:
		return m.refuse(s, refusal.CallTooDeep, UnclaimedOutcome(msg.Keyed))
	case !now.Before(msg.Deadline):
		return m.refuse(s, refusal.TooLate, UnclaimedOutcome(msg.Keyed))
	case msg.Keyed:
		s.claimPending = true
		return []Cmd{Claim{msg.Call}, s.setTimer()}
	}
	return m.startFirstAttempt(now, s)
}

func (m *Model) claimed(now time.Time, s *callState, verdict Verdict) []Cmd {
	if !s.claimPending {
		return nil
	}
	s.claimPending = false
	if s.phase == answered {
		var cmds []Cmd
		if verdict == Granted {
			cmds = append(cmds, Release{s.Call})
		}
		return append(cmds, m.forgetIfDone(s)...)
	}
	switch verdict {
	case Granted:
		if !now.Before(s.Deadline) {
			return append([]Cmd{Release{s.Call}}, m.refuse(s, refusal.TooLate, attempt.NotRun)...)
		}
		return m.startFirstAttempt(now, s)
	case Held:
		return m.refuse(s, refusal.ClaimHeld, attempt.Unknown)
	case Mismatch:
		return m.refuse(s, refusal.FingerprintMismatch, attempt.NotRun)
	case AlreadyDone:
		s.phase = answered
		return m.forgetIfDone(s)
	case ClaimFailed:
	}
	// The claim may have been granted although its result was lost, so it is released.
	return append([]Cmd{Release{s.Call}}, m.refuse(s, refusal.NoQuorum, UnclaimedOutcome(true))...)
}

// UnclaimedOutcome returns the outcome to report for a request that was refused before its key was claimed. It did not
// run, but an earlier request with the same key may have, and NotRun would tell the caller that neither did.
func UnclaimedOutcome(keyed bool) attempt.Outcome {
	if keyed {
		return attempt.Unknown
	}
	return attempt.NotRun
}

func (m *Model) startFirstAttempt(now time.Time, s *callState) []Cmd {
	s.phase = active
	cmds := m.startAttempt(now, s)
	if len(cmds) == 0 {
		return m.refuseNotRun(s, refusal.NoBackend)
	}
	s.nextHedgeCheck = m.firstHedgeCheck(now, s)
	return append(cmds, s.setTimer())
}

// startAttempt starts an attempt at a back end that the call has not tried, and returns no effects if there is none.
func (m *Model) startAttempt(now time.Time, s *callState) []Cmd {
	target, ok := m.pickTarget(now, s, false)
	if !ok {
		return nil
	}
	return m.sendTo(now, s, target)
}

// pickTarget returns a back end that the call has not tried, or false if there is none or the call has used all its
// attempts. With spareOnly it must have spare capacity.
func (m *Model) pickTarget(now time.Time, s *callState, spareOnly bool) (balancer.Target, bool) {
	if len(s.attempts) >= MaxAttempts || s.MaxTries > 0 && s.reachedBackends() >= s.MaxTries {
		return balancer.Target{}, false
	}
	return m.cfg.Balancer.Pick(now, balancer.Query{Service: s.Service, Exclude: s.tried, SpareCapacityOnly: spareOnly, ResponseBytes: s.ResponseSize, Contended: s.ByCost, Urgent: s.Urgent})
}

// pickHedgeTarget picks the back end for a hedge. For a call with a latency objective it must have spare capacity, so
// that it can still meet the objective.
func (m *Model) pickHedgeTarget(now time.Time, s *callState) (balancer.Target, bool) {
	return m.pickTarget(now, s, s.Objective > 0)
}

func (m *Model) sendTo(now time.Time, s *callState, target balancer.Target) []Cmd {
	m.sequence++
	id := attempt.ID{Node: m.cfg.Node, Incarnation: m.cfg.Incarnation, Sequence: m.sequence}
	a := &attemptState{id: id, target: target, startedAt: now, awaitingResponse: true, objective: s.Objective}
	m.trackAttempt(now, a)
	rerun := s.mayHaveRun()
	s.attempts = append(s.attempts, a)
	s.tried = append(s.tried, target.Backend)
	m.callsByAttempt[id] = s
	m.cfg.Balancer.Update(now, balancer.Begin{Backend: target.Backend})
	movable := target.Observed.FastAlternatives > 0 && len(s.attempts) <= maxMovableAttempts
	return []Cmd{Send{Call: s.Call, Attempt: id, Target: target, Rerun: rerun, Movable: movable}}
}

// reachedBackends returns the number of attempts that reached a back end or may have.
func (s *callState) reachedBackends() int {
	return lo.CountBy(s.attempts, func(a *attemptState) bool { return !a.notReached })
}

func (s *callState) setTimer() Cmd {
	at := s.Deadline
	if s.phase != active {
		at = at.Add(CancelGrace)
	} else if !s.nextHedgeCheck.IsZero() && s.nextHedgeCheck.Before(at) {
		at = s.nextHedgeCheck
	}
	return SetTimer{Call: s.Call, At: at}
}

func (m *Model) timerFired(now time.Time, s *callState) []Cmd {
	switch {
	case s.phase == claiming && !now.Before(s.Deadline.Add(CancelGrace)):
		// No attempt was sent. If the claim is granted later, claimed releases it.
		return m.refuse(s, refusal.TooLate, UnclaimedOutcome(true))
	case s.phase == active && !now.Before(s.Deadline):
		return m.expire(s)
	case s.phase == expired && !now.Before(s.Deadline.Add(CancelGrace)):
		return m.refuse(s, refusal.Timeout, attempt.Unknown)
	case s.phase == active && !s.nextHedgeCheck.IsZero() && !now.Before(s.nextHedgeCheck):
		return m.checkHedge(now, s)
	}
	return nil
}

// expire ends the wait for responses at the deadline: it cancels every attempt with unknown outcome to learn whether it
// ran.
func (m *Model) expire(s *callState) []Cmd {
	s.phase = expired
	s.lastRefusal = refusal.Refusal{Reason: refusal.Timeout}
	cmds := s.cancelUnknown()
	if len(cmds) == 0 {
		return m.refuseIfFinal(s)
	}
	return append(cmds, s.setTimer())
}

func (s *callState) cancelUnknown() []Cmd {
	var cmds []Cmd
	for _, a := range s.attempts {
		if a.outcome == attempt.Unknown && !a.cancelPending {
			a.cancelPending = true
			cmds = append(cmds, Cancel{Call: s.Call, Attempt: a.id})
		}
	}
	return cmds
}

// callerGone ends a call whose caller disconnected.
func (m *Model) callerGone(now time.Time, s *callState) []Cmd {
	switch {
	case s.phase == answered && s.Keyed:
		// The response is being recorded for later requests with the same key.
		return nil
	case s.Keyed && s.phase != claiming:
		// The claim may be released only if the call provably did not run, so the call waits for cancel results.
		s.Deadline = now
		s.phase = active
		return m.expire(s)
	}
	s.phase = answered
	return append(m.abortOthers(s, attempt.ID{}), m.forgetIfDone(s)...)
}

// abortOthers aborts every attempt that has not ended, except the given one.
func (m *Model) abortOthers(s *callState, except attempt.ID) []Cmd {
	var cmds []Cmd
	for _, a := range s.attempts {
		if a.id != except && !a.ended {
			cmds = append(cmds, Abort{Call: s.Call, Attempt: a.id})
		}
	}
	return cmds
}

// refuse answers the caller with a refusal and aborts all attempts. The refusal names the node that made it: this one, or
// the one that made the last refusal if the reason is the same.
func (m *Model) refuse(s *callState, reason refusal.Reason, outcome attempt.Outcome) []Cmd {
	s.phase = answered
	cmds := m.abortOthers(s, attempt.ID{})
	f := refusal.Refusal{
		Reason:     reason,
		Outcome:    outcome,
		RetryAfter: m.retryAfter(s, reason),
		Node:       m.cfg.Node,
		Depth:      s.Depth,
	}
	if s.lastRefusal.Reason == reason && s.lastRefusal.Node != "" {
		f.Node, f.Depth = s.lastRefusal.Node, s.lastRefusal.Depth
	}
	cmds = append(cmds, Refuse{Call: s.Call, Refusal: f})
	return append(cmds, m.forgetIfDone(s)...)
}

// retryAfter returns the wait to suggest with a refusal. A request limit tells exactly when it allows another request.
func (m *Model) retryAfter(s *callState, reason refusal.Reason) time.Duration {
	if reason == refusal.RequestLimit {
		return s.lastRefusal.RetryAfter
	}
	if s.ByCost {
		return m.roomAfter(s, reason)
	}
	return max(s.lastRefusal.RetryAfter, time.Second)
}

// refuseNotRun refuses a call that provably did not run, and releases its claim.
func (m *Model) refuseNotRun(s *callState, reason refusal.Reason) []Cmd {
	var cmds []Cmd
	if s.Keyed {
		cmds = append(cmds, Release{s.Call})
	}
	return append(cmds, m.refuse(s, reason, attempt.NotRun)...)
}

// forgetIfDone drops the state of a call once the caller is answered, all attempts have ended and no claim result is
// outstanding.
func (m *Model) forgetIfDone(s *callState) []Cmd {
	if s.phase != answered || s.claimPending || lo.SomeBy(s.attempts, func(a *attemptState) bool { return !a.ended }) {
		return nil
	}
	delete(m.calls, s.Call)
	for _, a := range s.attempts {
		delete(m.callsByAttempt, a.id)
	}
	return []Cmd{Forget{s.Call}}
}
