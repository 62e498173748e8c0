package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/protocol/control"
)

// session is one Run of a Client; its loop owns the failover model.
type session struct {
	c      *Client
	inbox  chan any // follow.Probed or received
	model  *follow.Model
	stream uint64 // number of the followed stream; messages of earlier ones are dropped
	server string
	whole  bool // the next stream asks for the whole text
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// received is one message of a stream; err ends the stream.
type received struct {
	server string
	stream uint64
	msg    *control.WatchResponse
	err    error
}

func newSession(c *Client) *session {
	seed := c.cfg.JitterSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	cfg := follow.Config{
		Servers: followed(c.cfg.Servers),
		Region:  c.cfg.Region,
		Rand:    rand.New(rand.NewPCG(seed, 0)),
	}
	return &session{c: c, model: follow.New(cfg), inbox: make(chan any), cancel: func() {}}
}

func (s *session) run(ctx context.Context) error {
	defer s.close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	renew := time.NewTicker(AnnounceInterval)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			s.leave(ctx)
			return ctx.Err()
		case m := <-s.inbox:
			s.handle(ctx, m)
		case <-ticker.C:
			if list := s.c.seeded.Swap(nil); list != nil {
				s.update(ctx, follow.Servers{List: followed(*list)})
			}
			s.update(ctx, follow.Tick{})
		case <-renew.C:
			s.announce(ctx)
		case <-s.c.dirty:
			s.announce(ctx)
		}
	}
}

// leave repeats the last announcement of a node that ends, since ctx may have cut off the first one.
func (s *session) leave(ctx context.Context) {
	if s.c.announced().GetGone() {
		s.announce(context.WithoutCancel(ctx))
	}
}

// close ends the stream and waits for every goroutine of the session.
func (s *session) close() {
	s.cancel()
	s.wg.Wait()
	for _, r := range s.c.order("") {
		r.http.CloseIdleConnections()
	}
}

func (s *session) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case follow.ProbeResult:
		s.update(ctx, m)
	case follow.Servers:
		s.update(ctx, m)
	case received:
		s.receive(ctx, m)
	}
}

func (s *session) receive(ctx context.Context, r received) {
	if r.stream != s.stream {
		return
	}
	err := r.err
	if err == nil {
		err = s.apply(r.msg)
	}
	if err != nil {
		s.cancel()
		s.stream++
		s.whole = s.whole || errors.Is(err, follow.ErrRulesMismatch)
		s.update(ctx, follow.StreamEnded{Server: r.server})
		return
	}
	beat := r.msg.GetBeat()
	s.update(ctx, follow.MessageReceived{Server: r.server, Heartbeat: beat != nil, Current: beat.GetCurrent()})
}

// apply publishes a message; an error means that the stream must start again with the full text.
func (s *session) apply(msg *control.WatchResponse) error {
	var err error
	s.c.update(func(st *follow.State) *follow.State {
		switch {
		case msg.GetRules() != nil:
			st, err = st.WithRules(msg.GetRules())
		case msg.GetMembers() != nil:
			st = st.WithMembers(msg.GetMembers())
		}
		return st
	})
	return err
}

// update passes one message to the failover model and carries out its effects.
func (s *session) update(ctx context.Context, msg follow.Msg) {
	now := time.Now()
	for _, cmd := range s.model.Update(now, msg) {
		switch cmd := cmd.(type) {
		case follow.Probe:
			s.probe(ctx, cmd)
		case follow.Connect:
			s.attach(ctx, cmd)
		}
	}
	v := s.model.View(now)
	s.server = v.Server
	s.c.update(func(st *follow.State) *follow.State { return st.WithView(v) })
}

