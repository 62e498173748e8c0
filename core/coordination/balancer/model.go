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

// DefaultCandidates is the number of randomly drawn back ends compared for one attempt.
const DefaultCandidates = 3

// DefaultInterZoneLatency is the one-way latency between zones assumed when the Config has none.
const DefaultInterZoneLatency = time.Millisecond

// Model holds what one entry node knows of the back ends and picks the targets of its attempts; it is not safe for
// concurrent use.
type Model struct {
	cfg       Config
	targets   map[string][]Target // by service
	serviceOf map[string]string   // by back end
	rules     *rule.Set
	backends  map[string]*backendState  // by back end
	services  map[string]*serviceState  // by service
	outliers  map[string]*outlier.Model // by service

	conditions map[string]*condition // by back end, only of those with a request limit or about to end
}

// Config holds the location of the entry node and the parameters of a Model.
type Config struct {
	Zone             string // of the entry node
	Region           string // of the entry node
	Rand             *rand.Rand
	Candidates       int           // back ends compared per attempt, 0 for DefaultCandidates
	InterZoneLatency time.Duration // one-way latency between zones, 0 for DefaultInterZoneLatency
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
		cfg:       cfg,
		targets:   map[string][]Target{},
		serviceOf: map[string]string{},
		rules:     &rule.Set{},
		backends:  map[string]*backendState{},
		services:  map[string]*serviceState{},
		outliers:  map[string]*outlier.Model{},

		conditions: map[string]*condition{},
	}
}

// Update applies one message at the given time.
func (m *Model) Update(now time.Time, msg Msg) {
	switch msg := msg.(type) {
	case Targets:
		m.setTargets(msg.List)
		m.dropConditions(now)
	case Rules:
		m.rules = msg.Set
	case Begin:
		m.begin(now, msg)
	case End:
		m.end(now, msg)
	case LoadReport:
		m.recordReport(now, msg)
	case Condition:
		m.applyCondition(now, msg)
	}
}

// setTargets replaces the targets and keeps the state of those that remain.
func (m *Model) setTargets(targets []Target) {
	previous := map[string]Target{}
	for _, ts := range m.targets {
		for _, t := range ts {
			previous[t.Backend] = t
		}
	}
	m.targets = lo.GroupBy(targets, func(t Target) string { return t.Service })
	m.serviceOf = map[string]string{}
	backends := map[string]*backendState{}
	for _, t := range targets {
		m.serviceOf[t.Backend] = t.Service
		backends[t.Backend] = m.retainedState(previous, t)
	}
	m.backends = backends
	for name, ts := range m.targets {
		m.outlierModel(name).Update(time.Time{}, outlier.Backends{
			Names: lo.Map(ts, func(t Target, _ int) string { return t.Backend }),
		})
	}
}

// retainedState returns the state of a target across a change of the targets. A new incarnation or a change of its State
// makes earlier hints and latencies invalid; attempts in flight still count.
func (m *Model) retainedState(previous map[string]Target, t Target) *backendState {
	b, ok := m.backends[t.Backend]
	if !ok {
		return &backendState{}
	}
	if old := previous[t.Backend]; old.Incarnation != t.Incarnation || old.State != t.State {
		return &backendState{inflight: b.inflight}
	}
	return b
}

func (m *Model) outlierModel(service string) *outlier.Model {
	if m.outliers[service] == nil {
		m.outliers[service] = outlier.New(outlier.Config{})
	}
	return m.outliers[service]
}

func (m *Model) serviceState(name string) *serviceState {
	if m.services[name] == nil {
		m.services[name] = &serviceState{}
	}
	return m.services[name]
}

// begin counts an attempt as in flight. One to an ejected back end is a trial that may end its ejection.
func (m *Model) begin(now time.Time, msg Begin) {
	b, ok := m.backends[msg.Backend]
	if !ok {
		return
	}
	b.inflight++
	o := m.outlierModel(m.serviceOf[msg.Backend])
	if o.Ejected(msg.Backend) {
		o.Update(now, outlier.TrialSent{Backend: msg.Backend})
	}
}

