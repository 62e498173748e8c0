package destination

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/probe"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// Model is the destination side of all attempts at one node; it is not safe for concurrent use. Its admission model
// remembers whether every attempt started, so a late or duplicate copy never runs a second time.
type Model struct {
	cfg       Config
	admission *admission.Model
	probe     *probe.Model
	backend   Backend
	instance  string // name of the newest back end, kept while it is absent
	rules     *rule.Set
	leaving   bool
}

// Config identifies the node.
type Config struct {
	Zone        string
	Incarnation uint64
}

// New returns a Model without a back end.
func New(cfg Config) *Model {
	m := &Model{cfg: cfg, rules: &rule.Set{}, probe: probe.New(probe.Config{})}
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
	case ConnectionLost:
		return m.updateAdmission(now, admission.Cancel(msg), false)
	case Done:
		return append(m.updateAdmission(now, admission.Done(msg), false), m.recordResult(now, msg.Result)...)
	case Backend:
		cmds := m.replaceBackend(now, msg)
		cmds = append(cmds, m.updateAdmission(now, m.limits(), false)...)
		cmds = append(cmds, m.updateAdmission(now, m.backendState(), false)...)
		return append(cmds, m.configureProbes(now)...)
	case Rules:
		m.rules = msg.Set
		return append(m.updateAdmission(now, m.limits(), false), m.configureProbes(now)...)
	case Leave:
		m.leaving = true
		return append(m.updateAdmission(now, m.backendState(), false), m.configureProbes(now)...)
	case Connections:
		return m.updateConnections(now, msg)
	case RequestLimit:
		return m.requestLimit(now, msg)
	case CheckSent:
		return m.updateAdmission(now, admission.CheckSent{}, false)
	case Slowdown:
		return m.updateAdmission(now, admission.Slowdown(msg), false)
	case ProbeDone:
		return m.probeDone(now, msg)
	case Tick:
		return append(m.updateAdmission(now, admission.Tick{}, false), m.updateProbes(now, probe.Tick{})...)
	}
	return nil
}

// replaceBackend sets the announced back end. A back end that was absent for a while keeps its request limit.
func (m *Model) replaceBackend(now time.Time, msg Backend) []Cmd {
	m.backend = msg
	if msg.Name == "" || msg.Name == m.instance {
		return nil
	}
	m.instance = msg.Name
	return m.updateAdmission(now, admission.NewInstance{}, false)
}

// requestLimit applies the request limit of a response, unless it came from an earlier instance.
func (m *Model) requestLimit(now time.Time, msg RequestLimit) []Cmd {
	if msg.Backend != m.instance {
		return nil
	}
	return m.updateAdmission(now, admission.RequestLimit{Limit: msg.Limit}, false)
}

// View returns the state of admission.
func (m *Model) View() admission.View {
	return m.admission.View()
}

// Backend returns the name of the local back end, empty if there is none.
func (m *Model) Backend() string { return m.backend.Name }

func (m *Model) backendState() admission.BackendState {
	if m.leaving {
		return admission.BackendState{State: admission.Leaving}
	}
	return admission.BackendState{State: m.backend.State}
}

func (m *Model) arrive(now time.Time, msg Arrive) []Cmd {
	if msg.Incarnation != m.cfg.Incarnation {
		return refuse(msg.ID, refusal.WrongIncarnation, attempt.NotRun)
	}
	if reason := m.refusalReason(msg); reason != refusal.None {
		return m.refuseUnadmitted(now, msg.ID, reason)
	}
	return m.updateAdmission(now, admission.Arrive{
		ID: msg.ID, Deadline: msg.Deadline, Priority: msg.Priority, Rank: msg.Rank, RouteRank: m.rules.RoutePriority(msg.Route), Account: msg.Account,
		Route: msg.Route, ObjectiveAt: now.Add(msg.Objective), LatencyObjective: max(0, msg.Objective),
		Nested: msg.Nested, Rerun: msg.Rerun, Movable: msg.Movable, KnownLimit: msg.KnownLimit,
	}, false)
}

// refuseUnadmitted refuses an attempt before admission and cancels its ID, so that no other copy of it starts later. If
// another copy has started, the reason is Duplicate.
func (m *Model) refuseUnadmitted(now time.Time, id attempt.ID, reason refusal.Reason) []Cmd {
	var cmds []Cmd
	for _, cmd := range m.updateAdmission(now, admission.Cancel{ID: id}, true) {
		result, ok := cmd.(CancelResult)
		switch {
		case !ok:
			cmds = append(cmds, cmd)
		case result.Outcome == NotRun:
			cmds = append(cmds, refuse(id, reason, attempt.NotRun)...)
		default:
			cmds = append(cmds, refuse(id, refusal.DuplicateAttempt, attempt.Unknown)...)
		}
	}
	return cmds
}

