package program

import (
	"context"
	"math"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/observation"
	"pollenhill.example/core/state/rule"
)

// updateObserver makes the observer count while a rollout of the service of the local back end advances.
func (n *Node) updateObserver() {
	a, state := n.backend.CurrentAnnouncement()
	r, ok := n.activeRules.Load().set.Rollout(a.Service)
	if !ok || state == admission.Absent {
		n.observer.SetRollout("", "", nil)
		return
	}
	n.observer.SetRollout(a.Name, a.Version, &r)
	n.rolloutChanged.signal()
}

// rolloutPercent returns the share of the requests for the target version of the rollout of the service of the local back end,
// -1 if none advances.
func (n *Node) rolloutPercent() int64 {
	a, _ := n.backend.CurrentAnnouncement()
	r, ok := n.activeRules.Load().set.Rollout(a.Service)
	if !ok || r.State != rule.RolloutAdvancing {
		return -1
	}
	return int64(math.Round(float64(r.Share) * 100))
}

// reportObservations sends what the observer has counted until ctx ends.
func (n *Node) reportObservations(ctx context.Context) {
	ticker := time.NewTicker(observation.Interval)
	defer ticker.Stop()
	for {
		var tick <-chan time.Time // nil while there is nothing to observe
		if n.observer.Active() {
			tick = ticker.C
		}
		select {
		case <-ctx.Done():
			return
		case <-n.rolloutChanged:
		case <-tick:
		}
		if o, ok := n.observe(); ok {
			sendCtx, cancel := context.WithTimeout(ctx, observation.Interval)
			_ = n.controlClient.Observe(sendCtx, o) // the next one includes its counts
			cancel()
		}
	}
}

// observe returns the observation to send, or false if no rollout of the service of the local back end advances.
func (n *Node) observe() (*control.Observation, bool) {
	a, state := n.backend.CurrentAnnouncement()
	routes, ok := n.observer.Counts()
	if !ok || state == admission.Absent {
		return nil, false
	}
	hint := n.engine.View().Admission.Hint
	return &control.Observation{
		Incarnation: n.incarnation,
		Name:        a.Name,
		Service:     a.Service,
		Version:     a.Version,
		State:       control.State(state),
		Slots:       uint32(a.Slots),
		Inflight:    uint32(hint.Inflight + hint.Queued),
		Revision:    n.rulesRevision(),
		Routes:      routes,
	}, true
}