func (m *Model) end(now time.Time, msg End) {
	b, ok := m.backends[msg.Backend]
	if !ok {
		return
	}
	b.inflight = max(0, b.inflight-1)
	if msg.Result == Succeeded {
		b.recordLatency(msg.Latency)
	} else if msg.Result != Cancelled {
		b.lastFailure = now
	}
	if msg.Hint != nil {
		m.recordReport(now, LoadReport{Backend: msg.Backend, Hint: *msg.Hint})
	}
	// A back end in cold start is slow by its own announcement; without requests it would never warm up, so it is not
	// ejected.
	if result, ok := outlierResults[msg.Result]; ok && m.targetState(msg.Backend) != admission.Cold {
		sample := outlier.Sample{Backend: msg.Backend, Result: result, Latency: msg.Latency}
		m.outlierModel(m.serviceOf[msg.Backend]).Update(now, sample)
	}
}

func (m *Model) targetState(backend string) admission.State {
	for _, t := range m.targets[m.serviceOf[backend]] {
		if t.Backend == backend {
			return t.State
		}
	}
	return admission.Absent
}

// outlierResults maps results to samples of package outlier. Cancelled is left out: an attempt that lost to a hedge says
// nothing about its back end.
var outlierResults = map[Result]outlier.Result{
	Succeeded:   outlier.Good,
	Refused:     outlier.Full,
	Failed:      outlier.Failed,
	Lost:        outlier.Failed,
	Unreachable: outlier.Absent,
}

func (m *Model) recordReport(now time.Time, msg LoadReport) {
	b, ok := m.backends[msg.Backend]
	if !ok {
		return
	}
	at := now.Add(-msg.Age)
	s := m.serviceState(m.serviceOf[msg.Backend])
	b.recordHint(at, msg.Hint)
	m.hearLimit(now, msg.Backend, msg.Hint.RequestLimit, msg.Hint.RequestShare)
	s.recordHint(b)
}

// overloadThreshold is the number of requests per slot, queued ones included, from which a service as a whole is
// overloaded; below it, full back ends are due to uneven distribution.
const overloadThreshold = 1.5

// Overloaded reports whether the hints of a service show more requests than it can handle. Without overload, a refusal is
// due to an old hint, and another back end probably has a free slot.
func (m *Model) Overloaded(service string) bool {
	return m.serviceState(service).totalLoad >= overloadThreshold
}

// DrainTime returns the mean time in which the back ends of a service finish the requests that wait there, by their hints.
func (m *Model) DrainTime(service string) time.Duration {
	s := m.serviceState(service)
	waiting := max(0, s.totalLoad-1) // per slot
	return time.Duration(waiting * s.serviceTime * float64(time.Second))
}

// Pick returns the target for one attempt, or false if no back end may get new work.
func (m *Model) Pick(now time.Time, q Query) (Target, bool) {
	t, ok := m.pick(now, q)
	t.KnownLimit = m.knownLimit(t.Backend)
	return t, ok
}

func (m *Model) pick(now time.Time, q Query) (Target, bool) {
	candidates := m.rolloutCandidates(now, q)
	if len(candidates) == 0 {
		return Target{}, false
	}
	if _, pool := m.rules.Pool(q.Service); pool {
		return m.pickFastest(now, candidates, q)
	}
	if t, ok := m.pickCold(candidates, q); ok {
		return t, true
	}
	if len(q.Exclude) > 0 {
		candidates = preferFreeSlots(candidates)
	}
	spill := m.spillThreshold(q.Service)
	local, remote := lo.FilterReject(candidates, func(c candidate, _ int) bool { return c.Zone == m.cfg.Zone })
	bestLocal, hasLocal := m.lowestExpectedTime(local)
	if hasLocal && bestLocal.utilization() <= spill {
		return bestLocal.Target, true
	}
	bestRemote, hasRemote := m.lowestExpectedTime(remote)
	// Stale hints cannot show that the own zone is busier than others. The staler they are, the less the round trip counts,
	// so that an imbalance between zones does not last.
	roundTrip := 2 * m.cfg.InterZoneLatency.Seconds() * (1 - min(bestLocal.uncertainty, bestRemote.uncertainty))
	if !hasLocal || (hasRemote && bestRemote.expectedTime()+roundTrip < bestLocal.expectedTime()) {
		return bestRemote.Target, true
	}
	return bestLocal.Target, true
}

// pickCold returns a back end in cold start with a free slot for its share of the calls, which is its share of the slots.
// Cold back ends are slow: picked by expected time only, they would not get the work that warms them up. Retries and
// hedges are not used for this.
func (m *Model) pickCold(candidates []candidate, q Query) (Target, bool) {
	total := lo.SumBy(candidates, func(c candidate) float64 { return c.limit })
	drawn := -1.0
	for _, c := range candidates {
		if c.State != admission.Cold || c.utilization() > 1 || len(q.Exclude) > 0 {
			continue
		}
		if drawn < 0 {
			drawn = m.cfg.Rand.Float64() * total
		}
		if drawn < c.limit {
			return c.Target, true
		}
		drawn -= c.limit
	}
	return Target{}, false
}

