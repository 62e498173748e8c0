package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pollenhill.example/control/coordination/rollout"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/observation"
	"pollenhill.example/core/state/rule"
)

var epoch = time.Unix(1_000_000, 0)

const (
	step           = 100 * time.Millisecond
	decideInterval = 200 * time.Millisecond
	applyDelay     = 300 * time.Millisecond // until nodes have a new share
	canaries       = 0.28                   // share of the back ends that get a small share of the requests
)

// answer is one answer of a back end.
type answer struct {
	duration time.Duration
	failed   bool
}

// conditions are what a version may make its answers depend on.
type conditions struct {
	route   string
	elapsed time.Duration
	backend int
	load    float64 // share of the requests that go to the version
	rand    *rand.Rand
}

// scenario is a service with two versions.
type scenario struct {
	name      string
	within    time.Duration
	perSecond float64
	routes    map[string]float64 // share of the requests
	backends  int                // of each version
	startAt   time.Duration      // when the target's back ends are ready
	silence   func(elapsed time.Duration) bool
	restart   time.Duration // when another leader begins without evidence
	target    func(conditions) answer
	others    func(conditions) answer
	want      rule.RolloutState
	tolerated int // runs that may end otherwise, where the evidence is thin or disturbed
}

// usual answers as the present version does: a machine is slow for some of its answers, and one in 250 fails.
func usual(c conditions) answer {
	d := time.Duration(60 * math.Exp(0.3*c.rand.NormFloat64()) * float64(time.Millisecond))
	if c.rand.Float64() < 0.05 {
		d *= 5
	}
	return answer{duration: d, failed: c.rand.Float64() < 0.004}
}

// failing fails a share of the answers while the condition holds.
func failing(share float64, when func(conditions) bool) func(conditions) answer {
	return func(c conditions) answer {
		a := usual(c)
		a.failed = a.failed || when(c) && c.rand.Float64() < share
		return a
	}
}

// slow multiplies the time of a share of the answers while the condition holds.
func slow(share, factor float64, when func(conditions) bool) func(conditions) answer {
	return func(c conditions) answer {
		a := usual(c)
		if when(c) && c.rand.Float64() < share {
			a.duration = time.Duration(float64(a.duration) * factor)
		}
		return a
	}
}

func always(conditions) bool { return true }

// result is what a scenario came to.
type result struct {
	state          rule.RolloutState
	endedAt        time.Duration
	requests       int
	targetRequests int
	badAnswers     int           // failures of the target version
	fiftieth       time.Duration // when it gave its 50th bad answer
	lastAtTarget   time.Duration // last request at the target version
	lastAtOthers   time.Duration
}

// simulation plays a scenario.
type simulation struct {
	scenario
	model    *rollout.Model
	rand     *rand.Rand
	order    rollout.Order
	inForce  rule.Rollout // at the nodes
	pending  []change
	observed map[string]*control.Observation
	result   result
}

// change is a rollout that nodes will have at a time.
type change struct {
	at      time.Duration
	rollout rule.Rollout
}

func play(s scenario, seed uint64) result {
	sim := &simulation{scenario: s, model: rollout.New(), rand: rand.New(rand.NewPCG(seed, 1)), observed: map[string]*control.Observation{}}
	sim.order = rollout.Order{Rollout: rule.Rollout{Service: "s", Target: "v2", Within: s.within}, Index: 1, Revision: 1}
	sim.inForce = sim.order.Rollout
	sim.result.state = rule.RolloutAdvancing
	sim.model.Update(epoch, rollout.Orders{List: []rollout.Order{sim.order}})
	for elapsed := time.Duration(0); elapsed < s.within+5*time.Second; elapsed += step {
		sim.serve(elapsed)
		sim.observe(elapsed)
		if elapsed%decideInterval == 0 {
			sim.decide(elapsed)
		}
	}
	return sim.result
}

// serve runs the requests of one step.
func (s *simulation) serve(elapsed time.Duration) {
	for len(s.pending) > 0 && s.pending[0].at <= elapsed {
		s.inForce, s.pending = s.pending[0].rollout, s.pending[1:]
	}
	count := int(s.perSecond*step.Seconds() + s.rand.Float64())
	for range count {
		s.result.requests++
		c := conditions{elapsed: elapsed, rand: s.rand, backend: s.rand.IntN(s.backends), load: float64(s.inForce.Share), route: s.drawRoute()}
		share := s.inForce.Share
		if s.inForce.State == rule.RolloutReverted || elapsed < s.startAt {
			share = 0
		}
		if s.rand.Float64() >= float64(share) {
			s.result.lastAtOthers = elapsed
			s.count("v1", c, s.others(c))
			continue
		}
		if share <= 0.1 {
			c.backend = s.rand.IntN(max(1, int(canaries*float64(s.backends))))
			c.load = float64(share) / canaries
		}
		s.result.targetRequests++
		s.result.lastAtTarget = elapsed
		a := s.target(c)
		if a.failed {
			s.countBad(elapsed)
		}
		s.count("v2", c, a)
	}
}

