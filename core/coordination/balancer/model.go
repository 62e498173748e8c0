package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/outlier"
	"pollenhill.example/core/state/rule"
)

// DefaultCandidates is the number of random candidates compared for one attempt.
const DefaultCandidates = 3

// DefaultInterZoneLatency is the one-way latency between zones assumed when the Config has none.
const DefaultInterZoneLatency = time.Millisecond

// Model holds what one entry node knows of the back ends; it is not safe for concurrent use.
type Model struct {
	cfg      Config
	targets  map[string][]Target
	names    map[string]string // service of each back end
	rules    *rule.Set
	loads    map[string]*load
	services map[string]*service
	outliers map[string]*outlier.Model
}

// Config places the entry node and seeds its random choices.
type Config struct {
	Zone             string
	Region           string
	Rand             *rand.Rand
	Candidates       int           // random candidates per attempt, zero for DefaultChoices
	InterZoneLatency time.Duration // one-way latency between zones, zero for DefaultHop
}

// New returns a Model without targets.
func New(cfg Config) *Model {
	if cfg.Candidates == 0 {
		cfg.Candidates = DefaultCandidates
	}
	if cfg.InterZoneLatency == 0 {
		cfg.InterZoneLatency = DefaultInterZoneLatency
	}
	return &Model{
		cfg:      cfg,
		targets:  map[string][]Target{},
		names:    map[string]string{},
		rules:    &rule.Set{},
		loads:    map[string]*load{},
		services: map[string]*service{},
		outliers: map[string]*outlier.Model{},
	}
}

// Update applies one message at the given time.
func (m *Model) Update(now time.Time, msg Msg) {
	switch msg := msg.(type) {
	case Targets:
		m.members(msg.List)
	case Rules:
		m.rules = msg.Set
	case Begin:
		m.begin(now, msg)
	case End:
		m.end(now, msg)
	case LoadReport:
		m.report(now, msg)
	}
}

// members keeps what is known of targets that stay; a new incarnation is a new back end.
func (m *Model) members(targets []Target) {
	before := map[string]Target{}
	for _, ts := range m.targets {
		for _, t := range ts {
			before[t.Backend] = t
		}
	}
	m.targets = lo.GroupBy(targets, func(t Target) string { return t.Service })
	m.names = map[string]string{}
	loads := map[string]*load{}
	for _, t := range targets {
		m.names[t.Backend] = t.Service
		loads[t.Backend] = m.kept(before, t)
	}
	m.loads = loads
	for name, ts := range m.targets {
		m.outlier(name).Update(time.Time{}, outlier.Backends{
			Names: lo.Map(ts, func(t Target, _ int) string { return t.Backend }),
		})
	}
}

func (m *Model) kept(before map[string]Target, t Target) *load {
	l, ok := m.loads[t.Backend]
	if !ok {
		return &load{}
	}
	if old := before[t.Backend]; old.Incarnation != t.Incarnation || old.State != t.State {
		return &load{inflight: l.inflight}
	}
	return l
}

func (m *Model) outlier(service string) *outlier.Model {
	if m.outliers[service] == nil {
		m.outliers[service] = outlier.New(outlier.Config{})
	}
	return m.outliers[service]
}

func (m *Model) service(name string) *service {
	if m.services[name] == nil {
		m.services[name] = &service{}
	}
	return m.services[name]
}

func (m *Model) begin(now time.Time, msg Begin) {
	l, ok := m.loads[msg.Backend]
	if !ok {
		return
	}
	l.inflight++
	o := m.outlier(m.names[msg.Backend])
	if o.Ejected(msg.Backend) {
		o.Update(now, outlier.TrialSent{Backend: msg.Backend})
	}
}

func (m *Model) end(now time.Time, msg End) {
	l, ok := m.loads[msg.Backend]
	if !ok {
		return
	}
	l.inflight = max(0, l.inflight-1)
	if msg.Result == Succeeded {
		l.observed(msg.Latency)
	} else if msg.Result != Cancelled {
		l.bounced = now
	}
	if msg.Hint != nil {
		m.report(now, LoadReport{Backend: msg.Backend, Hint: *msg.Hint})
	}
	// A cold back end is slow as announced; evicting it would keep it cold.
	if kind, ok := kinds[msg.Result]; ok && m.state(msg.Backend) != admission.Cold {
		sample := outlier.Sample{Backend: msg.Backend, Result: kind, Latency: msg.Latency}
		m.outlier(m.names[msg.Backend]).Update(now, sample)
	}
}

func (m *Model) state(backend string) admission.State {
	for _, t := range m.targets[m.names[backend]] {
		if t.Backend == backend {
			return t.State
		}
	}
	return admission.Absent
}

// kinds leaves out Cancelled: the loser of a hedge says nothing about its back end.
var kinds = map[Result]outlier.Result{
	Succeeded: outlier.Good,
	Refused:   outlier.Full,
	Failed:    outlier.Failed,
	Lost:      outlier.Failed,

	Unreachable: outlier.Absent,
}

func (m *Model) report(now time.Time, msg LoadReport) {
	l, ok := m.loads[msg.Backend]
	if !ok {
		return
	}
	at := now.Add(-msg.Age)
	s := m.service(m.names[msg.Backend])
	l.reported(at, msg.Hint)
	s.learn(l)
}