// preferFreeSlots returns the candidates with a free slot if there are any, else all: after a refusal, a slow back end
// with a free slot is better than a full one that refuses again.
func preferFreeSlots(candidates []candidate) []candidate {
	free := lo.Filter(candidates, func(c candidate, _ int) bool { return c.utilization() <= 1 })
	if len(free) > 0 {
		return free
	}
	return candidates
}

// spillThreshold returns the share of its concurrency limit up to which a back end of the own zone is preferred.
func (m *Model) spillThreshold(service string) float64 {
	if s := float64(m.rules.Services[service].SpillThreshold); s > 0 {
		return s
	}
	return float64(rule.DefaultSpillThreshold)
}

// candidate is a target with its estimate.
type candidate struct {
	Target
	estimate
}

// candidates returns the targets that may get the attempt: those of the own region if there are any, else those of other
// regions. The last resort are ejected back ends, cold ones at their limit, those beyond the share of their request limit
// and those that admit nothing; onlyLastResort reports that there are no others.
func (m *Model) candidates(now time.Time, q Query, side rolloutSide) (list []candidate, onlyLastResort bool) {
	service, rules, outliers := m.serviceState(q.Service), m.rules.Services[q.Service], m.outlierModel(q.Service)
	var ownRegion, otherRegions, lastResort []candidate
	for _, t := range m.targets[q.Service] {
		if !m.acceptsWork(t) || slices.Contains(q.Exclude, t.Backend) || !side.includes(t) {
			continue
		}
		if q.SpareCapacityOnly && m.isLimited(t.Backend) {
			continue
		}
		c := candidate{Target: t, estimate: service.estimate(now, t, m.backends[t.Backend], rules)}
		if _, pool := m.rules.Pool(q.Service); q.SpareCapacityOnly && !pool && c.utilization() > m.spillThreshold(q.Service) {
			continue
		}
		switch {
		case !outliers.Available(now, t.Backend), m.coldAtLimit(c), m.drawBeyondLimit(t.Backend), m.backends[t.Backend].admitsNothing(now):
			lastResort = append(lastResort, c)
		case t.Region != m.cfg.Region:
			otherRegions = append(otherRegions, c)
		default:
			ownRegion = append(ownRegion, c)
		}
	}
	for _, cs := range [][]candidate{ownRegion, otherRegions} {
		if len(cs) > 0 {
			return cs, false
		}
	}
	return lastResort, true
}

// coldAtLimit reports whether a cold back end has as many requests as its destination admits.
func (m *Model) coldAtLimit(c candidate) bool {
	return c.State == admission.Cold && c.utilization() > 1
}

// lowestExpectedTime draws up to cfg.Candidates of the given candidates, in proportion to their capacity, and returns the
// one with the lowest expected time.
func (m *Model) lowestExpectedTime(cs []candidate) (candidate, bool) {
	if len(cs) == 0 {
		return candidate{}, false
	}
	best := cs[0]
	found := false
	cs = slices.Clone(cs)
	for range min(m.cfg.Candidates, len(cs)) {
		i := m.drawByCapacity(cs)
		if !found || cs[i].expectedTime() < best.expectedTime() {
			best, found = cs[i], true
		}
		cs = slices.Delete(cs, i, i+1)
	}
	return best, true
}

// drawByCapacity returns the index of a random candidate.
func (m *Model) drawByCapacity(cs []candidate) int {
	total := 0.0
	for _, c := range cs {
		total += c.capacity()
	}
	drawn := m.cfg.Rand.Float64() * total
	for i, c := range cs {
		drawn -= c.capacity()
		if drawn < 0 {
			return i
		}
	}
	return len(cs) - 1
}

// capacity returns the throughput of a back end at its concurrency limit, in requests per second.
func (e estimate) capacity() float64 {
	return max(e.limit, 0.1) / e.serviceTime
}

// acceptsWork reports whether a target is serving and has not said that it leaves, and neither it nor its zone is taken out
// by the rules.
func (m *Model) acceptsWork(t Target) bool {
	serving := t.State == admission.Cold || t.State == admission.Ready
	return serving && !m.rules.ZoneOut(t.Zone) && !m.rules.BackendsOut[t.Backend] && !m.saidLeaving(t)
}
