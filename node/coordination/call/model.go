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

// MaxAttempts bounds the attempts of one call, hedges included.
const MaxAttempts = 4

// maxMoves is how many attempts of a call back ends may refuse because they are slow.
const maxMoves = 2

// CancelGrace is how long past its deadline a call waits for a proof that it did not run.
const CancelGrace = 100 * time.Millisecond

// Model is the entry side of all calls at one node; it is not safe for concurrent use.
type Model struct {
	cfg      Config
	rules    *rule.Set
	calls    map[ID]*state
	owners   map[attempt.ID]*state
	services map[string]*service
	works    servicetime.ByRoute // usual time of each route as seen here
	running  map[string][]*try   // open attempts by back end
	sequence uint64
}

// Config identifies the node and holds the model that picks destinations.
type Config struct {
	Node        string
	Incarnation uint64
	Choice      *balancer.Model
	ExtraRatio  float64 // extra attempts over calls that all nodes together may send to a pool, 0: by the rules
}

// state is one call.
type state struct {
	Begin
	phase    phase
	begun    time.Time
	hedge    time.Time // when the next look for a hedge is due, zero for never
	hedged   bool      // a hedge was sent
	tried    []string  // back ends
	attempts []*try
	last     refusal.Refusal // newest refusal
	claim    bool            // a verdict on the claim is still to come
}

type phase int

const (
	claiming  phase = iota // waits for the verdict on its key
	active                 // waits for a response header
	expiring               // deadline passed, waits for proofs
	delivered              // its caller has an answer
)

// try is one attempt.
type try struct {
	id      attempt.ID
	target  balancer.Target
	begun   time.Time
	outcome attempt.Outcome
	open    bool // no response header yet
	ended   bool
	asked   bool
	aim     time.Duration
	spared  bool    // refused before it reached the back end
	pace    float64 // of the back end at the start, as far as a report tells
}

// New returns a Model without calls.
func New(cfg Config) *Model {
	return &Model{
		cfg:      cfg,
		rules:    &rule.Set{},
		calls:    map[ID]*state{},
		owners:   map[attempt.ID]*state{},
		services: map[string]*service{},
		works:    servicetime.ByRoute{},
		running:  map[string][]*try{},
	}
}

// Outstanding returns the number of calls that are not forgotten.
func (m *Model) Outstanding() int {
	return len(m.calls)
}

// SetTargets replaces the targets.
func (m *Model) SetTargets(now time.Time, targets []balancer.Target) {
	m.cfg.Choice.Update(now, balancer.Targets{List: targets})
}

// Update applies one message at the given time and returns the effects.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case Begin:
		return m.begin(now, msg)
	case Claimed:
		return m.with(msg.Call, func(s *state) []Cmd { return m.claimed(now, s, msg.Verdict) })
	case TimerFired:
		return m.with(msg.Call, func(s *state) []Cmd { return m.timer(now, s) })
	case CallerGone:
		return m.with(msg.Call, func(s *state) []Cmd { return m.gone(now, s) })
	case Response:
		return m.own(msg.Attempt, func(s *state, t *try) []Cmd { return m.head(now, s, t, msg) })
	case Ended:
		return m.own(msg.Attempt, func(s *state, t *try) []Cmd { return m.ended(now, s, t, msg.Result) })
	case CancelResult:
		return m.own(msg.Attempt, func(s *state, t *try) []Cmd { return m.proof(now, s, t, msg.NotRun) })
	}
	return nil
}

func (m *Model) with(id ID, f func(*state) []Cmd) []Cmd {
	s, ok := m.calls[id]
	if !ok {
		return nil
	}
	return f(s)
}

func (m *Model) own(id attempt.ID, f func(*state, *try) []Cmd) []Cmd {
	s, ok := m.owners[id]
	if !ok {
		return nil
	}
	t, _ := lo.Find(s.attempts, func(t *try) bool { return t.id == id })
	return f(s, t)
}