func (m *Model) refusalReason(msg Arrive) refusal.Reason {
	switch {
	case msg.Depth > attempt.MaxCallDepth:
		return refusal.CallTooDeep
	case !m.leaving && msg.Service != m.backend.Service:
		return refusal.NoBackend
	}
	return refusal.None
}

func (m *Model) cancel(now time.Time, msg Cancel) []Cmd {
	if msg.Incarnation != m.cfg.Incarnation {
		return []Cmd{CancelResult{ID: msg.ID, Outcome: Unknown}}
	}
	return m.updateAdmission(now, admission.Cancel{ID: msg.ID}, true)
}

func (m *Model) updateConnections(now time.Time, msg Connections) []Cmd {
	if msg.Closed > 0 {
		return m.updateAdmission(now, admission.ConnectionsClosed{Count: msg.Closed, All: msg.Open == 0}, false)
	}
	return m.updateAdmission(now, admission.ConnectionCount{Count: msg.Open}, false)
}

// updateAdmission applies msg to admission and returns the effects; reportCancel includes the CancelResult of a cancel.
func (m *Model) updateAdmission(now time.Time, msg admission.Msg, reportCancel bool) []Cmd {
	var cmds []Cmd
	for _, cmd := range m.admission.Update(now, msg) {
		switch cmd := cmd.(type) {
		case admission.Start:
			cmds = append(cmds, Start(cmd))
		case admission.Refuse:
			cmds = append(cmds, fromAdmission(cmd))
		case admission.Cancelled:
			if reportCancel {
				cmds = append(cmds, CancelResult{ID: cmd.ID, Outcome: NotRun})
			}
		case admission.Running:
			cmds = append(cmds, Abort(cmd))
			if reportCancel {
				cmds = append(cmds, CancelResult{ID: cmd.ID, Outcome: Started})
			}
		case admission.OpenConnections:
			cmds = append(cmds, OpenConnections(cmd))
		case admission.CheckSpeed:
			cmds = append(cmds, CheckSpeed{})
		}
	}
	return cmds
}

// fromAdmission adds the outcome to a refusal by admission: not run, but unknown for a duplicate, whose other copy may
// still be running or have run.
func fromAdmission(cmd admission.Refuse) Refuse {
	outcome := attempt.NotRun
	if cmd.Reason == refusal.DuplicateAttempt {
		outcome = attempt.Unknown
	}
	return Refuse{ID: cmd.ID, Reason: cmd.Reason, Outcome: outcome, RetryAfter: cmd.RetryAfter}
}

// limits returns the limits of the local back end from the rules and its announcement. Where both state a number of
// slots or connections, the smaller one applies; the slots of a pool's back end are always the announced ones.
func (m *Model) limits() admission.Limits {
	s, ok := m.rules.Service(m.backend.Service)
	l := admission.Limits{Slots: s.Slots, QueueLength: s.QueueLength, ColdSlots: s.ColdSlots, Connections: s.MaxConnections}
	if ok && s.QueueLength == 0 {
		l.QueueLength = -1 // no queue; 0 would mean "not set"
	}
	if n := m.backend.Slots; n > 0 && (l.Slots == 0 || n < l.Slots) {
		l.Slots = n
	}
	if p, ok := m.rules.Pool(m.backend.Service); ok {
		l.FixedLimit = true
		l.ByCost = m.rules.RanksByCost()
		l.ColdRate = p.ColdRate
		l.Slots = m.backend.Slots
		l.QueueLength = queuePerSlot * l.Slots
	}
	if n := m.backend.Connections; n > 0 && (l.Connections == 0 || n < l.Connections) {
		l.Connections = n
	}
	switch {
	case m.rules.ZoneOut(m.cfg.Zone):
		l.OutReason = refusal.ZoneOutOfService
	case m.rules.BackendOut(m.backend.Name), !m.rules.VersionAllowed(m.backend.Service, m.backend.Version):
		l.OutReason = refusal.BackendOutOfService
	}
	return l
}

// queuePerSlot is the queue length per slot for a back end of a pool. The bound may be loose, since a queued request
// that would miss its deadline is refused long before.
const queuePerSlot = 3

func refuse(id attempt.ID, reason refusal.Reason, outcome attempt.Outcome) []Cmd {
	return []Cmd{Refuse{ID: id, Reason: reason, Outcome: outcome, RetryAfter: time.Second}}
}
