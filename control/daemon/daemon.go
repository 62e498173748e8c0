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

	"pollenhill.example/control/coordination/directory"
	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/control/coordination/watch"
	"pollenhill.example/control/transport/peer"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/transport/mtls"
)

// maxLogged is how many changes are logged at once, as after a restart with a long history.
const maxLogged = 64

// drain is the longest wait for calls in progress after SIGTERM.
const drain = 2 * time.Second

// Daemon is one control process.
type Daemon struct {
	settings  Settings
	log       *event.Log
	listener  net.Listener
	clients   *peer.Clients
	group     *raftgroup.Group
	hub       *watch.Hub
	directory *directory.Directory
	server    *http.Server
	file      *file // nil if this process watches no rule file
}

// New makes every part of the process, or closes what it made and returns the error of the first part that failed.
func New(s Settings) (*Daemon, error) {
	d := &Daemon{settings: s}
	if err := d.build(wire(s)); err != nil {
		return nil, errors.CombineErrors(err, d.close())
	}
	return d, nil
}

// build invokes the parts in an order in which cheap checks come before changes on disk.
func (d *Daemon) build(i do.Injector) error {
	var err error
	if _, err = do.Invoke[*mtls.Source](i); err != nil {
		return err
	}
	if d.log, err = do.Invoke[*event.Log](i); err != nil {
		return err
	}
	if d.listener, err = do.Invoke[net.Listener](i); err != nil {
		return err
	}
	if err = checkRules(d.settings.RuleFile); err != nil {
		return err
	}
	if err = prepare(d.settings.DataDir); err != nil {
		return err
	}
	if d.group, err = do.Invoke[*raftgroup.Group](i); err != nil {
		return err
	}
	d.clients = do.MustInvoke[*peer.Clients](i)
	d.hub = do.MustInvoke[*watch.Hub](i)
	d.directory = do.MustInvoke[*directory.Directory](i)
	if d.server, err = do.Invoke[*http.Server](i); err != nil || d.settings.RuleFile == "" {
		return err
	}
	d.file, err = do.Invoke[*file](i)
	return err
}

// close closes what New made.
func (d *Daemon) close() error {
	var err error
	if d.listener != nil {
		err = d.listener.Close()
	}
	if d.group != nil {
		err = errors.CombineErrors(err, d.group.Close())
	}
	return err
}

// Run serves until ctx ends, and returns nil then.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Emit(event.ControlStarted, zap.String("name", d.settings.Name), zap.Stringer("listen", d.settings.Listen))
	g, inner := errgroup.WithContext(ctx)
	g.Go(func() error { return d.directory.Run(inner) })
	g.Go(func() error { return d.clients.Run(inner) })
	g.Go(func() error { return d.publish(inner) })
	if d.file != nil {
		g.Go(func() error { return d.file.watcher.Run(inner) })
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

// publish passes accepted rules to the watchers and ends when the group stops.
func (d *Daemon) publish(ctx context.Context) error {
	leader := ""
	revision := uint64(0)
	var peers []string
	for {
		changed := d.group.EntryApplied()
		if err := d.group.Err(); err != nil {
			return err
		}
		revision = d.rules(revision)
		leader = d.leader(leader)
		if peers = d.peers(ctx, peers); ctx.Err() != nil {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-d.group.Done():
		case <-time.After(time.Second):
			// A new leader closes no channel.
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// rules publishes the rules in force if they are newer than a revision, and returns their revision.
func (d *Daemon) rules(after uint64) uint64 {
	var r replica.Rules
	var changes []replica.AcceptedChange
	d.group.ReadReplica(func(s *replica.Replica) {
		if r = s.Rules(); r.Revision > after {
			changes = s.AcceptedChanges()
		}
	})
	if r.Revision <= after {
		return after
	}
	d.hub.SetRules(r.Revision, r.ChangeNumber, r.Text)
	changes = lo.Filter(changes, func(c replica.AcceptedChange, _ int) bool { return c.Revision > after })
	if d.file != nil {
		d.file.accept(r, changes)
	}
	for _, c := range lo.Slice(changes, len(changes)-maxLogged, len(changes)) {
		d.log.Emit(event.ChangeAccepted, zap.Uint64("revision", c.Revision), zap.Uint64("number", c.Number),
			zap.String("origin", c.Origin), zap.String("reason", c.Reason))
	}
	return r.Revision
}

// peers tells the directory the members of a group that assembles itself.
func (d *Daemon) peers(ctx context.Context, last []string) []string {
	v := d.group.View()
	names := lo.Without(append(slices.Clone(v.Voters), v.Learners...), d.settings.Name)
	if d.settings.MaxVoters == 0 || len(names) == 0 || slices.Equal(names, last) {
		return last
	}
	d.log.Emit(event.ControlMembersChanged, zap.Strings("voters", v.Voters), zap.Strings("learners", v.Learners))
	if d.directory.SetPeers(ctx, names) != nil {
		return last // the directory stops only with this process
	}
	return names
}

// leader logs a change of the leader.
func (d *Daemon) leader(last string) string {
	v := d.group.View()
	if v.Leader != last {
		d.log.Emit(event.LeaderChanged, zap.String("leader", v.Leader), zap.Uint64("term", v.Term))
	}
	return v.Leader
}

// View returns the consensus state of this process.
func (d *Daemon) View() raftgroup.View { return d.group.View() }