func (m *Model) begin(now time.Time, msg Begin) []Cmd {
	s := &state{Begin: msg, begun: now}
	m.calls[msg.Call] = s
	m.budget(msg.Service).RecordCall(now)
	m.budget(msg.Service).Charge(msg.RerunShare)
	switch {
	case msg.Depth > attempt.MaxDepth:
		return m.refuse(s, refusal.Deep, UnclaimedOutcome(msg.Keyed))
	case !now.Before(msg.Deadline):
		return m.refuse(s, refusal.Late, UnclaimedOutcome(msg.Keyed))
	case msg.Keyed:
		s.claim = true
		return []Cmd{Claim{msg.Call}, s.wake()}
	}
	return m.start(now, s)
}

func (m *Model) claimed(now time.Time, s *state, verdict Verdict) []Cmd {
	if !s.claim {
		return nil
	}
	s.claim = false
	if s.phase == delivered {
		var cmds []Cmd
		if verdict == Granted {
			cmds = append(cmds, Release{s.Call})
		}
		return append(cmds, m.settle(s)...)
	}
	switch verdict {
	case Granted:
		if !now.Before(s.Deadline) {
			return append([]Cmd{Release{s.Call}}, m.refuse(s, refusal.Late, attempt.NotRun)...)
		}
		return m.start(now, s)
	case Held:
		return m.refuse(s, refusal.Held, attempt.Unknown)
	case Mismatch:
		return m.refuse(s, refusal.Mismatch, attempt.NotRun)
	case AlreadyDone:
		s.phase = delivered
		return m.settle(s)
	case ClaimFailed:
	}
	// The claim may have been granted without this node hearing of it.
	return append([]Cmd{Release{s.Call}}, m.refuse(s, refusal.NoQuorum, UnclaimedOutcome(true))...)
}

// UnclaimedOutcome returns the outcome of a request that was refused before its key was claimed. It did not run itself, but
// an earlier request with the same key may have, and "not run" would tell the caller that nothing happened.
func UnclaimedOutcome(keyed bool) attempt.Outcome {
	if keyed {
		return attempt.Unknown
	}
	return attempt.NotRun
}

func (m *Model) start(now time.Time, s *state) []Cmd {
	s.phase = active
	cmds := m.send(now, s)
	if len(cmds) == 0 {
		return m.notRun(s, refusal.Absent)
	}
	s.hedge = m.hedgeAt(now, s)
	return append(cmds, s.wake())
}

// send starts an attempt at a back end that this call has not tried; no effects if there is none.
func (m *Model) send(now time.Time, s *state) []Cmd {
	target, ok := m.pick(now, s, false)
	if !ok {
		return nil
	}
	return m.sendTo(now, s, target)
}

// pick returns a back end that this call has not tried, or false if there is none or the call has no attempts left.
func (m *Model) pick(now time.Time, s *state, spare bool) (balancer.Target, bool) {
	if len(s.attempts) >= MaxAttempts || s.MaxTries > 0 && s.reached() >= s.MaxTries {
		return balancer.Target{}, false
	}
	return m.cfg.Choice.Pick(now, balancer.Query{Service: s.Service, Exclude: s.tried, SpareCapacityOnly: spare, ResponseBytes: s.ResponseSize})
}

// pickSpare picks for a hedge; with an aim that is a back end that can still meet it.
func (m *Model) pickSpare(now time.Time, s *state) (balancer.Target, bool) {
	return m.pick(now, s, s.Objective > 0)
}

func (m *Model) sendTo(now time.Time, s *state, target balancer.Target) []Cmd {
	m.sequence++
	id := attempt.ID{Node: m.cfg.Node, Incarnation: m.cfg.Incarnation, Sequence: m.sequence}
	t := &try{id: id, target: target, begun: now, open: true, aim: s.Objective}
	m.track(now, t)
	rerun := s.unproven()
	s.attempts = append(s.attempts, t)
	s.tried = append(s.tried, target.Backend)
	m.owners[id] = s
	m.cfg.Choice.Update(now, balancer.Begin{Backend: target.Backend})
	movable := target.Observed.FastAlternatives > 0 && len(s.attempts) <= maxMoves
	return []Cmd{Send{Call: s.Call, Attempt: id, Target: target, Rerun: rerun, Movable: movable}}
}

