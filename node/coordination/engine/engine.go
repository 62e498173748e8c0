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

const (
	// inboxSize is how many inputs wait for the engine's goroutine before senders block.
	inboxSize = 1024
	// effectBuffer is the capacity of the effect channel of a call or attempt. A call has only a few effects per attempt,
	// so the engine's goroutine never blocks on a slow reader.
	effectBuffer = 16 * call.MaxAttempts
	// tickInterval is the time between two ticks of the destination model.
	tickInterval = 20 * time.Millisecond
)

// Engine owns the entry and destination models; its methods are safe for concurrent use.
type Engine struct {
	cfg      Config
	inbox    chan envelope
	done     chan struct{}
	calls    map[call.ID]chan call.Cmd
	attempts map[attempt.ID]chan destination.Cmd
	cancels  map[attempt.ID][]chan destination.CancelOutcome
	lastCall atomic.Uint64 // newest call ID
	view     atomic.Pointer[View]
}

// Config holds the models, which only the Engine may use afterwards, and the functions that carry out effects at the back
// end. The functions must not block; a nil one is skipped.
type Config struct {
	Call            *call.Model
	Destination     *destination.Model
	OpenConnections func(count int)         // opens connections to the back end
	CheckSpeed      func()                  // starts a speed check of the back end
	Probe           func(destination.Probe) // starts a probe of the back end
	SlowdownChanged func()                  // is called after the slowdown in the View has changed by a factor above 1.5
}

// Update replaces the targets of the entry model and the rules of both models.
type Update struct {
	Targets []balancer.Target
	Rules   *rule.Set // nil if unchanged
}

// envelope is an input with the channels for the effects that it causes.
type envelope struct {
	msg            any
	callEffects    chan call.Cmd
	attemptEffects chan destination.Cmd
	cancelOutcome  chan destination.CancelOutcome
}

// New returns an Engine that handles inputs once Run is called.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:      cfg,
		inbox:    make(chan envelope, inboxSize),
		done:     make(chan struct{}),
		calls:    map[call.ID]chan call.Cmd{},
		attempts: map[attempt.ID]chan destination.Cmd{},
		cancels:  map[attempt.ID][]chan destination.CancelOutcome{},
	}
	e.publish(time.Now())
	return e
}

// Run handles inputs and ticks until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case env := <-e.inbox:
			e.handle(time.Now(), env)
		case now := <-ticker.C:
			e.handleDestinationEffects(e.cfg.Destination.Update(now, destination.Tick{}))
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

// StartCall starts a call and returns its ID and its effects, the last of which is call.Forget.
func (e *Engine) StartCall(begin call.Begin) (call.ID, <-chan call.Cmd) {
	begin.Call = call.ID(e.lastCall.Add(1))
	effects := make(chan call.Cmd, effectBuffer)
	e.post(envelope{msg: begin, callEffects: effects})
	return begin.Call, effects
}

// UpdateCall passes a message about a call to the entry model.
func (e *Engine) UpdateCall(msg call.Msg) {
	e.post(envelope{msg: msg})
}

// SubmitAttempt passes a received attempt to the destination model and returns its effects: either destination.Refuse, or
// destination.Start and perhaps destination.Abort.
func (e *Engine) SubmitAttempt(msg destination.Arrive) <-chan destination.Cmd {
	effects := make(chan destination.Cmd, effectBuffer)
	e.post(envelope{msg: msg, attemptEffects: effects})
	return effects
}

// UpdateDestination passes a message about an attempt or the back end to the destination model.
func (e *Engine) UpdateDestination(msg destination.Msg) {
	e.post(envelope{msg: msg})
}

// CancelAttempt cancels an attempt at this node and returns whether it had started; it returns destination.Unknown if ctx
// ends first or the engine has stopped. An attempt that had not started never will.
func (e *Engine) CancelAttempt(ctx context.Context, msg destination.Cancel) destination.CancelOutcome {
	result := make(chan destination.CancelOutcome, 1)
	e.post(envelope{msg: msg, cancelOutcome: result})
	select {
	case outcome := <-result:
		return outcome
	case <-ctx.Done():
	case <-e.done:
	}
	return destination.Unknown
}

// ReportHint passes a load hint that arrived without a response to the entry model.
func (e *Engine) ReportHint(msg balancer.LoadReport) {
	e.post(envelope{msg: msg})
}

// Apply replaces targets and rules.
func (e *Engine) Apply(u Update) {
	e.post(envelope{msg: u})
}

func (e *Engine) handle(now time.Time, env envelope) {
	switch msg := env.msg.(type) {
	case call.Begin:
		e.calls[msg.Call] = env.callEffects
		msg.RerunShare = e.cfg.Destination.View().RerunShare
		e.sendCallEffects(e.cfg.Call.Update(now, msg))
	case call.Msg:
		e.sendCallEffects(e.cfg.Call.Update(now, msg))
	case destination.Arrive:
		e.submitAttempt(now, msg, env.attemptEffects)
		e.publish(now)
	case destination.Cancel:
		e.cancels[msg.ID] = append(e.cancels[msg.ID], env.cancelOutcome)
		e.handleDestinationEffects(e.cfg.Destination.Update(now, msg))
	case destination.Done:
		delete(e.attempts, msg.ID)
		e.handleDestinationEffects(e.cfg.Destination.Update(now, msg))
		e.publish(now)
	case destination.Msg:
		e.handleDestinationEffects(e.cfg.Destination.Update(now, msg))
		e.publish(now)
	case balancer.LoadReport:
		e.sendCallEffects(e.cfg.Call.ReportHint(now, msg))
	case Update:
		e.applyUpdate(now, msg)
	}
}

// submitAttempt sends the refusal of a duplicate attempt to the channel of the duplicate, so that it does not end the
// first copy.
func (e *Engine) submitAttempt(now time.Time, msg destination.Arrive, effects chan destination.Cmd) {
	if _, duplicate := e.attempts[msg.ID]; !duplicate {
		e.attempts[msg.ID] = effects
		e.handleDestinationEffects(e.cfg.Destination.Update(now, msg))
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
	e.handleDestinationEffects(rest)
}

func (e *Engine) applyUpdate(now time.Time, u Update) {
	if u.Rules != nil {
		e.cfg.Call.SetRules(now, u.Rules)
		e.handleDestinationEffects(e.cfg.Destination.Update(now, destination.Rules{Set: u.Rules}))
	}
	e.cfg.Call.SetTargets(now, u.Targets)
	e.publish(now)
}

func (e *Engine) sendCallEffects(cmds []call.Cmd) {
	for _, cmd := range cmds {
		id := callID(cmd)
		e.calls[id] <- cmd
		if _, last := cmd.(call.Forget); last {
			delete(e.calls, id)
		}
	}
}

func callID(cmd call.Cmd) call.ID {
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

func (e *Engine) handleDestinationEffects(cmds []destination.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case destination.Start:
			e.sendToAttempt(cmd.ID, cmd)
		case destination.Abort:
			e.sendToAttempt(cmd.ID, cmd)
		case destination.Refuse:
			e.sendToAttempt(cmd.ID, cmd)
			delete(e.attempts, cmd.ID)
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
			for _, result := range e.cancels[cmd.ID] {
				result <- cmd.Outcome
			}
			delete(e.cancels, cmd.ID)
		}
	}
}

func (e *Engine) sendToAttempt(id attempt.ID, cmd destination.Cmd) {
	if effects, ok := e.attempts[id]; ok {
		effects <- cmd
	}
}
