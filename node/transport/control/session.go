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

// session is one Run of a Client; only the goroutine of run uses the failover model.
type session struct {
	client        *Client
	inbox         chan any // of follow.ProbeResult, follow.Servers or streamMessage
	model         *follow.Model
	streamNumber  uint64 // number of the current stream; messages of earlier ones are dropped
	server        string // followed control process, empty for none
	needFullRules bool   // the next stream asks for the full text of the rules
	cancelStream  context.CancelFunc
	progress      *progress      // of the current stream
	progressSeen  int64          // bytes that were reported to the failover model
	wg            sync.WaitGroup // goroutines of the session
}

// streamMessage is one message of a stream, or the error that ended it.
type streamMessage struct {
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
		Servers: followServers(c.cfg.Servers),
		Region:  c.cfg.Region,
		Rand:    rand.New(rand.NewPCG(seed, 0)),
	}
	return &session{client: c, model: follow.New(cfg), inbox: make(chan any), cancelStream: func() {}, progress: &progress{}}
}

func (s *session) run(ctx context.Context) error {
	defer s.close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	announceTicker := time.NewTicker(AnnounceInterval)
	defer announceTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.announceGone(ctx)
			return ctx.Err()
		case m := <-s.inbox:
			s.handleMessage(ctx, m)
		case <-ticker.C:
			if list := s.client.pendingServers.Swap(nil); list != nil {
				s.updateModel(ctx, follow.Servers{List: followServers(*list)})
			}
			s.reportProgress(ctx)
			s.updateModel(ctx, follow.Tick{})
		case <-announceTicker.C:
			s.announce(ctx)
		case <-s.client.memberChanged:
			s.announce(ctx)
		}
	}
}

// reportProgress tells the failover model that bytes of the current stream have arrived.
func (s *session) reportProgress(ctx context.Context) {
	received := s.progress.received.Load()
	if received == s.progressSeen {
		return
	}
	s.progressSeen = received
	s.updateModel(ctx, follow.DataReceived{Server: s.server})
}

// announceGone repeats the last announcement of a node that shuts down, since the end of ctx may have aborted the first
// one.
func (s *session) announceGone(ctx context.Context) {
	if s.client.currentMember().GetGone() {
		s.announce(context.WithoutCancel(ctx))
	}
}

// close ends the stream, waits for the goroutines of the session and closes the idle connections.
func (s *session) close() {
	s.cancelStream()
	s.wg.Wait()
	for _, r := range s.client.remotesInOrder("") {
		r.http.CloseIdleConnections()
	}
}

func (s *session) handleMessage(ctx context.Context, m any) {
	switch m := m.(type) {
	case follow.ProbeResult:
		s.updateModel(ctx, m)
	case follow.Servers:
		s.updateModel(ctx, m)
	case streamMessage:
		s.handleStreamMessage(ctx, m)
	}
}

func (s *session) handleStreamMessage(ctx context.Context, r streamMessage) {
	if r.stream != s.streamNumber {
		return
	}
	err := r.err
	if err == nil {
		err = s.applyToState(r.msg)
	}
	if err != nil {
		s.cancelStream()
		s.streamNumber++
		s.needFullRules = s.needFullRules || errors.Is(err, follow.ErrRulesMismatch)
		s.updateModel(ctx, follow.StreamEnded{Server: r.server})
		return
	}
	heartbeat := r.msg.GetBeat()
	s.updateModel(ctx, follow.MessageReceived{Server: r.server, Heartbeat: heartbeat != nil, Current: heartbeat.GetCurrent()})
}

