package consensus_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkFailover measures, in virtual time, how long a group has no leader with a quorum after the leader's VM is lost.
// The one-way network latency is up to 3 ms.
func BenchmarkFailover(b *testing.B) {
	for _, n := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var gaps []time.Duration
			for i := range b.N {
				s := newSim(uint64(i), n)
				s.run(10*time.Second, func() bool { return s.leader() != nil })
				s.run(time.Second+time.Duration(s.r.IntN(200))*time.Millisecond, nil)
				lost := s.now
				s.stop(s.leader(), true)
				if !s.run(20*time.Second, func() bool { return s.leader() != nil }) {
					b.Fatalf("seed %d: no leader", i)
				}
				gaps = append(gaps, s.now.Sub(lost))
			}
			slices.Sort(gaps)
			percentile := func(q float64) float64 { return float64(gaps[int(q*float64(len(gaps)-1))].Milliseconds()) }
			b.ReportMetric(percentile(0.5), "p50-ms")
			b.ReportMetric(percentile(0.99), "p99-ms")
			b.ReportMetric(percentile(1), "max-ms")
		})
	}
}
