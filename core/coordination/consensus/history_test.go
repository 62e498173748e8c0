package consensus_test

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"pollenhill.example/core/state/replica"
)

// histories is how many seeded fault histories run, the number in the targets of the design page.
const histories = 2000

const (
	faultsFor = 6 * time.Second
	checkFor  = 30 * time.Second
)

// runHistory runs one seeded history: clients and faults in virtual time, then the checks.
func runHistory(seed uint64) (s *sim, n *nemesis, h *history) {
	return runFaults(newSim(seed, 3+2*int(seed%4/3)), faultsFor)
}

// runFaults lets clients and faults work on a group for a time.
func runFaults(s *sim, faultsFor time.Duration) (_ *sim, n *nemesis, h *history) {
	h = newHistory()
	n = &nemesis{s: s, used: map[string]int{}, second: 1, extra: 2, until: s.now.Add(faultsFor)}
	n.begin()
	for id := range 4 {
		c := &client{s: s, id: id, until: n.until, history: h}
		c.begin()
	}
	s.run(faultsFor, nil)
	s.run(20*time.Second, func() bool { return h.open == 0 && n.lost == nil })
	s.settle()
	if s.problem == "" {
		s.equal()
	}
	return s, n, h
}

func (h *history) verify(s *sim) {
	s.linearizable("rules", rulesModel, h.rules)
	for _, key := range slices.Sorted(maps.Keys(h.claims)) {
		s.linearizable("claim "+key, claimModel, h.claims[key])
	}
}

func (s *sim) linearizable(name string, model porcupine.Model, ops []porcupine.Operation) {
	switch porcupine.CheckOperationsTimeout(model, ops, checkFor) {
	case porcupine.Illegal:
		s.fail("history of %s is not linearizable: %+v", name, ops)
	case porcupine.Unknown:
		s.fail("history of %s with %d operations was not decided in %v", name, len(ops), checkFor)
	}
}

// Guards against every loss of an accepted change or claim, two leaders in a term, a key granted twice, and
// stale reads, under crashes, partitions, lossy networks, failing disks, lost disks and membership changes.
func TestHistoriesAreLinearizable(t *testing.T) {
	var mu sync.Mutex
	var next atomic.Uint64
	used, verdicts, total := map[string]int{}, map[string]int{}, 0
	const lanes = 8
	t.Run("lanes", func(t *testing.T) {
		for lane := range uint64(lanes) {
			t.Run(fmt.Sprint(lane), func(t *testing.T) {
				t.Parallel()
				for seed := next.Add(1) - 1; seed < histories; seed = next.Add(1) - 1 {
					s, n, h := runHistory(seed)
					h.verify(s)
					s.report(t, seed)
					mu.Lock()
					total += h.count(verdicts)
					used["snapshot sent"] += s.installs
					for name, k := range n.used {
						used[name] += k
					}
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("%d histories, %d operations, verdicts %v, faults %v", histories, total, verdicts, used)
	for _, name := range []string{
		"crash", "kill", "pause", "partition", "one-way partition", "split", "loss, repeats and reordering", "full disk",
		"failed sync", "flipped bit", "lost disk", "second VM lost right after the repair", "join", "leave",
		"snapshot sent",
	} {
		if used[name] == 0 {
			t.Errorf("no history had the fault %q", name)
		}
	}
	for _, v := range []replica.Verdict{
		replica.Accepted, replica.Rejected, replica.OutOfOrder, replica.Granted, replica.Held, replica.Done, replica.Stored,
	} {
		if verdicts[v.String()] == 0 {
			t.Errorf("no history had the verdict %v", v)
		}
	}
}

func (h *history) count(verdicts map[string]int) int {
	n := 0
	for _, ops := range append(slices.Collect(maps.Values(h.claims)), h.rules) {
		for _, op := range ops {
			n++
			switch in, out := op.Input.(input), op.Output.(output); {
			case out.unknown:
				verdicts["unknown"]++
			case in.kind == replica.None:
				verdicts["read"]++
			default:
				verdicts[out.verdict.String()]++
			}
		}
	}
	return n
}
