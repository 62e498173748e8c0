package arrival

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// Model is the destination side of all attempts at one node; it is not safe for concurrent use.
type Model struct {
	cfg       Config
	admission *admission.Model
	ledger    *ledger
	backend   Backend
	rules     *rule.Set
	leaving   bool
	verdicts  map[attempt.ID]bool // cancels that admission is answering
}

// Config identifies the node.
type Config struct {
	Zone        string
	Incarnation uint64
}

// New returns a Model without a back end.
func New(cfg Config) *Model {
	m := &Model{
		cfg:      cfg,
		ledger:   newLedger(),
		rules:    &rule.Set{},
		verdicts: map[attempt.ID]bool{},
	}
	m.admission = admission.New(m.limits())
	return m
}

// Update applies one message at the given time and returns the effects.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case Arrive:
		return m.arrive(now, msg)
	case Cancel:
		return m.cancel(now, msg)
	case Lost:
		return m.lost(now, msg)
	case Done:
		return m.done(now, msg)
	case Backend:
		m.backend = msg
		cmds := m.admit(now, m.limits())
		return append(cmds, m.admit(now, admission.Backend{State: msg.State})...)
	case Rules:
		m.rules = msg.Set
		return m.admit(now, m.limits())
	case Leave:
		m.leaving = true
		return m.admit(now, admission.Backend{State: admission.Leaving})
	case Tick:
		m.ledger.expire(now)
		return m.admit(now, admission.Tick{})
	}
	return nil
}

// View returns the figures of admission.
func (m *Model) View() admission.View {
	return m.admission.View()
}

func (m *Model) arrive(now time.Time, msg Arrive) []Cmd {
	if msg.Incarnation != m.cfg.Incarnation {
		return refuse(msg.ID, refusal.Incarnation, attempt.NotRun)
	}
	switch m.ledger.get(msg.ID) {
	case cancelled, refused:
		return refuse(msg.ID, refusal.Cancelled, attempt.NotRun)
	case waiting, running, finished:
		// The other copy may run or have run, so nothing is proven here.
		return refuse(msg.ID, refusal.Duplicate, attempt.Unknown)
	case fresh:
	}
	if reason := m.refusal(msg); reason != refusal.None {
		m.ledger.set(now, msg.ID, refused)
		return refuse(msg.ID, reason, attempt.NotRun)
	}
	m.ledger.set(now, msg.ID, waiting)
	return m.admit(now, admission.Arrive{ID: msg.ID, Deadline: msg.Deadline, Priority: msg.Level})
}

func (m *Model) refusal(msg Arrive) refusal.Reason {
	switch {
	case m.leaving:
		return refusal.Leaving
	case msg.Depth > attempt.MaxDepth:
		return refusal.Deep
	case msg.Service != m.backend.Service:
		return refusal.Absent
	}
	return refusal.None
}

func (m *Model) cancel(now time.Time, msg Cancel) []Cmd {
	if msg.Incarnation != m.cfg.Incarnation {
		return []Cmd{Verdict{ID: msg.ID, Answer: Unsure}}
	}
	switch m.ledger.get(msg.ID) {
	case waiting:
		m.verdicts[msg.ID] = true
		return m.admit(now, admission.Cancel{ID: msg.ID})
	case running:
		return []Cmd{Verdict{ID: msg.ID, Answer: Begun}, Abort{ID: msg.ID}}
	case finished:
		return []Cmd{Verdict{ID: msg.ID, Answer: Begun}}
	case fresh, cancelled, refused:
		m.ledger.set(now, msg.ID, cancelled)
	}
	return []Cmd{Verdict{ID: msg.ID, Answer: NotRun}}
}

func (m *Model) lost(now time.Time, msg Lost) []Cmd {
	switch m.ledger.get(msg.ID) {
	case waiting:
		return m.admit(now, admission.Cancel(msg))
	case running:
		return []Cmd{Abort(msg)}
	case fresh, finished, cancelled, refused:
	}
	return nil
}

func (m *Model) done(now time.Time, msg Done) []Cmd {
	if m.ledger.get(msg.ID) != running {
		return nil
	}
	m.ledger.set(now, msg.ID, finished)
	if msg.NotRun {
		m.ledger.set(now, msg.ID, refused)
	}
	return m.admit(now, admission.Done{ID: msg.ID, Result: msg.Result, Latency: msg.Latency})
}

// admit applies msg to admission and turns its effects into those of m.
func (m *Model) admit(now time.Time, msg admission.Msg) []Cmd {
	var cmds []Cmd
	for _, cmd := range m.admission.Update(now, msg) {
		switch cmd := cmd.(type) {
		case admission.Start:
			m.ledger.set(now, cmd.ID, running)
			cmds = append(cmds, Start(cmd))
		case admission.Refuse:
			m.ledger.set(now, cmd.ID, refused)
			cmds = append(cmds, Refuse{ID: cmd.ID, Reason: cmd.Reason, Outcome: attempt.NotRun, After: cmd.After})
		case admission.Cancelled:
			m.ledger.set(now, cmd.ID, cancelled)
			cmds = append(cmds, Refuse{ID: cmd.ID, Reason: refusal.Cancelled, Outcome: attempt.NotRun})
			cmds = append(cmds, m.verdict(cmd.ID, NotRun)...)
		case admission.Running:
			cmds = append(cmds, Abort(cmd))
			cmds = append(cmds, m.verdict(cmd.ID, Begun)...)
		}
	}
	return cmds
}

func (m *Model) verdict(id attempt.ID, answer Answer) []Cmd {
	if !m.verdicts[id] {
		return nil
	}
	delete(m.verdicts, id)
	return []Cmd{Verdict{ID: id, Answer: answer}}
}

// limits returns the rules for the local back end; the smaller of announced and configured slots holds.
func (m *Model) limits() admission.Limits {
	s := m.rules.Services[m.backend.Service]
	l := admission.Limits{
		Slots: or(s.Slots, rule.DefaultSlots),
		Queue: or(s.Queue, rule.DefaultQueue),
		Cold:  or(s.Cold, rule.DefaultCold),
	}
	if m.backend.Slots > 0 {
		l.Slots = min(l.Slots, m.backend.Slots)
	}
	switch {
	case m.rules.Zones[m.cfg.Zone].Out:
		l.Reason = refusal.ZoneOut
	case m.rules.Backends[m.backend.Name]:
		l.Reason = refusal.BackendOut
	}
	return l
}

func or(set, fallback int) int {
	if set > 0 {
		return set
	}
	return fallback
}

func refuse(id attempt.ID, reason refusal.Reason, outcome attempt.Outcome) []Cmd {
	return []Cmd{Refuse{ID: id, Reason: reason, Outcome: outcome, After: time.Second}}
}
