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

const ruleText = `format 1
change 1 # kari: test
pool desk health=/health connections=240 cold=3s rate=42 # kari: test
route look host=desk.example path=/look/ kind=idempotent aim=200ms within=1s tries=2 rank=2 to=desk # kari: test
`

func parseRules(t *testing.T) *rule.Set {
	t.Helper()
	set, err := rule.Parse(ruleText)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// startEngine runs an engine whose local back end is "here" and that knows one other back end, "there".
func startEngine(t *testing.T, slowdownChanged func()) *engine.Engine {
	t.Helper()
	e := engine.New(engine.Config{
		Call:            call.New(call.Config{Node: "n", Incarnation: 1, Balancer: balancer.New(balancer.Config{Zone: "a", Rand: rand.New(rand.NewPCG(1, 1))})}),
		Destination:     destination.New(destination.Config{Zone: "a", Incarnation: 1}),
		SlowdownChanged: slowdownChanged,
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
	e.Apply(engine.Update{Targets: targets, Rules: parseRules(t)})
	e.UpdateDestination(destination.Backend{Name: "here", Service: "desk", Slots: 14, State: admission.Ready})
	return e
}

// Guards against calling SlowdownChanged before the view shows the new value: the load report that it triggers then
// contains the old slowdown, and other nodes learn of the change only with the next regular report, up to 100 ms later.
// Slowdown changes several times a second, so a report is useful only while it is fresh.
func TestSlowdownChangedSeesTheNewValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var e *engine.Engine
		reported := make(chan float64, 10)
		e = startEngine(t, func() { reported <- e.View().Admission.Hint.Slowdown })
		for _, slowdown := range []float64{1, 5, 1} {
			e.UpdateDestination(destination.Slowdown{Factor: slowdown})
			synctest.Wait()
			if got := <-reported; got != slowdown {
				t.Errorf("reported slowdown %v after a change to %v", got, slowdown)
			}
		}
		e.UpdateDestination(destination.Slowdown{Factor: 1.2})
		synctest.Wait()
		if len(reported) > 0 {
			t.Error("a small change of slowdown was reported at once")
		}
	})
}

// Guards against an entry side that estimates the slowdown of its local back end, which no other node reports, instead of
// reading it: it then prefers a fast local back end only if all others are slow, and keeps using a slow one.
func TestEntrySideKnowsTheLocalSlowdown(t *testing.T) {
	for slowdown, want := range map[float64]string{1: "here", 5: "there"} {
		synctest.Test(t, func(t *testing.T) {
			e := startEngine(t, nil)
			e.UpdateDestination(destination.Slowdown{Factor: slowdown})
			e.ReportHint(balancer.LoadReport{Backend: "there", Hint: hint.Hint{Limit: 14, Slowdown: 2}})
			_, effects := e.StartCall(call.Begin{Service: "desk", Route: "look", Idempotent: true, Deadline: time.Now().Add(time.Second), Objective: 200 * time.Millisecond})
			synctest.Wait()
			send, ok := (<-effects).(call.Send)
			if !ok || send.Target.Backend != want {
				t.Errorf("local slowdown %v: sent to %+v, want %s", slowdown, send.Target, want)
			}
			if ok && want == "here" && send.Target.Observed.Slowdown != slowdown {
				t.Errorf("chosen by slowdown %v, want %v", send.Target.Observed.Slowdown, slowdown)
			}
		})
	}
}