func (s *simulation) countBad(elapsed time.Duration) {
	if s.result.badAnswers++; s.result.badAnswers == 50 {
		s.result.fiftieth = elapsed
	}
}

func (s *simulation) drawRoute() string {
	x := s.rand.Float64()
	last := ""
	for _, name := range []string{"a", "b", "c"} {
		if share := s.routes[name]; share > 0 {
			last = name
			if x -= share; x < 0 {
				return name
			}
		}
	}
	return last
}

// count adds an answer to the observation of the node beside the back end.
func (s *simulation) count(version string, c conditions, a answer) {
	o := s.observation(version, c.backend)
	var r *control.RouteCount
	for _, known := range o.GetRoutes() {
		if known.GetRoute() == c.route {
			r = known
		}
	}
	if r == nil {
		r = &control.RouteCount{Route: c.route, Times: make([]uint64, observation.Buckets)}
		o.Routes = append(o.Routes, r)
	}
	if a.failed {
		r.Failed++
		return
	}
	r.Times[observation.Bucket(a.duration)]++
}

func (s *simulation) observation(version string, backend int) *control.Observation {
	name := fmt.Sprintf("%s-%d", version, backend)
	if s.observed[name] == nil {
		s.observed[name] = &control.Observation{
			Node: name, Incarnation: 1, Name: name, Service: "s", Version: version, State: control.State_STATE_READY, Slots: 6,
		}
	}
	return s.observed[name]
}

// observe sends the observations of all nodes each observation.Interval.
func (s *simulation) observe(elapsed time.Duration) {
	if elapsed%observation.Interval != 0 || s.silence != nil && s.silence(elapsed) {
		return
	}
	for i := range s.backends {
		s.send(elapsed, s.observation("v1", i))
		if elapsed >= s.startAt {
			s.send(elapsed, s.observation("v2", i))
		}
	}
}

func (s *simulation) send(elapsed time.Duration, o *control.Observation) {
	o.Sequence++
	o.Revision = s.order.Revision
	s.model.Update(epoch.Add(elapsed), rollout.Observed{Observation: clone(o)})
}

// decide carries out the decisions of the model.
func (s *simulation) decide(elapsed time.Duration) {
	if s.restart > 0 && elapsed == s.restart {
		s.model = rollout.New()
		o := s.order
		o.Age = elapsed
		s.model.Update(epoch.Add(elapsed), rollout.Orders{List: []rollout.Order{o}})
	}
	for _, a := range s.model.Update(epoch.Add(elapsed), rollout.Tick{}) {
		s.order.Share, s.order.State, s.order.Replaced = a.Share, a.State, a.Replaced
		s.order.Revision++
		s.pending = append(s.pending, change{at: elapsed + applyDelay, rollout: s.order.Rollout})
		s.model.Update(epoch.Add(elapsed), rollout.Orders{List: []rollout.Order{s.order}})
		if a.State != rule.RolloutAdvancing {
			s.result.state, s.result.endedAt = a.State, elapsed
		}
	}
}

func clone(o *control.Observation) *control.Observation {
	c := &control.Observation{
		Node: o.GetNode(), Incarnation: o.GetIncarnation(), Sequence: o.GetSequence(), Name: o.GetName(), Service: o.GetService(),
		Version: o.GetVersion(), State: o.GetState(), Slots: o.GetSlots(), Revision: o.GetRevision(), Inflight: o.GetInflight(),
	}
	for _, r := range o.GetRoutes() {
		c.Routes = append(c.Routes, &control.RouteCount{Route: r.GetRoute(), Failed: r.GetFailed(), Times: append([]uint64{}, r.GetTimes()...)})
	}
	return c
}

var (
	twoRoutes = map[string]float64{"a": 0.55, "b": 0.45}
	booking   = scenario{within: 12 * time.Second, perSecond: 500, routes: twoRoutes, backends: 35, startAt: 3500 * time.Millisecond, others: usual}
	quiet     = scenario{within: 12 * time.Second, perSecond: 20, routes: twoRoutes, backends: 10, startAt: 3500 * time.Millisecond, others: usual}
)

func with(base scenario, name string, want rule.RolloutState, target func(conditions) answer, edit func(*scenario)) scenario {
	base.name, base.want, base.target = name, want, target
	if edit != nil {
		edit(&base)
	}
	return base
}

