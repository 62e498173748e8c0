package rollout

import (
	"time"

	"pollenhill.example/core/protocol/control"
)

// finding is the worst verdict on the target version with what it is based on.
type finding struct {
	verdict  verdict
	reason   Reason
	evidence Evidence
}

// allRoutes is the name under which the answers of all routes are compared, for services with few requests.
const allRoutes = "*"

// recentSlots is the number of the newest slots in which a fault that comes late is looked for; earlier good answers would
// hide it.
const recentSlots = 4

// judge compares the target version with the others on each route and on all of them, over the whole rollout and over the
// recent past.
func (p *progress) judge(now time.Time) finding {
	slots := append(p.slots[:len(p.slots):len(p.slots)], p.openSlot())
	worst := finding{evidence: p.summarize(now)}
	routes := map[string]struct{}{allRoutes: {}}
	for _, s := range slots {
		for route := range s {
			routes[route] = struct{}{}
		}
	}
	for route := range routes {
		strata := p.strata(slots, route)
		worst.add(route, strata)
		worst.add(route, strata[max(0, len(strata)-recentSlots):])
	}
	return worst
}

// add keeps the verdict on a route if it is worse.
func (f *finding) add(route string, list []stratum) {
	if byFailures := compareFailures(list); byFailures > f.verdict {
		f.verdict, f.reason, f.evidence.Route = byFailures, TargetFails, route
	}
	// Routes differ in their times, so that those of several are not compared together.
	if route == allRoutes {
		return
	}
	if byTimes := compareTimes(list); byTimes > f.verdict {
		f.verdict, f.reason, f.evidence.Route = byTimes, TargetSlow, route
	}
}

// slot holds the counts of one slot of time, by route and node.
type slot map[string]map[string]*counts

// openSlot returns the counts since the end of the last slot.
func (p *progress) openSlot() slot {
	s := slot{}
	for name, n := range p.nodes {
		o := n.observation
		old := p.slotEnd[name]
		if old != nil && (old.GetIncarnation() != o.GetIncarnation() || old.GetName() != o.GetName()) {
			old = nil
		}
		for _, r := range o.GetRoutes() {
			c := &counts{}
			c.add(r)
			for _, before := range old.GetRoutes() {
				if before.GetRoute() == r.GetRoute() {
					c.subtract(before)
				}
			}
			if c.total() == 0 {
				continue
			}
			if s[r.GetRoute()] == nil {
				s[r.GetRoute()] = map[string]*counts{}
			}
			s[r.GetRoute()][name] = c
		}
	}
	return s
}

// closeSlot ends a slot once it is long enough.
func (p *progress) closeSlot(now time.Time) {
	if now.Sub(p.slotEndedAt) < slotLength {
		return
	}
	if !p.slotEndedAt.IsZero() {
		p.slots = append(p.slots, p.openSlot())
		p.slots = p.slots[max(0, len(p.slots)-maxSlots):]
	}
	p.slotEndedAt = now
	p.slotEnd = map[string]*control.Observation{}
	for name, n := range p.nodes {
		p.slotEnd[name] = n.observation
	}
}

// forRoute returns the counts of a slot on a route, by node.
func (s slot) forRoute(route string) map[string]*counts {
	if route != allRoutes {
		return s[route]
	}
	sum := map[string]*counts{}
	for _, nodes := range s {
		for name, c := range nodes {
			if sum[name] == nil {
				sum[name] = &counts{}
			}
			sum[name].merge(c)
		}
	}
	return sum
}

// strata returns the counts of both versions on a route for each slot. The worst back ends of each version over all slots are
// left out. A slot in which the others have few answers, as in the last stage, also has those of the slots before it.
func (p *progress) strata(slots []slot, route string) []stratum {
	byNode := make([]map[string]*counts, len(slots))
	totals := map[string]*counts{}
	for i, s := range slots {
		byNode[i] = s.forRoute(route)
		for name, c := range byNode[i] {
			if totals[name] == nil {
				totals[name] = &counts{}
			}
			totals[name].merge(c)
		}
	}
	isTarget := func(name string) bool { return p.nodes[name].observation.GetVersion() == p.order.Target }
	skipped := worstNodes(totals, isTarget)
	list := make([]stratum, len(slots))
	for i := range slots {
		for name, c := range byNode[i] {
			switch {
			case skipped[name], p.nodes[name].observation.GetVersion() == "":
			case isTarget(name):
				list[i].target.merge(c)
			default:
				list[i].others.merge(c)
			}
		}
	}
	for i := range list {
		for j := i - 1; j >= 0 && list[i].others.total() < minSlotAnswers; j-- {
			list[i].others.merge(&list[j].others)
		}
	}
	return list
}

func (p *progress) summarize(now time.Time) Evidence {
	var e Evidence
	e.TargetBackends, e.OtherBackends = p.backends(now)
	for _, n := range p.nodes {
		var sum counts
		for _, r := range n.observation.GetRoutes() {
			sum.add(r)
		}
		if n.observation.GetVersion() == p.order.Target {
			e.TargetAnswers += sum.total()
			e.TargetFailures += sum.failed
		} else {
			e.OtherAnswers += sum.total()
			e.OtherFailures += sum.failed
		}
	}
	return e
}
