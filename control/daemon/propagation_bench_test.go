package daemon_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollenhill.example/core/coordination/follow"
	client "pollenhill.example/node/transport/control"
)

// latencyRecorder collects latencies in microseconds; it is safe for concurrent use.
type latencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (r *latencyRecorder) recordSince(begin time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.histogram.RecordValue(max(1, time.Since(begin).Microseconds()))
}

func (r *latencyRecorder) report(b *testing.B, what string) {
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "max": 100} {
		b.ReportMetric(float64(r.histogram.ValueAtQuantile(q))/1000, what+"-"+name+"-ms")
	}
}

// recordPropagation waits until every client has a revision and records the time since begin for each.
func recordPropagation(b *testing.B, clients []*client.Client, revision uint64, r *latencyRecorder, begin time.Time) {
	b.Helper()
	var wg sync.WaitGroup
	for _, c := range clients {
		wg.Go(func() {
			awaitState(b, c, "change", func(s *follow.State) bool { return s.Revision >= revision })
			r.recordSince(begin)
		})
	}
	wg.Wait()
}

// BenchmarkInForce reports the time from the submission of a change at any control process until it is in force at
// each of 60 clients, without a fault.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("controls=%d", n), func(b *testing.B) {
			c := newCluster(b, n)
			c.waitLeader(b)
			clients := startClients(b, &byteMeter{}, benchClients, c.servers()...)
			waitAllMembers(b, clients)
			inForce := newLatencyRecorder()
			number := uint64(0)
			for b.Loop() {
				number++
				begin := time.Now()
				recordPropagation(b, clients, c.submitUntilAccepted(b, int(number)%n, number, largeRuleText(number)), inForce, begin)
			}
			inForce.report(b, "submitted-to-force")
		})
	}
}

// BenchmarkInForceFaults reports the time until a change is in force when the leader is lost: each change is submitted at
// another control process at the moment of the fault, and the time is measured from its acceptance.
func BenchmarkInForceFaults(b *testing.B) {
	type fault struct {
		name   string
		inject func(c *cluster, leader int)
		heal   func(b *testing.B, c *cluster, leader int)
	}
	faults := []fault{
		{"stopped", func(c *cluster, i int) { c.stops[i]() }, func(b *testing.B, c *cluster, i int) { c.start(b, i) }},
		{"partitioned", func(c *cluster, i int) { c.isolate(i, true) }, func(_ *testing.B, c *cluster, i int) { c.isolate(i, false) }},
		{"lost", func(c *cluster, i int) { c.cutOff(i, true) }, func(_ *testing.B, c *cluster, i int) { c.cutOff(i, false) }},
	}
	for _, n := range []int{3, 5} {
		for _, f := range faults {
			b.Run(fmt.Sprintf("controls=%d/leader=%s", n, f.name), func(b *testing.B) {
				c := newCluster(b, n)
				clients := startClients(b, &byteMeter{}, benchClients, c.servers()...)
				inForce, acceptance := newLatencyRecorder(), newLatencyRecorder()
				number := uint64(0)
				for b.Loop() {
					c.waitAllCurrent(b)
					leader := c.waitLeader(b)
					waitAllMembers(b, clients)
					number++
					begin := time.Now()
					f.inject(c, leader)
					revision := c.submitUntilAccepted(b, (leader+1)%n, number, largeRuleText(number))
					acceptance.recordSince(begin)
					recordPropagation(b, clients, revision, inForce, time.Now())
					f.heal(b, c, leader)
				}
				inForce.report(b, "accepted-to-force")
				acceptance.report(b, "fault-to-accepted")
			})
		}
	}
}
