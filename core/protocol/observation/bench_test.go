package observation_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/observation"
)

// BenchmarkSize reports the size of an observation with three routes and hundreds of answers in half of the buckets.
func BenchmarkSize(b *testing.B) {
	o := &control.Observation{
		Node: "sidecar-oslo-a-17", Incarnation: 1 << 60, Sequence: 1 << 14, Name: "i-7f3a91c2aa", Service: "booking", Version: "v2",
		State: control.State_STATE_READY, Slots: 6, Inflight: 3, Revision: 1 << 14,
	}
	for range 3 {
		r := &control.RouteCount{Route: "r-2b9wu3fxxx", Failed: 300, Times: make([]uint64, observation.Buckets)}
		for i := range observation.Buckets / 2 {
			r.Times[i] = 300
		}
		o.Routes = append(o.Routes, r)
	}
	size := 0
	for b.Loop() {
		raw, err := proto.Marshal(o)
		if err != nil {
			b.Fatal(err)
		}
		size = len(raw)
	}
	b.ReportMetric(float64(size), "B")
}
