package loadreport_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/requestlimit"
	"pollenhill.example/node/protocol/loadreport"
)

// Guards against a field that Encode or Decode drops or changes.
func TestDatagramRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := loadreport.Datagram{
			Node: rapid.StringN(1, 20, -1).Draw(t, "node"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Sequence: rapid.Uint64().Draw(t, "sequence"), Backend: rapid.StringN(1, 20, -1).Draw(t, "backend"),
			Hint: hint.Hint{
				Inflight: rapid.IntRange(0, 99).Draw(t, "inflight"), Queued: rapid.IntRange(0, 99).Draw(t, "queued"), Limit: 12,
				ServiceTime: 5 * time.Millisecond, Slowdown: float64(rapid.IntRange(0, 40).Draw(t, "slowdown")) / 4, FailureShare: 0.25,
				RequestLimit: requestlimit.New(float64(rapid.IntRange(0, 400).Draw(t, "limit")) / 4), RequestShare: 0.125,
			},
		}
		got, err := loadreport.Decode(d.Encode())
		if err != nil || got != d {
			t.Fatalf("got %+v, %v, want %+v", got, err, d)
		}
	})
}

// Guards against a panic on a malformed datagram, which anyone can send, and against accepting one without a
// sending node.
func FuzzDecode(f *testing.F) {
	f.Add(loadreport.Datagram{Node: "n", Backend: "b"}.Encode())
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if d, err := loadreport.Decode(raw); err == nil && d.Node == "" {
			t.Error("accepted a datagram without a sending node")
		}
	})
}
