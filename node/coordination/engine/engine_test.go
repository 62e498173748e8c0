package engine_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/engine"
)

// Pattern: the speed of back ends changes several times a second, so that a report of it is worth something only if it
// is of this moment, the one about the local back end included.

const text = `format 1
change 1 # kari: test
pool desk health=/health connections=240 cold=3s rate=42 # kari: test
route look host=desk.example path=/look/ kind=idempotent aim=200ms within=1s tries=2 rank=2 to=desk # kari: test
`

func rules(t *testing.T) *rule.Set {
	t.Helper()
	set, err := rule.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// start runs an engine beside the back end "here" that knows another one, "there".
func start(t *testing.T, paced func()) *engine.Engine {
	t.Helper()
	e := engine.New(engine.Config{
		Call:            call.New(call.Config{Node: "n", Incarnation: 1, Choice: balancer.New(balancer.Config{Zone: "a", Rand: rand.New(rand.NewPCG(1, 1))})}),
		Destination:     destination.New(destination.Config{Zone: "a", Incarnation: 1}),
		SlowdownChanged: paced,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	targets := []balancer.Target{
		{Backend: "here", Service: "desk", Node: "n", Zone: "a", Slots: 14, State: admission.Ready},
		{Backend: "there", Service: "desk", Node: "m", Zone: "a", Slots: 14, State: admission.Ready},
	}
	e.Apply(engine.Update{Targets: targets, Rules: rules(t)})
	e.UpdateDestination(destination.Backend{Name: "here", Service: "desk", Slots: 14, State: admission.Ready})
	return e
}

// Guards against a report to other nodes that is made before the new speed is known and so tells the old one: it then
// takes until the next regular report, 100 ms, until they hear of the change.
func TestPacedTellsTheNewSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var e *engine.Engine
		told := make(chan float64, 10)
		e = start(t, func() { told <- e.View().Admission.Hint.Pace })
		for _, speed := range []float64{1, 5, 1} {
			e.UpdateDestination(destination.Slowdown{Factor: speed})
			synctest.Wait()
			if got := <-told; got != speed {
				t.Errorf("told speed %v after a change to %v", got, speed)
			}
		}
		e.UpdateDestination(destination.Slowdown{Factor: 1.2})
		synctest.Wait()
		if len(told) > 0 {
			t.Error("a small change of speed was told at once")
		}
	})
}

// Guards against an entry side that guesses the speed of its own back end, of which no other node reports: it chose the
// fast one next door only if all others were slow, and could not tell when it was slow itself.
func TestEntrySideKnowsTheLocalBackend(t *testing.T) {
	for speed, want := range map[float64]string{1: "here", 5: "there"} {
		synctest.Test(t, func(t *testing.T) {
			e := start(t, nil)
			e.UpdateDestination(destination.Slowdown{Factor: speed})
			e.ReportHint(balancer.LoadReport{Backend: "there", Hint: hint.Hint{Limit: 14, Pace: 2}})
			_, effects := e.StartCall(call.Begin{Service: "desk", Route: "look", Idempotent: true, Deadline: time.Now().Add(time.Second), Objective: 200 * time.Millisecond})
			synctest.Wait()
			send, ok := (<-effects).(call.Send)
			if !ok || send.Target.Backend != want {
				t.Errorf("local speed %v: sent to %+v, want %s", speed, send.Target, want)
			}
			if ok && want == "here" && send.Target.Observed.Slowdown != speed {
				t.Errorf("chosen by speed %v, want %v", send.Target.Observed.Slowdown, speed)
			}
		})
	}
}
