package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/rule"
)

// contendedBackends is the number of back ends of newContendedPool, b0 and up, all in the zone of the entry node.
const contendedBackends = 12

// newContendedPool returns a model of the pool s.
func newContendedPool(t *testing.T) *balancer.Model {
	t.Helper()
	set, err := rule.Parse("format 1\nchange 1 # a: b\npool s # a: b\n")
	if err != nil {
		t.Fatal(err)
	}
	m := newModel(newTargets(slices.Repeat([]string{"a"}, contendedBackends)...))
	m.Update(epoch, balancer.Rules{Set: set})
	return m
}

// Guards against entry nodes that all send to the few back ends whose last hints show free slots, so that queues form there
// while others run empty. The load: a pool with nearly all slots in use, where two of twelve back ends were idle when the
// hints were sent, 50 ms ago.
func TestContendedPicksAreSpread(t *testing.T) {
	share := func(q balancer.Query) float64 {
		m := newContendedPool(t)
		for range 100 {
			for i := range contendedBackends {
				h := hint.Hint{Inflight: 12, Queued: 1, Limit: 12, Slowdown: 1}
				if i < 2 {
					h = hint.Hint{Inflight: 2, Limit: 12, Slowdown: 1}
				}
				m.Update(epoch, balancer.LoadReport{Backend: fmt.Sprintf("b%d", i), Hint: h})
			}
		}
		idle := 0
		for range 1000 {
			if target, _ := m.Pick(epoch.Add(50*time.Millisecond), q); target.Backend == "b0" || target.Backend == "b1" {
				idle++
			}
		}
		return float64(idle) / 1000
	}
	if usual := share(balancer.Query{Service: "s"}); usual < 0.9 {
		t.Errorf("without contention %.2f of the picks go to the idle back ends", usual)
	}
	// In those 50 ms, 24 requests arrive at 120 slots in use with a service time of 250 ms, for 20 free slots.
	if spread := share(balancer.Query{Service: "s", Contended: true}); spread < 2.0/12 || spread > 20.0/24 {
		t.Errorf("with contention %.2f of the picks go to the idle back ends, want more than their part and no more than they have slots for", spread)
	}
}

// Guards against urgent requests that wait for the end of a slow period because the queues elsewhere are long, although they
// go before what waits there. The load: one back end in a slow period, which has run empty since, beside eleven fast ones
// with queues of twice their limit.
func TestUrgentPicksIgnoreQueues(t *testing.T) {
	slowPicks := func(urgent bool) int {
		m := newContendedPool(t)
		for range 100 {
			for i := range contendedBackends {
				h := hint.Hint{Inflight: 12, Queued: 24, Limit: 12, Slowdown: 1}
				if i == 0 {
					h = hint.Hint{Limit: 12, Slowdown: 5}
				}
				m.Update(epoch, balancer.LoadReport{Backend: fmt.Sprintf("b%d", i), Hint: h})
			}
		}
		slow := 0
		for range 1000 {
			if target, _ := m.Pick(epoch, balancer.Query{Service: "s", Contended: true, Urgent: urgent}); target.Backend == "b0" {
				slow++
			}
		}
		return slow
	}
	if got := slowPicks(true); got > 10 {
		t.Errorf("%d of 1000 urgent picks go to the slow back end; %d of the others", got, slowPicks(false))
	}
}
