package caller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/protocol/message"
)

// run carries out the effects of one call.
type run struct {
	s       *Server
	id      call.ID
	req     *message.Request
	effects <-chan call.Cmd
	answer  chan *message.Reply
	heads   chan head
	tries   map[attempt.ID]*try
	mu      sync.Mutex // guards order, which the end of the call reads
	order   []step
	open    int // attempts whose reply has not come
	timer   *time.Timer
	stored  chan *control.Answer // answer of an earlier request with the same key
	sent    atomic.Int32
	back    atomic.Int64 // nanoseconds of the delivered attempt

	recording sync.WaitGroup // goroutines that read the answer of a keyed call
}

// try is one attempt.
type try struct {
	target  balancer.Target
	began   time.Time
	cancel  context.CancelFunc
	reply   *message.Reply
	aborted bool
	given   bool // the reply belongs to the goroutine that writes it
}

type head struct {
	id    attempt.ID
	reply *message.Reply
}

// start begins a call; its reply comes through run.answer while the run goes on until the call is forgotten.
func (s *Server) start(ctx context.Context, req *message.Request) *run {
	if s.cfg.OnCallStart != nil {
		s.cfg.OnCallStart(req.Service)
	}
	r := &run{
		s:      s,
		req:    req,
		answer: make(chan *message.Reply, 1),
		heads:  make(chan head, call.MaxAttempts),
		tries:  map[attempt.ID]*try{},
		timer:  time.NewTimer(time.Hour),
		stored: make(chan *control.Answer, 1),
	}
	r.id, r.effects = s.cfg.Engine.StartCall(call.Begin{
		Service:      req.Service,
		Route:        req.Route,
		Idempotent:   req.Idempotent,
		Keyed:        req.IdempotencyKey != "",
		Deadline:     req.Deadline,
		Depth:        req.Depth,
		Objective:    req.Objective,
		Waited:       req.Arrived.Sub(req.FirstTry),
		ResponseSize: s.sizes.usual(req.Route),
		Urgent:       req.Priority == rule.PriorityHigh,
		MaxTries:     req.MaxTries,
		FreeRefusals: req.Route != "",
	})
	s.work.Go(func() { r.loop(ctx) })
	return r
}

func (r *run) loop(ctx context.Context) {
	defer r.timer.Stop()
	gone := ctx.Done()
	for done := false; !done || r.open > 0; {
		select {
		case cmd := <-r.effects:
			done = r.effect(cmd) || done
		case h := <-r.heads:
			r.head(h)
		case <-r.timer.C:
			r.s.cfg.Engine.UpdateCall(call.TimerFired{Call: r.id})
		case <-gone:
			gone = nil
			r.s.cfg.Engine.UpdateCall(call.CallerGone{Call: r.id})
		}
	}
	// The end of a body is reported before its recorded copy is handed over.
	r.recording.Wait()
	r.replay()
	// A caller that left gets nothing else; its goroutine must not wait.
	r.give(r.broken())
}

// effect carries out one effect; true means that it is the last.
func (r *run) effect(cmd call.Cmd) bool {
	switch cmd := cmd.(type) {
	case call.Claim:
		r.claim()
	case call.Release:
		r.release()
	case call.Send:
		r.send(cmd)
	case call.Abort:
		r.abort(cmd.Attempt)
	case call.Cancel:
		r.ask(cmd.Attempt)
	case call.SetTimer:
		r.timer.Reset(time.Until(cmd.At))
	case call.Deliver:
		r.deliver(cmd.Attempt)
	case call.Refuse:
		r.give(message.RefusalReply(r.s.waited(cmd.Refusal, r.req)))
	case call.Forget:
		return true
	}
	return false
}

// give hands over the reply; without a receiver it is dropped.
func (r *run) give(reply *message.Reply) {
	select {
	case r.answer <- reply:
	default:
		reply.Close()
	}
}

