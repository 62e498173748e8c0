package raftgroup_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/core/state/replica"
)

// ruleLines is the length of a rule file at target size: 110 services with 13 rules each.
const ruleLines = 110 * 13

func ruleText(number uint64, lines int) string {
	line := "limit service-000 slots=12 connections=240 queue=24 # ola: size of a VM\n"
	return fmt.Sprintf("format 1\nchange %d # kari: bench\n%s", number, strings.Repeat(line, lines))
}

// benchCluster is a group on real disks whose messages are passed directly from member to member.
type benchCluster struct {
	peers     []raftgroup.Peer
	groups    map[string]*atomic.Pointer[raftgroup.Group]
	sentBytes atomic.Int64 // bytes passed to Send
	dataDirs  map[string]string
}

func newBenchCluster(b *testing.B, n int) *benchCluster {
	r := &benchCluster{groups: map[string]*atomic.Pointer[raftgroup.Group]{}, dataDirs: map[string]string{}}
	for i := range n {
		name := fmt.Sprintf("c%d", i+1)
		r.peers = append(r.peers, raftgroup.Peer{Name: name, Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:1", i+1))})
		r.groups[name] = &atomic.Pointer[raftgroup.Group]{}
		r.dataDirs[name] = b.TempDir()
	}
	for _, p := range r.peers {
		r.open(b, p.Name)
	}
	b.Cleanup(func() {
		for _, p := range r.peers {
			_ = r.groups[p.Name].Load().Close()
		}
	})
	return r
}

func (r *benchCluster) open(b *testing.B, name string) *raftgroup.Group {
	g, err := raftgroup.Open(raftgroup.Config{
		Name: name, DataDir: r.dataDirs[name], Peers: r.peers,
		Send: func(to string, messages [][]byte) {
			for _, raw := range messages {
				r.sentBytes.Add(int64(len(raw)))
			}
			if g := r.groups[to].Load(); g != nil {
				g.Receive(messages)
			}
		},
		Forward: func(ctx context.Context, to string, command []byte) ([]byte, error) {
			return r.groups[to].Load().ProposeForwarded(ctx, command)
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	r.groups[name].Store(g)
	return g
}

func (r *benchCluster) waitLeader(b *testing.B) *raftgroup.Group {
	for range 1000 {
		for _, p := range r.peers {
			if g := r.groups[p.Name].Load(); g.View().Current && g.View().Leader == p.Name {
				return g
			}
		}
		<-time.After(10 * time.Millisecond)
	}
	b.Fatal("no leader")
	return nil
}

func claimCommand(i int64) replica.Command {
	return replica.Command{
		Kind: replica.CommandClaim, Service: "booking", IdempotencyKey: fmt.Sprintf("7d1c2f5e-%d", i),
		AttemptID: fmt.Sprintf("node-17/1764812345/%d", i), Fingerprint: uint64(i) * 0x9e3779b97f4a7c15,
		ProposedAt: time.UnixMilli(1_700_000_000_000),
	}
}

// BenchmarkProposals measures committed claims per second, and the bytes that each claim sends and adds to the log.
func BenchmarkProposals(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("members=%d/callers=%d", n, callers), func(b *testing.B) {
				r := newBenchCluster(b, n)
				leader := r.waitLeader(b)
				r.sentBytes.Store(0)
				var next atomic.Int64
				b.ResetTimer()
				done := make(chan error, callers)
				for range callers {
					go func() {
						for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
							if _, err := leader.Propose(b.Context(), claimCommand(i)); err != nil {
								done <- err
								return
							}
						}
						done <- nil
					}()
				}
				for range callers {
					if err := <-done; err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
				b.ReportMetric(float64(r.sentBytes.Load())/float64(b.N), "sentB/proposal")
				b.ReportMetric(float64(len(claimCommand(int64(b.N)).Encode())), "logB/proposal")
			})
		}
	}
}

// BenchmarkChange measures one change that replaces a rule file of target size.
func BenchmarkChange(b *testing.B) {
	r := newBenchCluster(b, 3)
	leader := r.waitLeader(b)
	r.sentBytes.Store(0)
	b.ResetTimer()
	for i := range b.N {
		number := uint64(i + 1)
		res, err := leader.Propose(b.Context(), replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: number, Text: ruleText(number, ruleLines)})
		if err != nil || res.Verdict != replica.VerdictAccepted {
			b.Fatal(res.Verdict, err)
		}
	}
	b.ReportMetric(float64(r.sentBytes.Load())/float64(b.N), "sentB/proposal")
}

// BenchmarkRecovery measures the restart of one of three members after 500 changes until it is current and has applied
// all of them.
func BenchmarkRecovery(b *testing.B) {
	for _, lines := range []int{13, ruleLines} {
		b.Run(fmt.Sprintf("lines=%d", lines), func(b *testing.B) {
			r := newBenchCluster(b, 3)
			leader := r.waitLeader(b)
			for n := uint64(1); n <= 500; n++ {
				if _, err := leader.Propose(b.Context(), replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: n, Text: ruleText(n, lines)}); err != nil {
					b.Fatal(err)
				}
			}
			name := "c1"
			if leader.View().Leader == name {
				name = "c2"
			}
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				if err := r.groups[name].Load().Close(); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				g := r.open(b, name)
				for changed := g.EntryApplied(); g.View().AppliedIndex < leader.View().CommitIndex || !g.View().Current; changed = g.EntryApplied() {
					select {
					case <-changed:
					case <-time.After(time.Millisecond):
					}
				}
			}
		})
	}
}