// applyToState applies a message to the state of the client. After an error, the stream must start again with the full
// text of the rules.
func (s *session) applyToState(msg *control.WatchResponse) error {
	var err error
	s.client.updateState(func(st *follow.State) *follow.State {
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

// updateModel passes one message to the failover model, carries out the effects and publishes the decision.
func (s *session) updateModel(ctx context.Context, msg follow.Msg) {
	now := time.Now()
	for _, cmd := range s.model.Update(now, msg) {
		switch cmd := cmd.(type) {
		case follow.Probe:
			s.probe(ctx, cmd)
		case follow.Connect:
			s.connect(ctx, cmd)
		}
	}
	v := s.model.View(now)
	s.server = v.Server
	s.client.updateState(func(st *follow.State) *follow.State { return st.WithView(v) })
}

func (s *session) probe(ctx context.Context, cmd follow.Probe) {
	s.wg.Go(func() {
		requestCtx, cancel := context.WithTimeout(ctx, RequestTimeout)
		defer cancel()
		// Without a member, the announcement changes nothing and only asks for an answer.
		r := s.client.remote(cmd.Server)
		resp, err := r.rpc.Announce(requestCtx, connect.NewRequest(&control.AnnounceRequest{}))
		if err != nil {
			s.enqueue(ctx, follow.ProbeResult{Server: cmd.Server, Round: cmd.Round})
			return
		}
		answer := follow.Answer{Current: resp.Msg.GetCurrent(), Revision: resp.Msg.GetRevision()}
		s.enqueue(ctx, follow.ProbeResult{Server: cmd.Server, Round: cmd.Round, OK: true, Answer: answer})
		s.learnGroup(ctx, resp.Msg.GetGroup())
		// A node without rules receives them on its first stream.
		if revision := s.client.State().Revision; revision > 0 && resp.Msg.GetCurrent() && resp.Msg.GetRevision() > revision {
			s.fetchRules(requestCtx, r)
		}
	})
}

// fetchRules gets newer rules from a control process that the node need not follow.
func (s *session) fetchRules(ctx context.Context, r *remote) {
	// A watch request without a node name receives rules only.
	in, err := r.rpc.Watch(ctx, connect.NewRequest(&control.WatchRequest{Revision: s.client.State().Revision}))
	if err != nil {
		return
	}
	defer in.Close()
	for in.Receive() {
		if rules := in.Msg().GetRules(); rules != nil {
			s.client.updateState(func(st *follow.State) *follow.State {
				next, _ := st.WithRules(rules) // if they do not apply, the followed control process or the next search provides them
				return next
			})
			return
		}
	}
}

// connect replaces the stream by one of another control process and announces the node there at once.
func (s *session) connect(ctx context.Context, cmd follow.Connect) {
	s.cancelStream()
	s.streamNumber++
	stream, r := s.streamNumber, s.client.remote(cmd.Server)
	streamCtx, cancel := context.WithCancel(ctx)
	s.cancelStream = cancel
	s.progress, s.progressSeen = &progress{}, 0
	watchCtx := withProgress(streamCtx, s.progress)
	req := s.watchRequest()
	s.wg.Go(func() {
		err := s.watch(watchCtx, r, stream, req)
		s.enqueue(streamCtx, streamMessage{server: cmd.Server, stream: stream, err: err})
	})
	s.server = cmd.Server
	s.announce(ctx)
}

// watchRequest returns the request for a new stream. It asks once for the full text of the rules if needFullRules is
// set.
func (s *session) watchRequest() *control.WatchRequest {
	req := &control.WatchRequest{Node: s.client.cfg.Node, Zone: s.client.cfg.Zone, Region: s.client.cfg.Region, Revision: s.client.State().Revision}
	if s.needFullRules {
		req.Revision = 0
		s.needFullRules = false
	}
	return req
}

// watch passes the messages of one stream to the session until the stream ends.
func (s *session) watch(ctx context.Context, r *remote, stream uint64, req *control.WatchRequest) error {
	in, err := r.rpc.Watch(ctx, connect.NewRequest(req))
	if err != nil {
		return errors.Wrapf(err, "watch %s", r.server.Name)
	}
	defer in.Close()
	for in.Receive() {
		s.enqueue(ctx, streamMessage{server: r.server.Name, stream: stream, msg: in.Msg()})
	}
	return errors.Wrapf(errors.CombineErrors(in.Err(), errStreamEnded), "watch %s", r.server.Name)
}

// errStreamEnded reports that a control process ended the stream without an error, as it does when it stops.
var errStreamEnded = errors.New("stream ended")

func (s *session) enqueue(ctx context.Context, m any) {
	select {
	case s.inbox <- m:
	case <-ctx.Done():
	}
}

// announce sends the member in the background to the followed control process, or to another one if that fails.
func (s *session) announce(ctx context.Context) {
	m := s.client.currentMember()
	if m == nil {
		return
	}
	m = proto.CloneOf(m)
	m.Sequence = s.client.sequence.Add(1)
	remotes := s.client.remotesInOrder(s.server)
	s.wg.Go(func() {
		for _, r := range remotes {
			if ctx.Err() != nil || s.announceTo(ctx, r, m) == nil {
				return
			}
		}
	})
}

// learnGroup adds the members of the control group to the client and passes changes to the failover model.
func (s *session) learnGroup(ctx context.Context, group []string) {
	if len(group) == 0 {
		return
	}
	if list, changed := s.client.learnGroup(group); changed {
		s.enqueue(ctx, follow.Servers{List: followServers(list)})
	}
}

func followServers(list []Server) []follow.Server {
	return lo.Map(list, func(s Server, _ int) follow.Server { return follow.Server{Name: s.Name, Region: s.Region} })
}

func (s *session) announceTo(ctx context.Context, r *remote, m *control.Member) error {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	resp, err := r.rpc.Announce(ctx, connect.NewRequest(&control.AnnounceRequest{Member: m}))
	if err == nil {
		s.learnGroup(ctx, resp.Msg.GetGroup())
	}
	return errors.Wrapf(err, "announce to %s", r.server.Name)
}
