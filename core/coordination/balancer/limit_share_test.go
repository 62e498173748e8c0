package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/requestlimit"
	"pollenhill.example/core/state/rule"
)

// Guards against a request limit that wastes attempts or stays unused when many entry nodes share it, each of which sends
// less than one request a second: the pattern of a large fleet.
func TestRequestLimitSharedByManyEntryNodes(t *testing.T) {
	const (
		entryNodes = 200
		perSecond  = 100 // requests of all entry nodes
		limit      = 12.0
		duration   = 20 * time.Second
	)
	set, err := rule.Parse("format 1\nchange 1 # a: b\npool s # a: b\n")
	if err != nil {
		t.Fatal(err)
	}
	rnd := rand.New(rand.NewPCG(3, 4))
	var entries []*balancer.Model
	for range entryNodes {
		m := balancer.New(balancer.Config{Zone: "a", Region: "r", Rand: rand.New(rand.NewPCG(rnd.Uint64(), 1))})
		m.Update(epoch, balancer.Targets{List: newTargets("a", "a", "a")})
		m.Update(epoch, balancer.Rules{Set: set})
		entries = append(entries, m)
	}
	destination := admission.New(admission.Limits{Slots: 12, FixedLimit: true})
	destination.Update(epoch, admission.BackendState{State: admission.Ready})
	destination.Update(epoch, admission.RequestLimit{Limit: requestlimit.New(limit)})
	busy := hint.Hint{Inflight: 9, Limit: 12, Slowdown: 1}
	started, refused := 0, 0
	for i := range perSecond * int(duration.Seconds()) {
		now := epoch.Add(time.Duration(i) * time.Second / perSecond)
		if i%10 == 0 { // hints come each 100 ms
			destination.Update(now, admission.Tick{})
			h := destination.View().Hint
			h.Slowdown = 1
			for _, m := range entries {
				m.Update(now, balancer.LoadReport{Backend: "b0", Hint: h})
				m.Update(now, balancer.LoadReport{Backend: "b1", Hint: busy})
				m.Update(now, balancer.LoadReport{Backend: "b2", Hint: busy})
			}
		}
		n := rnd.IntN(entryNodes)
		target, ok := entries[n].Pick(now, balancer.Query{Service: "s"})
		if !ok {
			t.Fatal("no back end")
		}
		entries[n].Update(now, balancer.Begin{Backend: target.Backend})
		entries[n].Update(now, balancer.End{Backend: target.Backend, Latency: time.Millisecond})
		if target.Backend != "b0" {
			continue
		}
		id := attempt.ID{Node: fmt.Sprint("e", n), Incarnation: 1, Sequence: uint64(i)}
		arrive := admission.Arrive{ID: id, Deadline: now.Add(time.Second), Route: "r", ObjectiveAt: now.Add(300 * time.Millisecond), LatencyObjective: 300 * time.Millisecond, Movable: true}
		for _, cmd := range destination.Update(now, arrive) {
			switch cmd := cmd.(type) {
			case admission.Start:
				started++
				destination.Update(now, admission.Done{ID: cmd.ID, Result: admission.Good, Latency: time.Millisecond})
			case admission.Refuse:
				refused++
			}
		}
	}
	most := int(limit * duration.Seconds())
	if started < most/2 || started > most+3 {
		t.Errorf("%d requests started, the limit allows %d", started, most)
	}
	if refused > started {
		t.Errorf("%d attempts refused for %d that started", refused, started)
	}
}
