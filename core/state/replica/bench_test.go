package replica_test

import (
	"fmt"
	"testing"

	"pollenhill.example/core/state/replica"
)

// newFullReplica returns a replica with DefaultMaxClaims finished claims whose responses have bodies of bodySize bytes.
func newFullReplica(b *testing.B, bodySize int) *replica.Replica {
	b.Helper()
	r := replica.New(replica.Config{})
	index := uint64(0)
	for i := range replica.DefaultMaxClaims {
		c := replica.Command{
			Kind: replica.CommandClaim, Service: "booking", IdempotencyKey: fmt.Sprint("7d1c2f5e-", i),
			AttemptID: fmt.Sprint("node-17/1764812345/", i), Fingerprint: uint64(i) * 0x9e3779b97f4a7c15,
			Response: replica.Response{Status: 201, Body: make([]byte, bodySize)},
		}
		for _, c.Kind = range []replica.CommandKind{replica.CommandClaim, replica.CommandFinishClaim} {
			index++
			r.Apply(index, c)
		}
	}
	return r
}

// BenchmarkSnapshot measures for how long a snapshot of a full replica blocks the control group.
func BenchmarkSnapshot(b *testing.B) {
	for _, body := range []int{0, 260} {
		r := newFullReplica(b, body)
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			for range b.N {
				b.SetBytes(int64(len(r.Snapshot())))
			}
		})
	}
}

// BenchmarkRestore measures how long a start from the snapshot of a full replica takes.
func BenchmarkRestore(b *testing.B) {
	for _, body := range []int{0, 260} {
		raw := newFullReplica(b, body).Snapshot()
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			b.SetBytes(int64(len(raw)))
			for range b.N {
				if _, err := replica.Restore(replica.Config{}, raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
