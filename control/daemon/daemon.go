package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"pollenhill.example/control/coordination/directory"
	"pollenhill.example/control/coordination/group"
	"pollenhill.example/control/coordination/watch"
	"pollenhill.example/control/transport/peer"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/replica"
)

// drain is the longest wait for calls in progress after SIGTERM.
const drain = 2 * time.Second

// Daemon is one control process.
type Daemon struct {
	settings  Settings
	log       *event.Log
	listener  net.Listener
	clients   *peer.Clients
	group     *group.Group
	hub       *watch.Hub
	directory *directory.Directory
	server    *http.Server
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
	if d.log, err = do.Invoke[*event.Log](i); err != nil {
		return err
	}
	if d.listener, err = do.Invoke[net.Listener](i); err != nil {
		return err
	}
	if err = prepare(d.settings.Data); err != nil {
		return err
	}
	if d.group, err = do.Invoke[*group.Group](i); err != nil {
		return err
	}
	d.clients = do.MustInvoke[*peer.Clients](i)
	d.hub = do.MustInvoke[*watch.Hub](i)
	d.directory = do.MustInvoke[*directory.Directory](i)
	d.server, err = do.Invoke[*http.Server](i)
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
	for {
		changed := d.group.Changed()
		if err := d.group.Failed(); err != nil {
			return err
		}
		var r replica.Rules
		d.group.Read(func(s *replica.Replica) { r = s.Rules() })
		d.hub.Rules(r.Revision, r.Number, r.Text)
		leader = d.leader(leader)
		select {
		case <-changed:
		case <-time.After(time.Second):
			// A failure or a new leader closes no channel.
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// leader logs a change of the leader.
func (d *Daemon) leader(last string) string {
	v := d.group.View()
	if v.Leader != last {
		d.log.Emit(event.LeaderChanged, zap.String("leader", v.Leader), zap.Uint64("term", v.Term))
	}
	return v.Leader
}
