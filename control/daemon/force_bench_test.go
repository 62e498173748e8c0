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

// recorder collects times of several goroutines.
type recorder struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{h: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (r *recorder) since(begin time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.h.RecordValue(max(1, time.Since(begin).Microseconds()))
}

func (r *recorder) report(b *testing.B, what string) {
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "max": 100} {
		b.ReportMetric(float64(r.h.ValueAtQuantile(q))/1000, what+"-"+name+"-ms")
	}
}

// inForce records when each client has a revision.
func inForce(b *testing.B, clients []*client.Client, revision uint64, r *recorder, begin time.Time) {
	b.Helper()
	var wg sync.WaitGroup
	for _, c := range clients {
		wg.Go(func() {
			await(b, c, "change", func(s *follow.State) bool { return s.Revision >= revision })
			r.since(begin)
		})
	}
	wg.Wait()
}

// BenchmarkInForce reports, without a fault, the time from the submission of a change at any control process
// until it is in force at each of 60 clients.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("controls=%d", n), func(b *testing.B) {
			c := newCluster(b, n)
			c.leader(b)
			clients := fleet(b, &meter{}, benchClients, c.servers()...)
			settled(b, clients)
			force := newRecorder()
			number := uint64(0)
			for b.Loop() {
				number++
				begin := time.Now()
				inForce(b, clients, c.submit(b, int(number)%n, number, wide(number)), force, begin)
			}
			force.report(b, "submitted-to-force")
		})
	}
}

// BenchmarkInForceFaults reports the same while the leader is lost: each change is submitted at another control
// process at the moment of the fault, and the time counts from its acceptance.
func BenchmarkInForceFaults(b *testing.B) {
	type fault struct {
		name string
		hit  func(c *cluster, leader int)
		heal func(b *testing.B, c *cluster, leader int)
	}
	faults := []fault{
		{"stopped", func(c *cluster, i int) { c.stops[i]() }, func(b *testing.B, c *cluster, i int) { c.start(b, i) }},
		{"partitioned", func(c *cluster, i int) { c.isolate(i, true) }, func(_ *testing.B, c *cluster, i int) { c.isolate(i, false) }},
		{"lost", func(c *cluster, i int) { c.silence(i, true) }, func(_ *testing.B, c *cluster, i int) { c.silence(i, false) }},
	}
	for _, n := range []int{3, 5} {
		for _, f := range faults {
			b.Run(fmt.Sprintf("controls=%d/leader=%s", n, f.name), func(b *testing.B) {
				c := newCluster(b, n)
				clients := fleet(b, &meter{}, benchClients, c.servers()...)
				force, decision := newRecorder(), newRecorder()
				number := uint64(0)
				for b.Loop() {
					c.healed(b)
					leader := c.leader(b)
					settled(b, clients)
					number++
					begin := time.Now()
					f.hit(c, leader)
					revision := c.submit(b, (leader+1)%n, number, wide(number))
					decision.since(begin)
					inForce(b, clients, revision, force, time.Now())
					f.heal(b, c, leader)
				}
				force.report(b, "accepted-to-force")
				decision.report(b, "fault-to-accepted")
			})
		}
	}
}
