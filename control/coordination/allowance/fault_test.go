package allowance_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fault is one kind of fault of a simulated fleet; it lasts until the next one of its kind ends it or for its own time.
type fault struct {
	name  string
	apply func(f *fleet, t *rapid.T)
}

var faults = []fault{
	{"loss", func(f *fleet, t *rapid.T) { f.loss = rapid.Float64Range(0, 0.1).Draw(t, "loss") }},
	{"cut nodes", func(f *fleet, t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share of nodes")
		for i, n := range f.nodes {
			n.cut = float64(i) < share*float64(len(f.nodes))
		}
	}},
	{"isolate control processes", func(f *fleet, t *rapid.T) {
		for _, c := range f.controls {
			c.isolated = rapid.Bool().Draw(t, "isolated")
		}
	}},
	{"restart nodes", func(f *fleet, t *rapid.T) {
		for i := range rapid.IntRange(1, len(f.nodes)/3).Draw(t, "restarted nodes") {
			f.nodes[i].stopped = f.now.Add(downtime(t))
			f.restartNode(i)
		}
	}},
	{"freeze nodes", func(f *fleet, t *rapid.T) {
		for i := range rapid.IntRange(1, len(f.nodes)).Draw(t, "frozen nodes") {
			f.nodes[i].stopped = f.now.Add(downtime(t))
		}
	}},
	{"restart control processes", func(f *fleet, t *rapid.T) {
		for i := range rapid.IntRange(1, len(f.controls)).Draw(t, "restarted control processes") {
			f.controls[i].stopped = f.now.Add(downtime(t))
			f.restartControl(i)
		}
	}},
	{"freeze control processes", func(f *fleet, t *rapid.T) {
		for i := range rapid.IntRange(1, len(f.controls)).Draw(t, "frozen control processes") {
			f.controls[i].stopped = f.now.Add(downtime(t))
		}
	}},
	{"heal", func(f *fleet, _ *rapid.T) { f.heal() }},
}

func downtime(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(100, 5000).Draw(t, "down for ms")) * time.Millisecond
}

func (f *fleet) heal() {
	f.loss = 0
	for _, n := range f.nodes {
		n.cut = false
	}
	for _, c := range f.controls {
		c.isolated = false
	}
}

// firstRequests is how many requests each node may add to the bound in faults: until it knows that it is out of touch, a node
// admits a first request of an account whatever the totals were.
const firstRequests = 1

// Guards against more requests than the platform tolerates, whatever is lost, cut off, frozen or restarted, while accounts send up
// to 7.5 times their usual.
func TestBoundHoldsInFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := []float64{140, 20, 4}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 30, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "control processes"), accountsFor(demand))
		f.run(3 * time.Second)
		copy(f.demand, demand)
		f.run(6 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			rapid.SampledFrom(faults).Draw(t, "fault").apply(f, t)
			for a := range demand {
				f.demand[a] = demand[a] * rapid.SampledFrom([]float64{1, 1, 7.5}).Draw(t, "times the usual")
			}
			f.run(time.Duration(rapid.IntRange(100, 7000).Draw(t, "ms to the next event")) * time.Millisecond)
		}
		for a := range f.accounts {
			most, limit := f.mostInWindow(a), bound(f.accounts[a])+firstRequests*float64(len(f.nodes))
			if float64(most) > limit {
				t.Fatalf("%s got %d requests in a window, above %.0f", f.accounts[a].Name, most, limit)
			}
		}
	})
}
