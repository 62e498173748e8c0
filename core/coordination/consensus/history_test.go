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

// historyCount is the number of seeded fault histories, as the targets on the design page require.
const historyCount = 2000

const (
	faultsFor    = 6 * time.Second
	checkTimeout = 30 * time.Second
)

// runHistory runs clients and faults on a group of three or five members in virtual time.
func runHistory(seed uint64) (s *sim, f *faultInjector, h *history) {
	return runFaults(newSim(seed, 3+2*int(seed%4/3)), faultsFor)
}

// runFaults runs clients and faults on a group for faultsFor, then waits until it has settled.
func runFaults(s *sim, faultsFor time.Duration) (_ *sim, f *faultInjector, h *history) {
	h = newHistory()
	f = &faultInjector{s: s, counts: map[string]int{}, secondLosses: 1, joinsLeft: 2, endAt: s.now.Add(faultsFor)}
	f.scheduleNext()
	for id := range 4 {
		c := &client{s: s, id: id, endAt: f.endAt, history: h}
		c.scheduleNext()
	}
	s.run(faultsFor, nil)
	s.run(20*time.Second, func() bool { return h.outstanding == 0 && f.replacing == nil })
	s.settle()
	if s.problem == "" {
		s.checkEqualState()
	}
	return s, f, h
}

func (h *history) checkLinearizable(s *sim) {
	s.checkLinearizable("rules", rulesModel, h.rules)
	for _, key := range slices.Sorted(maps.Keys(h.claims)) {
		s.checkLinearizable("claim "+key, claimModel, h.claims[key])
	}
}

func (s *sim) checkLinearizable(name string, model porcupine.Model, ops []porcupine.Operation) {
	switch porcupine.CheckOperationsTimeout(model, ops, checkTimeout) {
	case porcupine.Illegal:
		s.fail("history of %s is not linearizable: %+v", name, ops)
	case porcupine.Unknown:
		s.fail("linearizability of the history of %s with %d operations was not decided within %v", name, len(ops), checkTimeout)
	}
}

// Guards against losing an accepted change or claim, two leaders in a term, a key granted twice and stale reads under
// crashes, partitions, lossy networks, failing disks, lost disks and membership changes.
func TestHistoriesAreLinearizable(t *testing.T) {
	var mu sync.Mutex
	var nextSeed atomic.Uint64
	faults, verdicts, operations := map[string]int{}, map[string]int{}, 0
	const workers = 8
	t.Run("workers", func(t *testing.T) {
		for worker := range uint64(workers) {
			t.Run(fmt.Sprint(worker), func(t *testing.T) {
				t.Parallel()
				for seed := nextSeed.Add(1) - 1; seed < historyCount; seed = nextSeed.Add(1) - 1 {
					s, f, h := runHistory(seed)
					h.checkLinearizable(s)
					s.report(t, seed)
					mu.Lock()
					operations += h.countVerdicts(verdicts)
					faults["snapshot sent"] += s.snapshotsSent
					for name, k := range f.counts {
						faults[name] += k
					}
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("%d histories, %d operations, verdicts %v, faults %v", historyCount, operations, verdicts, faults)
	for _, name := range []string{
		"power loss", "process kill", "pause", "partition", "one-way partition", "random partition", "loss, repeats and reordering", "full disk",
		"failed sync", "flipped bit", "lost disk", "second VM lost right after the repair", "join", "leave",
		"snapshot sent",
	} {
		if faults[name] == 0 {
			t.Errorf("no history had the fault %q", name)
		}
	}
	for _, v := range []replica.Verdict{
		replica.VerdictAccepted, replica.VerdictRejected, replica.VerdictOutOfOrder, replica.VerdictGranted, replica.VerdictHeld, replica.VerdictDone, replica.VerdictStored,
	} {
		if verdicts[v.String()] == 0 {
			t.Errorf("no history had the verdict %v", v)
		}
	}
}

func (h *history) countVerdicts(verdicts map[string]int) int {
	n := 0
	for _, ops := range append(slices.Collect(maps.Values(h.claims)), h.rules) {
		for _, op := range ops {
			n++
			switch in, out := op.Input.(operation), op.Output.(observation); {
			case out.unknown:
				verdicts["unknown"]++
			case in.kind == replica.CommandNone:
				verdicts["read"]++
			default:
				verdicts[out.verdict.String()]++
			}
		}
	}
	return n
}
