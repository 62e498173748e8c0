package raft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pollenhill.example/core/coordination/raft"
)

// Guards against corrupted messages that make a member panic or damage its log. The seed corpus, which consists of real
// messages with altered bytes, also runs as an ordinary test.
func FuzzReceive(f *testing.F) {
	r := rand.New(rand.NewPCG(5, 5))
	for seed := range uint64(20) {
		w := newWalk(seed)
		for range 400 {
			w.step()
		}
		for _, msg := range w.inFlight[:min(len(w.inFlight), 20)] {
			raw := msg.Encode()
			for range r.IntN(3) {
				raw[r.IntN(len(raw))] = byte(r.Uint32())
			}
			f.Add(raw, seed)
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte, seed uint64) {
		msg, err := raft.DecodeMessage(raw)
		if err != nil {
			return
		}
		for _, c := range []struct{ leader bool }{{true}, {false}} {
			s := newSingleMember(t, threeVoters, logContent(3, 1, 2, 3))
			if c.leader {
				s.becomeLeader()
			}
			commitBefore := s.view().Commit
			for range 3 {
				s.receive(msg)
				s.now = s.now.Add(time.Duration(seed%100) * time.Millisecond)
				s.update(raft.Tick{})
			}
			s.update(raft.Propose{Proposals: []raft.Proposal{{Token: 1}}})
			if got := s.view(); got.Commit < commitBefore || got.Applied > got.Commit || got.Commit > got.LastIndex {
				t.Fatalf("after %+v: %+v", msg, got)
			}
		}
	})
}
