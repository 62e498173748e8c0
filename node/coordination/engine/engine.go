package engine

import (
	"context"
	"sync/atomic"
	"time"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/destination"
)

// Bounds of the control goroutine.
const (
	inboxSize = 1024
	// A call causes a handful of effects per attempt, so the control goroutine never waits for a reader.
	effectSize = 16 * call.MaxAttempts
	tickEvery  = 20 * time.Millisecond
)

// Engine owns the entry and destination models; its methods are safe for concurrent use.
type Engine struct {
	cfg      Config
	inbox    chan envelope
	done     chan struct{}
	calls    map[call.ID]chan call.Cmd
	arrivals map[attempt.ID]chan destination.Cmd
	asks     map[attempt.ID][]chan destination.CancelOutcome
	next     atomic.Uint64
	view     atomic.Pointer[View]
}

// Config holds the models, which belong to the Engine from then on.
type Config struct {
	Call            *call.Model
	Destination     *destination.Model
	OpenConnections func(count int)         // opens connections to the back end without waiting; may be nil
	CheckSpeed      func()                  // asks for the speed of the back end without waiting; may be nil
	Probe           func(destination.Probe) // checks the back end without waiting; may be nil
	SlowdownChanged func()                  // tells that the view shows another speed of the back end, without waiting; may be nil
}

// Update replaces the members and rules that both models use.
type Update struct {
	Targets []balancer.Target
	Rules   *rule.Set // nil: unchanged
}

// envelope is one input with the channels for its effects.
type envelope struct {
	msg     any
	call    chan call.Cmd
	arrival chan destination.Cmd
	ask     chan destination.CancelOutcome
}

// New returns an Engine; Run makes it work.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:      cfg,
		inbox:    make(chan envelope, inboxSize),
		done:     make(chan struct{}),
		calls:    map[call.ID]chan call.Cmd{},
		arrivals: map[attempt.ID]chan destination.Cmd{},
		asks:     map[attempt.ID][]chan destination.CancelOutcome{},
	}
	e.publish(time.Now())
	return e
}

// Run owns the models until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.done)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case env := <-e.inbox:
			e.handle(time.Now(), env)
		case now := <-ticker.C:
			e.arrived(e.cfg.Destination.Update(now, destination.Tick{}))
			e.publish(now)
		}
	}
}

func (e *Engine) post(env envelope) {
	select {
	case e.inbox <- env:
	case <-e.done:
	}
}

// StartCall starts a call; the effects end with call.Forget.
func (e *Engine) StartCall(begin call.Begin) (call.ID, <-chan call.Cmd) {
	begin.Call = call.ID(e.next.Add(1))
	effects := make(chan call.Cmd, effectSize)
	e.post(envelope{msg: begin, call: effects})
	return begin.Call, effects
}

// UpdateCall passes news about a call to its model.
func (e *Engine) UpdateCall(msg call.Msg) {
	e.post(envelope{msg: msg})
}

// SubmitAttempt starts an attempt at this node; the effects are Refuse, or Start and perhaps Abort.
func (e *Engine) SubmitAttempt(msg destination.Arrive) <-chan destination.Cmd {
	effects := make(chan destination.Cmd, effectSize)
	e.post(envelope{msg: msg, arrival: effects})
	return effects
}

// UpdateDestination passes news about an attempt or the back end to the destination model.
func (e *Engine) UpdateDestination(msg destination.Msg) {
	e.post(envelope{msg: msg})
}

// CancelAttempt asks what is known about an attempt at this node and makes sure that it does not start later.
func (e *Engine) CancelAttempt(ctx context.Context, msg destination.Cancel) destination.CancelOutcome {
	ask := make(chan destination.CancelOutcome, 1)
	e.post(envelope{msg: msg, ask: ask})
	select {
	case answer := <-ask:
		return answer
	case <-ctx.Done():
	case <-e.done:
	}
	return destination.Unknown
}

// ReportHint passes on a hint that came without a response.
func (e *Engine) ReportHint(msg balancer.LoadReport) {
	e.post(envelope{msg: msg})
}