// reached counts the attempts that reached a back end or may have.
func (s *state) reached() int {
	return lo.CountBy(s.attempts, func(t *try) bool { return !t.spared })
}

func (s *state) wake() Cmd {
	at := s.Deadline
	if s.phase != active {
		at = at.Add(CancelGrace)
	} else if !s.hedge.IsZero() && s.hedge.Before(at) {
		at = s.hedge
	}
	return SetTimer{Call: s.Call, At: at}
}

func (m *Model) timer(now time.Time, s *state) []Cmd {
	switch {
	case s.phase == claiming && !now.Before(s.Deadline.Add(CancelGrace)):
		// Nothing was sent; a claim that is granted later is released.
		return m.refuse(s, refusal.Late, UnclaimedOutcome(true))
	case s.phase == active && !now.Before(s.Deadline):
		return m.expire(s)
	case s.phase == expiring && !now.Before(s.Deadline.Add(CancelGrace)):
		return m.refuse(s, refusal.Timeout, attempt.Unknown)
	case s.phase == active && !s.hedge.IsZero() && !now.Before(s.hedge):
		return m.hedgeDue(now, s)
	}
	return nil
}

// expire asks every open attempt's destination whether it ran.
func (m *Model) expire(s *state) []Cmd {
	s.phase = expiring
	s.last = refusal.Refusal{Reason: refusal.Timeout}
	cmds := s.ask()
	if len(cmds) == 0 {
		return m.conclude(s)
	}
	return append(cmds, s.wake())
}

func (s *state) ask() []Cmd {
	var cmds []Cmd
	for _, t := range s.attempts {
		if t.outcome == attempt.Unknown && !t.asked {
			t.asked = true
			cmds = append(cmds, Cancel{Call: s.Call, Attempt: t.id})
		}
	}
	return cmds
}

// gone cancels the attempts of a call whose caller has left.
func (m *Model) gone(now time.Time, s *state) []Cmd {
	switch {
	case s.phase == delivered && s.Keyed:
		// The answer is being recorded for the next request with the same key.
		return nil
	case s.Keyed && s.phase != claiming:
		// The claim is given up only with a proof, so the call lives on for a moment.
		s.Deadline = now
		s.phase = active
		return m.expire(s)
	}
	s.phase = delivered
	return append(m.abort(s, attempt.ID{}), m.settle(s)...)
}

// abort abandons every attempt but the given one.
func (m *Model) abort(s *state, except attempt.ID) []Cmd {
	var cmds []Cmd
	for _, t := range s.attempts {
		if t.id != except && !t.ended {
			cmds = append(cmds, Abort{Call: s.Call, Attempt: t.id})
		}
	}
	return cmds
}

// refuse answers the caller and abandons what is still open.
func (m *Model) refuse(s *state, reason refusal.Reason, outcome attempt.Outcome) []Cmd {
	s.phase = delivered
	cmds := m.abort(s, attempt.ID{})
	f := refusal.Refusal{
		Reason:  reason,
		Outcome: outcome,
		After:   max(s.last.After, time.Second),
		Node:    m.cfg.Node,
		Level:   s.Depth,
	}
	if s.last.Reason == reason && s.last.Node != "" {
		f.Node, f.Level = s.last.Node, s.last.Level
	}
	cmds = append(cmds, Refuse{Call: s.Call, Refusal: f})
	return append(cmds, m.settle(s)...)
}

// notRun answers a call that is proven not run.
func (m *Model) notRun(s *state, reason refusal.Reason) []Cmd {
	var cmds []Cmd
	if s.Keyed {
		cmds = append(cmds, Release{s.Call})
	}
	return append(cmds, m.refuse(s, reason, attempt.NotRun)...)
}

// settle forgets the call once it has an answer and no attempt.
func (m *Model) settle(s *state) []Cmd {
	if s.phase != delivered || s.claim || lo.SomeBy(s.attempts, func(t *try) bool { return !t.ended }) {
		return nil
	}
	delete(m.calls, s.Call)
	for _, t := range s.attempts {
		delete(m.owners, t.id)
	}
	return []Cmd{Forget{s.Call}}
}
