package rollout

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
)

// stage is a share of the requests for the target version, and the part of the time limit after which the next stage begins.
type stage struct {
	share rule.Ratio
	until float64
}

// stages keep what a bad version gets until its last stage below a tenth of the requests within the time limit: 7% for half of
// the time, then 20% and 50% for a twelfth each. A quarter of the time is left for the end of the other versions, a new leader
// and a slow disk.
var stages = []stage{{0, 0}, {0.07, 0.55}, {0.2, 0.63}, {0.5, 0.71}, {1, 1}}

// Times of a rollout; the parts are of its time limit.
const (
	observationTimeout = 2 * time.Second         // after which a silent node does not count
	evidencePeriod     = 1200 * time.Millisecond // of observations before the first decision of a leader
	decisionTimeout    = 600 * time.Millisecond  // after which a decision that had no effect is made again
	minStage           = 700 * time.Millisecond  // a stage shows nothing before nodes have it and answers come
	slotLength         = 500 * time.Millisecond  // of the slots within which versions are compared

	startPart   = 0.3  // after which the rollout begins with few back ends of the target version
	suspectPart = 0.85 // up to which more evidence is waited for

	minDrain     = time.Second     // at the last stage before a rollout is completed
	silenceDrain = 3 * time.Second // at the last stage while nodes beside the other versions are silent
)

// Bounds of the counts.
const (
	maxSlots        = 128  // earlier ones are dropped
	minSlotAnswers  = 50   // of the other versions in a slot for a comparison; with fewer, earlier slots are added
	minStageAnswers = 12   // of the target version before the share is widened
	maxStageDelay   = 0.07 // part of the time limit for which a stage waits for them
)

// Back ends of the target version that are needed, over the back ends of the others.
const (
	minStartBackends = 0.15 // for the first requests
	minRoom          = 0.7  // over the share, before the share is widened
)

// Model holds the progress of all rollouts; it is not safe for concurrent use.
type Model struct{ rollouts map[string]*progress }

// progress is the state of one rollout in this control process.
type progress struct {
	order        Order
	startedAt    time.Time
	stageSince   time.Time // when the present share was first seen
	decidedAt    time.Time // of the last decision that has had no effect yet, else zero
	nodes        map[string]*node
	evidenceFrom time.Time // begin of the present run of observations
	lastObserved time.Time
	versions     []string                        // other versions that were seen
	slots        []slot                          // that have ended
	slotEnd      map[string]*control.Observation // at the end of the last slot, by node
	slotEndedAt  time.Time
	stageAnswers uint64 // of the target version before the present stage
}

// node is the newest observation of a node.
type node struct {
	observation *control.Observation
	at          time.Time
}

// New returns a Model without rollouts.
func New() *Model { return &Model{rollouts: map[string]*progress{}} }

// Update applies one message at the given time and returns the decisions.
func (m *Model) Update(now time.Time, msg Msg) []Advance {
	switch msg := msg.(type) {
	case Orders:
		m.setOrders(now, msg.List)
	case Observed:
		if p, ok := m.rollouts[msg.Observation.GetService()]; ok {
			p.observe(now, msg.Observation)
		}
	case Tick:
		return m.decide(now)
	}
	return nil
}

func (m *Model) setOrders(now time.Time, list []Order) {
	next := map[string]*progress{}
	for _, o := range list {
		p, known := m.rollouts[o.Service]
		if !known || p.order.Index != o.Index {
			p = &progress{startedAt: now.Add(-o.Age), stageSince: now, nodes: map[string]*node{}}
		} else if p.order.Share != o.Share || p.order.State != o.State {
			p.stageSince, p.decidedAt, p.stageAnswers = now, time.Time{}, p.summarize(now).TargetAnswers
		} else {
			o.Revision = p.order.Revision
		}
		p.order = o
		next[o.Service] = p
	}
	m.rollouts = next
}

// observe keeps the newest observation of a node.
func (p *progress) observe(now time.Time, o *control.Observation) {
	if p.order.State != rule.RolloutAdvancing {
		return
	}
	old := p.nodes[o.GetNode()]
	if old != nil && !isNewer(o, old.observation) {
		return
	}
	if now.Sub(p.lastObserved) > observationTimeout {
		p.evidenceFrom = now
	}
	p.lastObserved = now
	p.nodes[o.GetNode()] = &node{observation: o, at: now}
	if v := o.GetVersion(); v != "" && v != p.order.Target && !slices.Contains(p.versions, v) {
		p.versions = append(p.versions, v)
	}
}

func isNewer(o, old *control.Observation) bool {
	if o.GetIncarnation() != old.GetIncarnation() {
		return o.GetIncarnation() > old.GetIncarnation()
	}
	return o.GetSequence() > old.GetSequence()
}

func (m *Model) decide(now time.Time) []Advance {
	var list []Advance
	for _, service := range lo.Keys(m.rollouts) {
		p := m.rollouts[service]
		if p.order.State != rule.RolloutAdvancing {
			continue
		}
		p.closeSlot(now)
		if now.Sub(p.decidedAt) < decisionTimeout {
			continue
		}
		if a, ok := p.next(now); ok {
			p.decidedAt = now
			a.Service, a.Index, a.Elapsed = service, p.order.Index, now.Sub(p.startedAt)
			list = append(list, a)
		}
	}
	return list
}