func scenarios() []scenario {
	slowBackends := func(c conditions) answer {
		a := usual(c)
		if c.backend%7 == 0 {
			a.duration *= 5
			a.failed = a.failed || c.rand.Float64() < 0.4
		}
		return a
	}
	late := func(from time.Duration) func(conditions) bool {
		return func(c conditions) bool { return c.elapsed >= from }
	}
	onRoute := func(c conditions) bool { return c.route == "b" }
	underLoad := func(c conditions) bool { return c.load >= 0.2 }
	tolerate := func(runs int) func(*scenario) { return func(s *scenario) { s.tolerated = runs } }
	return []scenario{
		with(booking, "good", rule.RolloutCompleted, usual, nil),
		with(booking, "good, 16 s", rule.RolloutCompleted, usual, func(s *scenario) { s.within = 16 * time.Second }),
		with(booking, "good, single back ends of both versions are faulty", rule.RolloutCompleted, slowBackends, func(s *scenario) { s.others, s.tolerated = slowBackends, 2 }),
		with(booking, "good, single back ends of the target are faulty", rule.RolloutCompleted, slowBackends, tolerate(2)),
		with(booking, "good, both versions fail for a while", rule.RolloutCompleted, failing(0.3, late(7*time.Second)), func(s *scenario) {
			s.others, s.tolerated = failing(0.3, late(7*time.Second)), 2
		}),
		with(booking, "good, another leader midway", rule.RolloutCompleted, usual, func(s *scenario) { s.restart, s.tolerated = 6*time.Second, 1 }),
		with(booking, "good, another leader at the end", rule.RolloutCompleted, usual, func(s *scenario) { s.restart, s.tolerated = 8600*time.Millisecond, 1 }),
		with(booking, "good, no observations for 2.5 s", rule.RolloutCompleted, usual, func(s *scenario) {
			s.silence = func(elapsed time.Duration) bool {
				return elapsed > 5*time.Second && elapsed < 7500*time.Millisecond
			}
		}),
		with(quiet, "good, quiet service", rule.RolloutCompleted, usual, nil),
		with(quiet, "good, no requests", rule.RolloutCompleted, usual, func(s *scenario) { s.perSecond = 0 }),
		with(booking, "target never starts", rule.RolloutReverted, usual, func(s *scenario) { s.startAt = time.Hour }),
		with(booking, "fails at once", rule.RolloutReverted, failing(0.3, always), nil),
		with(booking, "fails rarely", rule.RolloutReverted, failing(0.12, always), nil),
		with(booking, "slow at once", rule.RolloutReverted, slow(0.4, 4, always), nil),
		with(booking, "all slow", rule.RolloutReverted, slow(1, 3, always), nil),
		with(booking, "fails after 6 s", rule.RolloutReverted, failing(0.3, late(6*time.Second)), nil),
		with(booking, "fails after 7.5 s", rule.RolloutReverted, failing(0.3, late(7500*time.Millisecond)), nil),
		with(booking, "slow after 6 s", rule.RolloutReverted, slow(0.4, 4, late(6*time.Second)), nil),
		with(booking, "fails on one route", rule.RolloutReverted, failing(0.3, onRoute), nil),
		with(booking, "slow on one route", rule.RolloutReverted, slow(0.5, 4, onRoute), nil),
		with(booking, "fails under load", rule.RolloutReverted, failing(0.3, underLoad), nil),
		with(booking, "fails, another leader midway", rule.RolloutReverted, failing(0.3, late(5*time.Second)), func(s *scenario) { s.restart = 6 * time.Second }),
		with(booking, "fails, observations are late", rule.RolloutReverted, failing(0.3, late(4*time.Second)), func(s *scenario) {
			s.silence = func(elapsed time.Duration) bool { return elapsed > 5*time.Second && elapsed < 7*time.Second }
		}),
		with(quiet, "fails, quiet service", rule.RolloutReverted, failing(0.4, always), tolerate(2)),
	}
}

// Guards against a bad version that gets more than a tenth of the requests before it is reverted or is used for more than 5 s
// after its 50th bad answer (EXPOSURE), against a good one that is not completed in time, and against a completion while
// requests still go to the other version, whose back ends then stop.
func TestScenarios(t *testing.T) {
	const (
		seeds          = 20
		slackRequests  = 50
		exposureShare  = 0.1
		rollbackPeriod = 5 * time.Second
	)
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			missed := 0
			for seed := range uint64(seeds) {
				r := play(s, seed)
				inTime := s.want == rule.RolloutReverted || r.endedAt <= s.within
				if r.state != s.want || !inTime {
					missed++
					t.Logf("seed %d: %s at %v after %d of %d requests", seed, r.state, r.endedAt, r.targetRequests, r.requests)
				}
				if s.want == rule.RolloutCompleted && r.state == s.want && r.lastAtOthers >= r.endedAt {
					t.Errorf("seed %d: completed at %v, last request at the other version at %v", seed, r.endedAt, r.lastAtOthers)
				}
				if s.want != rule.RolloutReverted || r.state != s.want {
					continue
				}
				if limit := exposureShare*s.perSecond*s.within.Seconds() + slackRequests; float64(r.targetRequests) > limit {
					t.Errorf("seed %d: %d of %d requests at the bad version", seed, r.targetRequests, r.requests)
				}
				if r.badAnswers >= 50 && r.lastAtTarget > r.fiftieth+rollbackPeriod {
					t.Errorf("seed %d: request at %v, 50th bad answer at %v", seed, r.lastAtTarget, r.fiftieth)
				}
			}
			if missed > s.tolerated {
				t.Errorf("%d of %d runs ended otherwise than %s", missed, seeds, s.want)
			}
		})
	}
}
