package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"pollenhill.example/control/coordination/directory"
	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/control/coordination/rollout"
	"pollenhill.example/control/transport/peer"
	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/rule"
)

const (
	// rolloutInterval is the time between two looks at the rollouts, and between two batches of observations to the leader.
	rolloutInterval = 200 * time.Millisecond
	// observeTimeout limits the transfer of a batch; its counts come again with the next observations.
	observeTimeout = 400 * time.Millisecond
	// advanceTimeout limits the commit of a decision, which is made again if it has no effect.
	advanceTimeout = time.Second
	// maxPendingObservations bounds the observations that wait for the next batch.
	maxPendingObservations = 8192
)

// rollouts passes the observations of nodes to the leader and, on the leader, commits the decisions of the model.
type rollouts struct {
	name    string // of this control process
	group   *raftgroup.Group
	clients *peer.Clients
	log     *event.Log
	model   *rollout.Model // used only by Run

	mu       sync.Mutex
	pending  map[string]*control.Observation // newest by node
	revision uint64                          // of the rules that the model has; used only by Run
	advances bool                            // one of the rollouts of the model advances; used only by Run
}

func newRollouts(i do.Injector) (*rollouts, error) {
	group, err := do.Invoke[*raftgroup.Group](i)
	if err != nil {
		return nil, err
	}
	return &rollouts{
		name: do.MustInvoke[Settings](i).Name, group: group, clients: do.MustInvoke[*peer.Clients](i), log: do.MustInvoke[*event.Log](i),
		model: rollout.New(), pending: map[string]*control.Observation{},
	}, nil
}

// Observe keeps the observations of nodes for the next batch.
func (r *rollouts) Observe(list []*control.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range list {
		if len(r.pending) < maxPendingObservations {
			r.pending[o.GetNode()] = o
		}
	}
}

// servingVersions returns the versions of the back ends of a service that the directory knows to serve, none if it is busy.
func servingVersions(ctx context.Context, d *directory.Directory, service string) []string {
	members, err := d.Members(ctx)
	if err != nil {
		return nil
	}
	versions := map[string]struct{}{}
	for _, m := range members {
		for _, b := range m.GetBackends() {
			if serving := b.GetState() == control.State_STATE_READY || b.GetState() == control.State_STATE_COLD; serving && b.GetService() == service {
				versions[b.GetVersion()] = struct{}{}
			}
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

func (r *rollouts) takePending() []*control.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) == 0 {
		return nil
	}
	list := lo.Values(r.pending)
	r.pending = map[string]*control.Observation{}
	return list
}

// Run follows the rollouts until ctx ends. While none advances it waits for the next change.
func (r *rollouts) Run(ctx context.Context) {
	for ctx.Err() == nil {
		applied := r.group.EntryApplied()
		r.applyOrders(time.Now())
		if !r.advances {
			select {
			case <-ctx.Done():
			case <-applied:
			}
			continue
		}
		list := r.takePending()
		switch v := r.group.View(); {
		case v.Leader == r.name && v.Current:
			r.lead(ctx, list)
		case v.Leader == r.name || v.Leader == "":
			// A leader that has not applied its log yet knows older states of the rollouts.
		default:
			r.forward(ctx, v.Leader, list)
		}
		pause.For(ctx, rolloutInterval)
	}
}

// applyOrders passes the rollouts to the model if the rules have changed.
func (r *rollouts) applyOrders(now time.Time) {
	var orders []rollout.Order
	changed := false
	r.group.ReadReplica(func(s *replica.Replica) {
		revision := s.Rules().Revision
		if changed = revision != r.revision; !changed {
			return
		}
		r.revision = revision
		orders = lo.Map(s.Rollouts(), func(o rule.Rollout, _ int) rollout.Order {
			age := max(0, min(now.Sub(o.Since), o.Within))
			return rollout.Order{Rollout: o, Index: s.RolloutOrder(o.Service), Revision: revision, Age: age}
		})
	})
	if changed {
		r.advances = slices.ContainsFunc(orders, func(o rollout.Order) bool { return o.State == rule.RolloutAdvancing })
		r.model.Update(now, rollout.Orders{List: orders})
	}
}

func (r *rollouts) forward(ctx context.Context, leader string, list []*control.Observation) {
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	_ = r.clients.Observe(ctx, leader, list) // the next batch has higher counts
}

// lead passes the observations to the model and commits its decisions.
func (r *rollouts) lead(ctx context.Context, list []*control.Observation) {
	for _, o := range list {
		r.model.Update(time.Now(), rollout.Observed{Observation: o})
	}
	for _, a := range r.model.Update(time.Now(), rollout.Tick{}) {
		r.advance(ctx, a)
	}
}

func (r *rollouts) advance(ctx context.Context, a rollout.Advance) {
	ctx, cancel := context.WithTimeout(ctx, advanceTimeout)
	defer cancel()
	res, err := r.group.Propose(ctx, replica.Command{
		Kind: replica.CommandAdvanceRollout, ProposedAt: time.Now(), Origin: r.name, Service: a.Service, KnownOrder: a.Index,
		Share: a.Share, State: a.State, Replaced: a.Replaced,
	})
	e := a.Evidence
	r.log.Emit(event.RolloutAdvanced, zap.String("service", a.Service), zap.Float64("share", float64(a.Share)), zap.Stringer("state", a.State),
		zap.Stringer("reason", a.Reason), zap.Duration("elapsed", a.Elapsed), zap.String("route", e.Route),
		zap.Uint64("answers", e.TargetAnswers), zap.Uint64("failures", e.TargetFailures), zap.Int("backends", e.TargetBackends),
		zap.Uint64("others", e.OtherAnswers), zap.Uint64("otherfailures", e.OtherFailures), zap.Int("otherbackends", e.OtherBackends),
		zap.Stringer("verdict", res.Verdict), zap.Uint64("index", res.Index), zap.Error(err))
}