func (s *session) probe(ctx context.Context, cmd follow.Probe) {
	s.wg.Go(func() {
		one, cancel := context.WithTimeout(ctx, RequestTimeout)
		defer cancel()
		// An announcement without a member only asks for the answer.
		r := s.c.remote(cmd.Server)
		resp, err := r.rpc.Announce(one, connect.NewRequest(&control.AnnounceRequest{}))
		if err != nil {
			s.send(ctx, follow.ProbeResult{Server: cmd.Server, Round: cmd.Round})
			return
		}
		s.send(ctx, follow.ProbeResult{Server: cmd.Server, Round: cmd.Round, OK: true, Current: resp.Msg.GetCurrent()})
		s.learn(ctx, resp.Msg.GetGroup())
		// A node without rules gets them with its first stream.
		if held := s.c.State().Revision; held > 0 && resp.Msg.GetCurrent() && resp.Msg.GetRevision() > held {
			s.fetch(one, r)
		}
	})
}

// fetch takes newer rules from a control process that the node does not follow.
func (s *session) fetch(ctx context.Context, r *remote) {
	// A watch without a node gets rules only.
	in, err := r.rpc.Watch(ctx, connect.NewRequest(&control.WatchRequest{Revision: s.c.State().Revision}))
	if err != nil {
		return
	}
	defer in.Close()
	for in.Receive() {
		if rules := in.Msg().GetRules(); rules != nil {
			s.c.update(func(st *follow.State) *follow.State {
				next, _ := st.WithRules(rules) // after a gap the followed one or the next search provides them
				return next
			})
			return
		}
	}
}

func (s *session) attach(ctx context.Context, cmd follow.Connect) {
	s.cancel()
	s.stream++
	stream, r := s.stream, s.c.remote(cmd.Server)
	watching, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	req := s.request()
	s.wg.Go(func() {
		err := s.watch(watching, r, stream, req)
		s.send(watching, received{server: cmd.Server, stream: stream, err: err})
	})
	s.server = cmd.Server
	s.announce(ctx)
}

func (s *session) request() *control.WatchRequest {
	req := &control.WatchRequest{Node: s.c.cfg.Node, Zone: s.c.cfg.Zone, Region: s.c.cfg.Region, Revision: s.c.State().Revision}
	if s.whole {
		req.Revision = 0
		s.whole = false
	}
	return req
}

// watch passes on the messages of one stream until it ends.
func (s *session) watch(ctx context.Context, r *remote, stream uint64, req *control.WatchRequest) error {
	in, err := r.rpc.Watch(ctx, connect.NewRequest(req))
	if err != nil {
		return errors.Wrapf(err, "watch %s", r.server.Name)
	}
	defer in.Close()
	for in.Receive() {
		s.send(ctx, received{server: r.server.Name, stream: stream, msg: in.Msg()})
	}
	return errors.Wrapf(errors.CombineErrors(in.Err(), errStreamEnd), "watch %s", r.server.Name)
}

// errStreamEnd reports that a control process ended the stream, as it does when it stops.
var errStreamEnd = errors.New("stream ended")

func (s *session) send(ctx context.Context, m any) {
	select {
	case s.inbox <- m:
	case <-ctx.Done():
	}
}

// announce sends the member to the followed control process, or to any other if that fails.
func (s *session) announce(ctx context.Context) {
	m := s.c.announced()
	if m == nil {
		return
	}
	m = proto.CloneOf(m)
	m.Sequence = s.c.sequence.Add(1)
	order := s.c.order(s.server)
	s.wg.Go(func() {
		for _, r := range order {
			if ctx.Err() != nil || s.tell(ctx, r, m) == nil {
				return
			}
		}
	})
}

// learn passes the members of the control group to the failover model.
func (s *session) learn(ctx context.Context, group []string) {
	if len(group) == 0 {
		return
	}
	if list, changed := s.c.learn(group); changed {
		s.send(ctx, follow.Servers{List: followed(list)})
	}
}

func followed(list []Server) []follow.Server {
	return lo.Map(list, func(s Server, _ int) follow.Server { return follow.Server{Name: s.Name, Region: s.Region} })
}

func (s *session) tell(ctx context.Context, r *remote, m *control.Member) error {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	resp, err := r.rpc.Announce(ctx, connect.NewRequest(&control.AnnounceRequest{Member: m}))
	if err == nil {
		s.learn(ctx, resp.Msg.GetGroup())
	}
	return errors.Wrapf(err, "announce to %s", r.server.Name)
}
