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
	"pollenhill.example/core/protocol/requestlimit"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/protocol/message"
)

// callRunner executes the commands that the engine issues for one call.
type callRunner struct {
	server           *Server
	id               call.ID
	req              *message.Request
	commands         <-chan call.Cmd
	reply            chan *message.Reply
	responses        chan attemptResponse
	attempts         map[attempt.ID]*attemptState
	mu               sync.Mutex // guards attemptLog, which callLog reads from another goroutine
	attemptLog       []attemptRecord
	pendingResponses int // attempts without a response header or failure
	timer            *time.Timer
	storedAnswer     chan *control.Answer // recorded response to an earlier request with the same key
	attemptsSent     atomic.Int32
	destinationTime  atomic.Int64 // nanoseconds from the start of the delivered attempt to its delivery

	recordings sync.WaitGroup // goroutines of recordAndDeliver
}

// attemptState is the state of an attempt that was sent.
type attemptState struct {
	target    balancer.Target
	startedAt time.Time
	cancel    context.CancelFunc
	reply     *message.Reply
	aborted   bool
	bodyTimer *time.Timer // cancels the attempt at the deadline of the call while its body is received; nil before that
	delivered bool        // the reply is owned by the goroutine that writes it to the caller
}

// attemptResponse is the result of Sender.Send for an attempt.
type attemptResponse struct {
	id    attempt.ID
	reply *message.Reply
}

// startCall starts a call for req. The reply is sent to callRunner.reply; the runner goes on until the engine forgets the
// call. ctx ends when the caller disconnects.
func (s *Server) startCall(ctx context.Context, req *message.Request) *callRunner {
	if s.cfg.OnCallStart != nil {
		s.cfg.OnCallStart(req.Service)
	}
	r := &callRunner{
		server:       s,
		req:          req,
		reply:        make(chan *message.Reply, 1),
		responses:    make(chan attemptResponse, call.MaxAttempts),
		attempts:     map[attempt.ID]*attemptState{},
		timer:        time.NewTimer(time.Hour),
		storedAnswer: make(chan *control.Answer, 1),
	}
	r.id, r.commands = s.cfg.Engine.StartCall(call.Begin{
		Service:      req.Service,
		Route:        req.Route,
		Idempotent:   req.Idempotent,
		Keyed:        req.IdempotencyKey != "",
		Deadline:     req.Deadline,
		Depth:        req.Depth,
		Objective:    req.Objective,
		Waited:       req.Arrived.Sub(req.FirstTry),
		ResponseSize: s.crossingBytes(req),
		Urgent:       isUrgent(req),
		ByCost:       req.ByCost,
		Nested:       req.Inherited,
		MaxTries:     req.MaxTries,
		FreeRefusals: req.Route != "",
	})
	s.background.Go(func() { r.loop(ctx) })
	return r
}

// crossingBytes returns how many bytes of a request and its response are expected to cross zones if its back end is in another
// one. Short request bodies are left out.
func (s *Server) crossingBytes(req *message.Request) int {
	n := s.responseSizes.average(req.Route)
	if req.Upload {
		n += len(req.Body)
	}
	return n
}

// loop executes commands and reports events to the engine until the call is forgotten and no response is pending.
func (r *callRunner) loop(ctx context.Context) {
	defer r.timer.Stop()
	disconnected := ctx.Done()
	for done := false; !done || r.pendingResponses > 0; {
		select {
		case cmd := <-r.commands:
			done = r.execute(cmd) || done
		case resp := <-r.responses:
			r.handleResponse(resp)
		case <-r.timer.C:
			r.server.cfg.Engine.UpdateCall(call.TimerFired{Call: r.id})
		case <-disconnected:
			disconnected = nil
			r.server.cfg.Engine.UpdateCall(call.CallerGone{Call: r.id})
		}
	}
	// The call may be forgotten as soon as the body was read, before recordAndDeliver has sent the reply.
	r.recordings.Wait()
	r.deliverStored()
	// After a disconnect there may be no other reply, and Server.serve must not wait forever. Else nobody reads this one.
	r.sendReply(r.brokenReply())
}