// overloaded is the load per slot, waiting requests included, above which a service has too much work
// rather than badly spread work.
const overloaded = 1.5

// Overloaded says whether the reports of a service show more work than it can do. A refusal without
// overload is due to an old report, and another back end probably has a free slot.
func (m *Model) Overloaded(service string) bool {
	return m.service(service).total >= overloaded
}

// Pick returns the target for one attempt, or false if none may get new work.
func (m *Model) Pick(now time.Time, q Query) (Target, bool) {
	open := m.candidates(now, q)
	if len(open) == 0 {
		return Target{}, false
	}
	if _, pool := m.rules.Pool(q.Service); pool {
		return m.quickest(now, open, q)
	}
	if t, ok := m.warm(open, q); ok {
		return t, true
	}
	if len(q.Exclude) > 0 {
		open = preferFree(open)
	}
	spill := m.spill(q.Service)
	near, far := lo.FilterReject(open, func(c candidate, _ int) bool { return c.Zone == m.cfg.Zone })
	best, ok := m.best(near)
	if ok && best.use() <= spill {
		return best.Target, true
	}
	other, more := m.best(far)
	// Reports too old to show a difference would keep an uneven zone uneven, so its nearness counts less.
	hops := 2 * m.cfg.InterZoneLatency.Seconds() * (1 - min(best.doubt, other.doubt))
	if !ok || (more && other.cost()+hops < best.cost()) {
		return other.Target, true
	}
	return best.Target, true
}

// warm gives cold back ends with a free slot their share of the calls by slots: they are slow, so cost
// alone would leave them without the work that warms them up. Retries and hedges are not used for it.
func (m *Model) warm(open []candidate, q Query) (Target, bool) {
	total := lo.SumBy(open, func(c candidate) float64 { return c.limit })
	at := -1.0
	for _, c := range open {
		if c.State != admission.Cold || c.use() > 1 || len(q.Exclude) > 0 {
			continue
		}
		if at < 0 {
			at = m.cfg.Rand.Float64() * total
		}
		if at < c.limit {
			return c.Target, true
		}
		at -= c.limit
	}
	return Target{}, false
}

// preferFree keeps the candidates with a free slot if there are any: after a refusal, a slow back end
// with a free slot is better than a full one that refuses again.
func preferFree(open []candidate) []candidate {
	free := lo.Filter(open, func(c candidate, _ int) bool { return c.use() <= 1 })
	if len(free) > 0 {
		return free
	}
	return open
}

// spill is the share of its limit above which a back end is not preferred any more.
func (m *Model) spill(service string) float64 {
	if s := float64(m.rules.Services[service].Spill); s > 0 {
		return s
	}
	return float64(rule.DefaultSpill)
}

// candidate is a target with its estimate.
type candidate struct {
	Target
	guess
}

// candidates returns the targets that may get the attempt, in the nearest region that has any.
func (m *Model) candidates(now time.Time, q Query) []candidate {
	service, rules, outliers := m.service(q.Service), m.rules.Services[q.Service], m.outlier(q.Service)
	var here, away, last []candidate
	for _, t := range m.targets[q.Service] {
		if !m.open(t) || slices.Contains(q.Exclude, t.Backend) {
			continue
		}
		c := candidate{Target: t, guess: service.guess(now, t, m.loads[t.Backend], rules)}
		if _, pool := m.rules.Pool(q.Service); q.SpareCapacityOnly && !pool && c.use() > m.spill(q.Service) {
			continue
		}
		switch {
		case !outliers.Available(now, t.Backend), m.coldFull(c):
			last = append(last, c)
		case t.Region != m.cfg.Region:
			away = append(away, c)
		default:
			here = append(here, c)
		}
	}
	for _, cs := range [][]candidate{here, away, last} {
		if len(cs) > 0 {
			return cs
		}
	}
	return nil
}

// coldFull says that a cold back end has as much work as its destination admits.
func (m *Model) coldFull(c candidate) bool {
	return c.State == admission.Cold && c.use() > 1
}

// best compares random candidates, drawn in proportion to their capacity.
func (m *Model) best(cs []candidate) (candidate, bool) {
	if len(cs) == 0 {
		return candidate{}, false
	}
	best := cs[0]
	found := false
	cs = slices.Clone(cs)
	for range min(m.cfg.Candidates, len(cs)) {
		i := m.draw(cs)
		if !found || cs[i].cost() < best.cost() {
			best, found = cs[i], true
		}
		cs = slices.Delete(cs, i, i+1)
	}
	return best, true
}

func (m *Model) draw(cs []candidate) int {
	total := 0.0
	for _, c := range cs {
		total += c.rate()
	}
	at := m.cfg.Rand.Float64() * total
	for i, c := range cs {
		at -= c.rate()
		if at < 0 {
			return i
		}
	}
	return len(cs) - 1
}

// rate is the capacity of a back end in requests per second.
func (g guess) rate() float64 {
	return max(g.limit, 0.1) / g.speed
}

func (m *Model) open(t Target) bool {
	serving := t.State == admission.Cold || t.State == admission.Ready
	return serving && !m.rules.ZoneOut(t.Zone) && !m.rules.Backends[t.Backend]
}