// Apply replaces members and rules.
func (e *Engine) Apply(t Update) {
	e.post(envelope{msg: t})
}

func (e *Engine) handle(now time.Time, env envelope) {
	switch msg := env.msg.(type) {
	case call.Begin:
		e.calls[msg.Call] = env.call
		msg.RerunShare = e.cfg.Destination.View().RerunShare
		e.called(e.cfg.Call.Update(now, msg))
	case call.Msg:
		e.called(e.cfg.Call.Update(now, msg))
	case destination.Arrive:
		e.arrive(now, msg, env.arrival)
		e.publish(now)
	case destination.Cancel:
		e.asks[msg.ID] = append(e.asks[msg.ID], env.ask)
		e.arrived(e.cfg.Destination.Update(now, msg))
	case destination.Done:
		delete(e.arrivals, msg.ID)
		e.arrived(e.cfg.Destination.Update(now, msg))
		e.publish(now)
	case destination.Msg:
		e.arrived(e.cfg.Destination.Update(now, msg))
		e.publish(now)
	case balancer.LoadReport:
		e.called(e.cfg.Call.ReportHint(now, msg))
	case Update:
		e.apply(now, msg)
	}
}

// arrive gives a second copy of an attempt its own channel, so that its refusal does not end the first.
func (e *Engine) arrive(now time.Time, msg destination.Arrive, effects chan destination.Cmd) {
	if _, copied := e.arrivals[msg.ID]; !copied {
		e.arrivals[msg.ID] = effects
		e.arrived(e.cfg.Destination.Update(now, msg))
		return
	}
	var rest []destination.Cmd
	for _, cmd := range e.cfg.Destination.Update(now, msg) {
		if r, ok := cmd.(destination.Refuse); ok && r.ID == msg.ID && r.Outcome == attempt.Unknown {
			effects <- cmd
			continue
		}
		rest = append(rest, cmd)
	}
	e.arrived(rest)
}

func (e *Engine) apply(now time.Time, t Update) {
	if t.Rules != nil {
		e.cfg.Call.SetRules(now, t.Rules)
		e.arrived(e.cfg.Destination.Update(now, destination.Rules{Set: t.Rules}))
	}
	e.cfg.Call.SetTargets(now, t.Targets)
	e.publish(now)
}

func (e *Engine) called(cmds []call.Cmd) {
	for _, cmd := range cmds {
		id := callOf(cmd)
		e.calls[id] <- cmd
		if _, last := cmd.(call.Forget); last {
			delete(e.calls, id)
		}
	}
}

func callOf(cmd call.Cmd) call.ID {
	switch cmd := cmd.(type) {
	case call.Claim:
		return cmd.Call
	case call.Send:
		return cmd.Call
	case call.Abort:
		return cmd.Call
	case call.Cancel:
		return cmd.Call
	case call.SetTimer:
		return cmd.Call
	case call.Deliver:
		return cmd.Call
	case call.Refuse:
		return cmd.Call
	case call.Release:
		return cmd.Call
	case call.Forget:
		return cmd.Call
	}
	return 0
}

func (e *Engine) arrived(cmds []destination.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case destination.Start:
			e.effect(cmd.ID, cmd)
		case destination.Abort:
			e.effect(cmd.ID, cmd)
		case destination.Refuse:
			e.effect(cmd.ID, cmd)
			delete(e.arrivals, cmd.ID)
		case destination.OpenConnections:
			if e.cfg.OpenConnections != nil {
				e.cfg.OpenConnections(cmd.Count)
			}
		case destination.CheckSpeed:
			if e.cfg.CheckSpeed != nil {
				e.cfg.CheckSpeed()
			}
		case destination.Probe:
			if e.cfg.Probe != nil {
				e.cfg.Probe(cmd)
			}
		case destination.CancelResult:
			for _, ask := range e.asks[cmd.ID] {
				ask <- cmd.Outcome
			}
			delete(e.asks, cmd.ID)
		}
	}
}

func (e *Engine) effect(id attempt.ID, cmd destination.Cmd) {
	if effects, ok := e.arrivals[id]; ok {
		effects <- cmd
	}
}