func (r *run) send(cmd call.Send) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &try{target: cmd.Target, began: time.Now(), cancel: cancel}
	r.tries[cmd.Attempt] = t
	r.note(cmd)
	r.open++
	r.sent.Add(1)
	a := message.Attempt{
		ID:          cmd.Attempt,
		Incarnation: cmd.Target.Incarnation,
		Deadline:    r.req.Deadline,
		Depth:       r.req.Depth,
		Priority:    r.req.Priority,
		Service:     r.req.Service,
		Route:       r.req.Route,
		Rerun:       cmd.Rerun,
		Movable:     cmd.Movable,
		Objective:   time.Until(r.req.FirstTry.Add(r.req.Objective)),
	}
	go func() {
		reply := r.s.cfg.Sender.Send(ctx, cmd.Target, a, r.req)
		r.heads <- head{id: cmd.Attempt, reply: reply}
	}()
}

// statusFault is the lowest status code of a failure of the back end.
const statusFault = 500

// head tells the model what became of an attempt.
func (r *run) head(h head) {
	r.open--
	t := r.tries[h.id]
	t.reply = h.reply
	r.ending(h)
	id := h.id
	if h.reply.Body != nil {
		h.reply.Body = &message.TrackedBody[balancer.Result]{
			ReadCloser: h.reply.Body,
			Complete:   h.reply.Result,
			Failed:     balancer.Lost,
			Closed:     balancer.Cancelled,
			Done: func(result balancer.Result) {
				r.s.cfg.Engine.UpdateCall(call.Ended{Attempt: id, Result: result})
				t.cancel()
			},
		}
	}
	r.s.cfg.Engine.UpdateCall(call.Response{
		Attempt:     id,
		Outcome:     h.reply.Outcome,
		Result:      h.reply.Result,
		Refusal:     h.reply.Refusal,
		Deliverable: h.reply.Outcome == attempt.Answered || len(h.reply.Header.Peek(attempt.HeaderOutcome)) > 0,
		Hint:        h.reply.Hint,
		ServerError: r.req.Route != "" && h.reply.Header.StatusCode() >= statusFault,
	})
	if t.aborted {
		r.drop(id, t)
	}
}

func (r *run) abort(id attempt.ID) {
	t := r.tries[id]
	t.aborted = true
	t.cancel()
	if t.reply != nil && !t.given {
		r.drop(id, t)
	}
}

// drop abandons a reply that the caller does not get.
func (r *run) drop(id attempt.ID, t *try) {
	if t.reply.Body == nil {
		r.s.cfg.Engine.UpdateCall(call.Ended{Attempt: id, Result: balancer.Cancelled})
	}
	t.reply.Close()
	t.cancel()
}

// askTimeout bounds a question whether an attempt ran.
const askTimeout = call.CancelGrace

func (r *run) ask(id attempt.ID) {
	t := r.tries[id]
	r.s.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		answer := r.s.cfg.Sender.Cancel(ctx, t.target, id)
		r.s.cfg.Engine.UpdateCall(call.CancelResult{Attempt: id, NotRun: answer == destination.NotRun})
	})
}

// deliver hands the response of an attempt to the caller.
func (r *run) deliver(id attempt.ID) {
	t := r.tries[id]
	t.given = true
	r.back.Store(int64(time.Since(t.began)))
	r.s.sizes.learn(r.req.Route, t.reply.Length)
	if r.req.IdempotencyKey != "" {
		r.record(id, t)
		return
	}
	r.give(t.reply)
	if t.reply.Body == nil {
		r.ended(id, t)
	}
}

// ended reports the end of an attempt without a body.
func (r *run) ended(id attempt.ID, t *try) {
	r.s.cfg.Engine.UpdateCall(call.Ended{Attempt: id, Result: t.reply.Result})
	t.cancel()
}

// broken is the reply to a call whose answer was cut before it could be recorded.
func (r *run) broken() *message.Reply {
	return message.RefusalReply(refusal.Refusal{
		Reason:  refusal.ConnectionBroken,
		Outcome: attempt.Unknown,
		Node:    r.s.cfg.Node,
		Depth:   r.req.Depth,
	})
}
