package daemon

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"pollenhill.example/control/coordination/allowance"
	"pollenhill.example/control/coordination/directory"
	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/control/coordination/watch"
	"pollenhill.example/control/transport/peer"
	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/transport/mtls"
)

// maxLoggedChanges bounds the changes that are logged at once, for example after a restart with a long history.
const maxLoggedChanges = 64

// shutdownTimeout bounds the wait for calls in progress after SIGTERM.
const shutdownTimeout = 2 * time.Second

// viewInterval is how often the consensus state is checked for a new leader.
const viewInterval = time.Second

// Daemon is one control process.
type Daemon struct {
	settings  Settings
	log       *event.Log
	listener  net.Listener
	clients   *peer.Clients
	group     *raftgroup.Group
	hub       *watch.Hub
	directory *directory.Directory
	ledger    *allowance.Ledger
	server    *http.Server
	pauses    *pause.Detector
	rollouts  *rollouts
	ruleFile  *ruleFile // nil if the settings name no rule file
}

// New creates the parts of the process. If one fails, it closes the others and returns the error.
func New(s Settings) (*Daemon, error) {
	d := &Daemon{settings: s}
	if err := d.invokeParts(newInjector(s)); err != nil {
		return nil, errors.CombineErrors(err, d.closeParts())
	}
	return d, nil
}

// invokeParts creates the parts in an order in which checks of the settings come before changes on disk.
func (d *Daemon) invokeParts(i do.Injector) error {
	var err error
	if _, err = do.Invoke[*mtls.Credentials](i); err != nil {
		return err
	}
	if d.log, err = do.Invoke[*event.Log](i); err != nil {
		return err
	}
	if d.listener, err = do.Invoke[net.Listener](i); err != nil {
		return err
	}
	if err = checkRuleFolder(d.settings.RuleFile); err != nil {
		return err
	}
	if err = prepareDataDir(d.settings.DataDir); err != nil {
		return err
	}
	if d.group, err = do.Invoke[*raftgroup.Group](i); err != nil {
		return err
	}
	d.clients = do.MustInvoke[*peer.Clients](i)
	d.hub = do.MustInvoke[*watch.Hub](i)
	d.directory = do.MustInvoke[*directory.Directory](i)
	d.ledger = do.MustInvoke[*allowance.Ledger](i)
	d.pauses = do.MustInvoke[*pause.Detector](i)
	d.rollouts = do.MustInvoke[*rollouts](i)
	if d.server, err = do.Invoke[*http.Server](i); err != nil || d.settings.RuleFile == "" {
		return err
	}
	d.ruleFile, err = do.Invoke[*ruleFile](i)
	return err
}

// closeParts closes the parts that were created.
func (d *Daemon) closeParts() error {
	var err error
	if d.listener != nil {
		err = d.listener.Close()
	}
	if d.group != nil {
		err = errors.CombineErrors(err, d.group.Close())
	}
	return err
}

// Run serves until ctx ends or a part fails. It returns the error of that part, or nil after the end of ctx.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Emit(event.ControlStarted, zap.String("name", d.settings.Name), zap.Stringer("listen", d.settings.Listen))
	g, inner := errgroup.WithContext(ctx)
	g.Go(func() error { return d.directory.Run(inner) })
	g.Go(func() error { return d.clients.Run(inner) })
	g.Go(func() error { return d.publishUpdates(inner) })
	g.Go(func() error { d.pauses.Run(inner); return nil })
	g.Go(func() error { d.exchangeTotals(inner); return nil })
	g.Go(func() error { d.countMembers(inner); return nil })
	g.Go(func() error { d.rollouts.Run(inner); return nil })
	if d.ruleFile != nil {
		g.Go(func() error { return d.ruleFile.watcher.Run(inner) })
	}
	g.Go(func() error { return serve(inner, d.server, d.listener) })
	err := g.Wait()
	if ctx.Err() != nil {
		err = nil
	}
	err = errors.CombineErrors(err, d.group.Close())
	d.log.Emit(event.ControlStopped, zap.Error(err))
	return err
}

// publishUpdates passes new rules, peers and leaders to the other parts until ctx ends or the group stops.
func (d *Daemon) publishUpdates(ctx context.Context) error {
	leader := ""
	revision, pending := uint64(0), uint64(0)
	var peers []string
	for {
		changed := d.group.EntryApplied()
		if err := d.group.Err(); err != nil {
			return err
		}
		v := d.group.View()
		revision = d.publishRules(revision, v.PendingRules)
		pending = d.publishPending(pending, v.PendingRules)
		leader = d.logLeaderChange(leader)
		if peers = d.updatePeers(ctx, peers); ctx.Err() != nil {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-d.group.Done():
		case <-time.After(viewInterval):
			// No channel reports a new leader.
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// publishPending publishes and logs up to which log index there may be newer rules if that differs from last, and returns it. It
// comes after publishRules, so that nodes that have waited get the newest rules.
func (d *Daemon) publishPending(last, pending uint64) uint64 {
	if pending == last {
		return last
	}
	d.hub.SetPendingRules(pending)
	var revision uint64
	d.group.ReadReplica(func(r *replica.Replica) { revision = r.Rules().Revision })
	d.log.Emit(event.RulesPending, zap.Uint64("pending", pending), zap.Uint64("revision", revision))
	return pending
}

// publishRules publishes and logs the rules in force if they are newer than revision after, and returns their revision. Those of a
// snapshot are not published while there may be newer ones, up to the log index pending.
func (d *Daemon) publishRules(after, pending uint64) uint64 {
	var rules replica.Rules
	var changes []replica.AcceptedChange
	d.group.ReadReplica(func(r *replica.Replica) {
		if rules = r.Rules(); rules.Revision > after {
			changes = r.AcceptedChanges()
		}
	})
	if rules.Revision <= after || rules.Revision < pending {
		return after
	}
	d.hub.SetRules(rules.Revision, rules.ChangeNumber, rules.Text)
	changes = lo.Filter(changes, func(c replica.AcceptedChange, _ int) bool { return c.Revision > after })
	if d.ruleFile != nil {
		d.ruleFile.notifyAccepted(rules, changes)
	}
	for _, c := range lo.Slice(changes, len(changes)-maxLoggedChanges, len(changes)) {
		d.log.Emit(event.ChangeAccepted, zap.Uint64("revision", c.Revision), zap.Uint64("number", c.Number),
			zap.String("origin", c.Origin), zap.String("reason", c.Reason))
	}
	return rules.Revision
}

// updatePeers passes the members of a group with dynamic membership to the directory if they differ from last, and
// returns them.
func (d *Daemon) updatePeers(ctx context.Context, last []string) []string {
	v := d.group.View()
	names := lo.Without(append(slices.Clone(v.Voters), v.Learners...), d.settings.Name)
	if d.settings.MaxVoters == 0 || len(names) == 0 || slices.Equal(names, last) {
		return last
	}
	d.log.Emit(event.ControlMembersChanged, zap.Strings("voters", v.Voters), zap.Strings("learners", v.Learners))
	if d.directory.SetPeers(ctx, names) != nil {
		return last // the directory has stopped, which ends this process
	}
	return names
}

// logLeaderChange logs the leader if it differs from last, and returns it.
func (d *Daemon) logLeaderChange(last string) string {
	v := d.group.View()
	if v.Leader != last {
		d.log.Emit(event.LeaderChanged, zap.String("leader", v.Leader), zap.Uint64("term", v.Term))
	}
	return v.Leader
}

// View returns the consensus state of this process.
func (d *Daemon) View() raftgroup.View { return d.group.View() }
