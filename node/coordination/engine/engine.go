package engine

import (
	"context"
	"sync/atomic"
	"time"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/arrival"
	"pollenhill.example/node/coordination/call"
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
	arrivals map[attempt.ID]chan arrival.Cmd
	asks     map[attempt.ID][]chan arrival.Answer
	next     atomic.Uint64
	view     atomic.Pointer[View]
}

// Config holds the models, which belong to the Engine from then on.
type Config struct {
	Call    *call.Model
	Arrival *arrival.Model
	Warm    func(count int)     // opens connections to the back end without waiting; may be nil
	Measure func()              // asks for the speed of the back end without waiting; may be nil
	Probe   func(arrival.Probe) // checks the back end without waiting; may be nil
	Paced   func()              // tells that the view shows another speed of the back end, without waiting; may be nil
}

// Targets replaces the members and rules that both models use.
type Targets struct {
	Targets []balancer.Target
	Set     *rule.Set // nil: unchanged
}

// envelope is one input with the channels for its effects.
type envelope struct {
	msg     any
	call    chan call.Cmd
	arrival chan arrival.Cmd
	ask     chan arrival.Answer
}

// New returns an Engine; Run makes it work.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:      cfg,
		inbox:    make(chan envelope, inboxSize),
		done:     make(chan struct{}),
		calls:    map[call.ID]chan call.Cmd{},
		arrivals: map[attempt.ID]chan arrival.Cmd{},
		asks:     map[attempt.ID][]chan arrival.Answer{},
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
			e.arrived(e.cfg.Arrival.Update(now, arrival.Tick{}))
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

// Call starts a call; the effects end with call.Forget.
func (e *Engine) Call(begin call.Begin) (call.ID, <-chan call.Cmd) {
	begin.Call = call.ID(e.next.Add(1))
	effects := make(chan call.Cmd, effectSize)
	e.post(envelope{msg: begin, call: effects})
	return begin.Call, effects
}

// Tell passes news about a call to its model.
func (e *Engine) Tell(msg call.Msg) {
	e.post(envelope{msg: msg})
}

// Arrive starts an attempt at this node; the effects are Refuse, or Start and perhaps Abort.
func (e *Engine) Arrive(msg arrival.Arrive) <-chan arrival.Cmd {
	effects := make(chan arrival.Cmd, effectSize)
	e.post(envelope{msg: msg, arrival: effects})
	return effects
}

// Report passes news about an attempt or the back end to the destination model.
func (e *Engine) Report(msg arrival.Msg) {
	e.post(envelope{msg: msg})
}

// Cancel asks what is known about an attempt at this node and makes sure that it does not start later.
func (e *Engine) Cancel(ctx context.Context, msg arrival.Cancel) arrival.Answer {
	ask := make(chan arrival.Answer, 1)
	e.post(envelope{msg: msg, ask: ask})
	select {
	case answer := <-ask:
		return answer
	case <-ctx.Done():
	case <-e.done:
	}
	return arrival.Unsure
}

// Hint passes on a hint that came without a response.
func (e *Engine) Hint(msg balancer.LoadReport) {
	e.post(envelope{msg: msg})
}

// Apply replaces members and rules.
func (e *Engine) Apply(t Targets) {
	e.post(envelope{msg: t})
}

func (e *Engine) handle(now time.Time, env envelope) {
	switch msg := env.msg.(type) {
	case call.Begin:
		e.calls[msg.Call] = env.call
		msg.Rerun = e.cfg.Arrival.View().RerunShare
		e.called(e.cfg.Call.Update(now, msg))
	case call.Msg:
		e.called(e.cfg.Call.Update(now, msg))
	case arrival.Arrive:
		e.arrive(now, msg, env.arrival)
		e.publish(now)
	case arrival.Cancel:
		e.asks[msg.ID] = append(e.asks[msg.ID], env.ask)
		e.arrived(e.cfg.Arrival.Update(now, msg))
	case arrival.Done:
		delete(e.arrivals, msg.ID)
		e.arrived(e.cfg.Arrival.Update(now, msg))
		e.publish(now)
	case arrival.Msg:
		e.arrived(e.cfg.Arrival.Update(now, msg))
		e.publish(now)
	case balancer.LoadReport:
		e.called(e.cfg.Call.Report(now, msg))
	case Targets:
		e.apply(now, msg)
	}
}

// arrive gives a second copy of an attempt its own channel, so that its refusal does not end the first.
func (e *Engine) arrive(now time.Time, msg arrival.Arrive, effects chan arrival.Cmd) {
	if _, copied := e.arrivals[msg.ID]; !copied {
		e.arrivals[msg.ID] = effects
		e.arrived(e.cfg.Arrival.Update(now, msg))
		return
	}
	var rest []arrival.Cmd
	for _, cmd := range e.cfg.Arrival.Update(now, msg) {
		if r, ok := cmd.(arrival.Refuse); ok && r.ID == msg.ID && r.Outcome == attempt.Unknown {
			effects <- cmd
			continue
		}
		rest = append(rest, cmd)
	}
	e.arrived(rest)
}

func (e *Engine) apply(now time.Time, t Targets) {
	if t.Set != nil {
		e.cfg.Call.Rules(now, t.Set)
		e.arrived(e.cfg.Arrival.Update(now, arrival.Rules{Set: t.Set}))
	}
	e.cfg.Call.Members(now, t.Targets)
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
	case call.Ask:
		return cmd.Call
	case call.Wake:
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

func (e *Engine) arrived(cmds []arrival.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case arrival.Start:
			e.effect(cmd.ID, cmd)
		case arrival.Abort:
			e.effect(cmd.ID, cmd)
		case arrival.Refuse:
			e.effect(cmd.ID, cmd)
			delete(e.arrivals, cmd.ID)
		case arrival.Warm:
			if e.cfg.Warm != nil {
				e.cfg.Warm(cmd.Count)
			}
		case arrival.Measure:
			if e.cfg.Measure != nil {
				e.cfg.Measure()
			}
		case arrival.Probe:
			if e.cfg.Probe != nil {
				e.cfg.Probe(cmd)
			}
		case arrival.Verdict:
			for _, ask := range e.asks[cmd.ID] {
				ask <- cmd.Answer
			}
			delete(e.asks, cmd.ID)
		}
	}
}

func (e *Engine) effect(id attempt.ID, cmd arrival.Cmd) {
	if effects, ok := e.arrivals[id]; ok {
		effects <- cmd
	}
}