// next returns the next decision about a rollout, or false to go on as it is.
func (p *progress) next(now time.Time) (Advance, bool) {
	elapsed, limit := now.Sub(p.startedAt), p.order.Within
	part := elapsed.Seconds() / max(limit.Seconds(), 1e-3)
	if p.order.Share == 0 {
		return p.begin(now, part)
	}
	finding := p.judge(now)
	switch {
	case finding.verdict == faulty:
		return p.revert(finding.reason, finding.evidence), true
	case finding.verdict == suspect && part >= suspectPart:
		return p.revert(FaultSuspect, finding.evidence), true
	case finding.verdict == suspect:
		return Advance{}, false
	case p.order.Share >= 1 && p.drained(now):
		return Advance{Share: 1, State: rule.RolloutCompleted, Replaced: p.versions, Reason: Drained, Evidence: finding.evidence}, true
	case p.order.Share >= 1:
		return Advance{}, false
	case part >= 1:
		return p.revert(TimeLimit, finding.evidence), true
	case !p.stageDone(now, part, finding.evidence.TargetAnswers) || !p.hasEvidence(now):
		return Advance{}, false
	}
	share := p.nextShare(part)
	if !p.hasRoom(now, share) {
		return Advance{}, false
	}
	return Advance{Share: share, Reason: NoFault, Evidence: finding.evidence}, true
}

// begin starts the rollout once enough back ends of the target version are ready.
func (p *progress) begin(now time.Time, part float64) (Advance, bool) {
	target, others := p.backends(now)
	evidence := Evidence{TargetBackends: target, OtherBackends: others}
	switch {
	case part >= 1:
		return p.revert(TimeLimit, evidence), true
	case target == 0 || !p.hasEvidence(now):
		return Advance{}, false
	case part < startPart && float64(target) < minStartBackends*float64(others):
		return Advance{}, false
	}
	return Advance{Share: stages[1].share, Reason: NoFault, Evidence: evidence}, true
}

func (p *progress) revert(reason Reason, e Evidence) Advance {
	return Advance{State: rule.RolloutReverted, Reason: reason, Evidence: e}
}

// hasEvidence reports whether nodes have been heard for long enough that the counts are not those of a few of them, as after a
// change of the leader.
func (p *progress) hasEvidence(now time.Time) bool {
	return now.Sub(p.lastObserved) <= observationTimeout && now.Sub(p.evidenceFrom) >= evidencePeriod
}

// stageDone reports whether the present share has been in force for its time, which is longer while the target version has few
// answers.
func (p *progress) stageDone(now time.Time, part float64, answers uint64) bool {
	current, _ := lo.Find(stages, func(s stage) bool { return s.share >= p.order.Share })
	inForce := now.Sub(p.stageSince)
	if part < current.until || inForce < minStage {
		return false
	}
	enough := answers >= p.stageAnswers+minStageAnswers
	return enough || part >= current.until+maxStageDelay && inForce >= time.Duration(maxStageDelay*float64(p.order.Within))
}

// nextShare returns the share of the next stage, or that of the one after it if its time is over too.
func (p *progress) nextShare(part float64) rule.Ratio {
	i := slices.IndexFunc(stages, func(s stage) bool { return s.share > p.order.Share })
	if i+1 < len(stages) && part >= stages[i].until {
		i++
	}
	return stages[i].share
}

// hasRoom reports whether the target version has the back ends for a share of the requests.
func (p *progress) hasRoom(now time.Time, share rule.Ratio) bool {
	target, others := p.backends(now)
	return float64(target) >= minRoom*float64(share)*float64(others)
}

// backends returns the numbers of ready back ends of the target version and of the others.
func (p *progress) backends(now time.Time) (target, others int) {
	for _, n := range p.live(now) {
		o := n.observation
		switch {
		case o.GetVersion() == "" || o.GetState() != control.State_STATE_READY:
		case o.GetVersion() == p.order.Target:
			target++
		default:
			others++
		}
	}
	return target, others
}

// live returns the nodes that have been heard lately.
func (p *progress) live(now time.Time) []*node {
	return lo.Filter(lo.Values(p.nodes), func(n *node, _ int) bool { return now.Sub(n.at) <= observationTimeout })
}

// drained reports whether nothing runs at the other versions and nothing can be sent there any more: the nodes beside them have
// the rules that refuse it. A node that is silent has lost its back end, or is cut off; after a while it is not waited for.
func (p *progress) drained(now time.Time) bool {
	inForce := now.Sub(p.stageSince)
	if inForce < minDrain || !p.hasEvidence(now) {
		return false
	}
	for _, n := range p.nodes {
		o := n.observation
		if o.GetVersion() == p.order.Target {
			continue
		}
		silent := now.Sub(n.at) > observationTimeout || o.GetRevision() < p.order.Revision
		if silent && inForce < silenceDrain || !silent && o.GetInflight() > 0 {
			return false
		}
	}
	return true
}
