package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenhill.example/core/state/rule"
)

// Canaries are the back ends of the target version that get requests while its share is small. On few back ends the requests
// are dense enough to show a fault that appears only under load.
const (
	maxCanaryShare  = 0.1 // largest share of the requests that only canaries get
	canariesByShare = 4   // share of the back ends that are canaries, over the share of the requests
)

// rolloutSide is the part of the back ends of a service that one attempt may go to during its rollout; the zero value includes
// all of them.
type rolloutSide struct {
	rollout *rule.Rollout // nil: the service has none
	target  bool          // the target version while the rollout advances, else the others
}

// includes reports whether an attempt on this side may go to a back end.
func (s rolloutSide) includes(t Target) bool {
	r := s.rollout
	switch {
	case r == nil:
		return true
	case !r.Allows(t.Version):
		return false
	case r.State != rule.RolloutAdvancing:
		return true
	case !s.target:
		return t.Version != r.Target
	}
	return t.Version == r.Target && (r.Share > maxCanaryShare || isCanary(t.Backend, float64(r.Share)*canariesByShare))
}

// isCanary reports whether a back end is among the canaries, which are the same ones at every entry node.
func isCanary(backend string, share float64) bool {
	return float64(xxhash.Sum64String(backend)>>11) < share*(1<<53)
}

// rolloutCandidates returns the back ends for an attempt. While a rollout advances, the target version gets its share of the
// attempts; if it has no back end with room, they go to the others, but never the other way round, since the share bounds what
// a bad version gets.
func (m *Model) rolloutCandidates(now time.Time, q Query) []candidate {
	r, ok := m.rules.Rollout(q.Service)
	if !ok {
		list, _ := m.candidates(now, q, rolloutSide{})
		return list
	}
	if r.State == rule.RolloutAdvancing && m.cfg.Rand.Float64() < float64(r.Share) {
		list, isLastResort := m.candidates(now, q, rolloutSide{rollout: &r, target: true})
		if !isLastResort {
			return list
		}
		if others, _ := m.candidates(now, q, rolloutSide{rollout: &r}); len(others) > 0 {
			return others
		}
		return list
	}
	list, _ := m.candidates(now, q, rolloutSide{rollout: &r})
	return list
}