// execute carries out a command; true means that it is the last one of the call.
func (r *callRunner) execute(cmd call.Cmd) bool {
	switch cmd := cmd.(type) {
	case call.Claim:
		r.acquireClaim()
	case call.Release:
		r.releaseClaim()
	case call.Send:
		r.startAttempt(cmd)
	case call.Abort:
		r.abortAttempt(cmd.Attempt)
	case call.Cancel:
		r.cancelAttempt(cmd.Attempt)
	case call.SetTimer:
		r.timer.Reset(time.Until(cmd.At))
	case call.Deliver:
		r.deliverResponse(cmd.Attempt)
	case call.Refuse:
		r.sendReply(message.RefusalReply(r.server.withRetryAfter(cmd.Refusal, r.req)))
	case call.Forget:
		return true
	}
	return false
}

// sendReply passes the reply to Server.serve, which takes one; the reply is closed if the channel is full.
func (r *callRunner) sendReply(reply *message.Reply) {
	select {
	case r.reply <- reply:
	default:
		reply.Close()
	}
}

func (r *callRunner) startAttempt(cmd call.Send) {
	ctx, cancel := context.WithCancel(context.Background())
	state := &attemptState{target: cmd.Target, startedAt: time.Now(), cancel: cancel}
	r.attempts[cmd.Attempt] = state
	r.recordStart(cmd)
	r.pendingResponses++
	r.attemptsSent.Add(1)
	a := message.Attempt{
		ID:          cmd.Attempt,
		Incarnation: cmd.Target.Incarnation,
		Deadline:    r.req.Deadline,
		Depth:       r.req.Depth,
		Priority:    r.req.Priority,
		Rank:        r.req.Rank,
		Account:     r.req.Account,
		Nested:      r.req.Inherited,
		Service:     r.req.Service,
		Route:       r.req.Route,
		Rerun:       cmd.Rerun,
		Movable:     cmd.Movable,
		KnownLimit:  cmd.Target.KnownLimit,
		Objective:   time.Until(r.req.FirstTry.Add(r.req.Objective)),
	}
	go func() {
		reply := r.server.cfg.Sender.Send(ctx, cmd.Target, a, r.req)
		r.responses <- attemptResponse{id: cmd.Attempt, reply: reply}
	}()
}

// minServerErrorStatus is the lowest status code that counts as a failure of the back end.
const minServerErrorStatus = 500

// handleResponse reports the result of an attempt to the engine, and the end of the response body once it is read.
func (r *callRunner) handleResponse(resp attemptResponse) {
	r.pendingResponses--
	state := r.attempts[resp.id]
	state.reply = resp.reply
	r.recordResponse(resp)
	id := resp.id
	if resp.reply.Body != nil {
		resp.reply.Body = &message.TrackedBody[balancer.Result]{
			ReadCloser: resp.reply.Body,
			Complete:   resp.reply.Result,
			Failed:     balancer.Lost,
			Closed:     balancer.Cancelled,
			Done:       func(result balancer.Result) { r.bodyEnded(id, state, result) },
		}
	}
	r.server.cfg.Engine.UpdateCall(call.Response{
		Attempt:     id,
		Outcome:     resp.reply.Outcome,
		Result:      resp.reply.Result,
		Refusal:     resp.reply.Refusal,
		Deliverable: resp.reply.Outcome == attempt.Answered || len(resp.reply.Header.Peek(attempt.HeaderOutcome)) > 0,
		Hint:        resp.reply.Hint,
		Limit:       r.namedLimit(resp.reply),
		Leaving:     r.saysLeaving(resp.reply),
		ServerError: r.req.Route != "" && resp.reply.Header.StatusCode() >= minServerErrorStatus,
	})
	if state.aborted {
		r.discardReply(id, state)
	}
}

// bodyEnded reports the end of a response body. One that is cut off at the deadline of the call is a failure of the back end,
// not a lost connection.
func (r *callRunner) bodyEnded(id attempt.ID, state *attemptState, result balancer.Result) {
	if result == balancer.Lost && !time.Now().Before(r.req.Deadline) {
		result = balancer.Failed
	}
	r.server.cfg.Engine.UpdateCall(call.Ended{Attempt: id, Result: result})
	if state.bodyTimer != nil {
		state.bodyTimer.Stop()
	}
	state.cancel()
}

// namedLimit returns the request limit that the back end named in its answer, or an unknown one for other replies. It is
// read from the answer itself, so that this node knows what it has passed on even if the node beside the back end restarts.
func (r *callRunner) namedLimit(reply *message.Reply) requestlimit.Limit {
	name := r.server.cfg.Headers.RequestLimit
	if name == "" || reply.Outcome != attempt.Answered {
		return requestlimit.Limit{}
	}
	return message.ReadRequestLimit(&reply.Header, name)
}

// saysLeaving reports whether the back end said in its answer that it leaves.
func (r *callRunner) saysLeaving(reply *message.Reply) bool {
	name := r.server.cfg.Headers.Leaving
	return name != "" && reply.Outcome == attempt.Answered && len(reply.Header.Peek(name)) > 0
}

func (r *callRunner) abortAttempt(id attempt.ID) {
	state := r.attempts[id]
	state.aborted = true
	state.cancel()
	if state.reply != nil && !state.delivered {
		r.discardReply(id, state)
	}
}

// discardReply closes the reply of an aborted attempt.
func (r *callRunner) discardReply(id attempt.ID, state *attemptState) {
	if state.reply.Body == nil {
		r.server.cfg.Engine.UpdateCall(call.Ended{Attempt: id, Result: balancer.Cancelled})
	}
	state.reply.Close()
	state.cancel()
}

// cancelTimeout limits a cancel request to a destination node.
const cancelTimeout = call.CancelGrace

// cancelAttempt cancels an attempt at its destination node and reports to the engine whether it is proven not to have run.
func (r *callRunner) cancelAttempt(id attempt.ID) {
	state := r.attempts[id]
	r.server.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		outcome := r.server.cfg.Sender.Cancel(ctx, state.target, id)
		r.server.cfg.Engine.UpdateCall(call.CancelResult{Attempt: id, NotRun: outcome == destination.NotRun})
	})
}

// deliverResponse passes the response of an attempt to the caller.
func (r *callRunner) deliverResponse(id attempt.ID) {
	state := r.attempts[id]
	state.delivered = true
	r.destinationTime.Store(int64(time.Since(state.startedAt)))
	r.server.responseSizes.observe(r.req.Route, state.reply.Length)
	if state.reply.Body != nil && !state.reply.Buffered {
		state.bodyTimer = time.AfterFunc(time.Until(r.req.Deadline), state.cancel)
	}
	if r.req.IdempotencyKey != "" {
		r.recordAndDeliver(id, state)
		return
	}
	r.sendReply(state.reply)
	if state.reply.Body == nil {
		r.reportEnded(id, state)
	}
}

// reportEnded reports the end of an attempt whose response has no body; for others the TrackedBody does so.
func (r *callRunner) reportEnded(id attempt.ID, state *attemptState) {
	r.server.cfg.Engine.UpdateCall(call.Ended{Attempt: id, Result: state.reply.Result})
	state.cancel()
}

// brokenReply returns the reply to a call whose response was lost, such as a keyed one that was truncated before it could
// be recorded, or that was still not whole at the deadline; whether the request ran is unknown.
func (r *callRunner) brokenReply() *message.Reply {
	reason := refusal.ConnectionBroken
	if !time.Now().Before(r.req.Deadline) {
		reason = refusal.Timeout
	}
	return message.RefusalReply(refusal.Refusal{
		Reason:  reason,
		Outcome: attempt.Unknown,
		Node:    r.server.cfg.Node,
		Depth:   r.req.Depth,
	})
}
