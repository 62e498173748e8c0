package raftgroup_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pollenhill.example/core/state/replica"
)

// rotationSeeds is the number of seeds for each size of the group.
const rotationSeeds = 5

// Guards against a group that accepts no changes any more after the disks of its members were full for a few seconds each, one
// after another and never two at once.
func TestGroupOutlastsFullDisksInTurn(t *testing.T) {
	for _, group := range []struct{ size, voters int }{{3, 3}, {5, 3}, {5, 5}, {7, 5}} {
		for seed := range uint64(rotationSeeds) {
			t.Run(fmt.Sprintf("%d members, %d voters, seed %d", group.size, group.voters, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { fillDisksInTurn(t, group.size, group.voters, rand.New(rand.NewPCG(seed, 40))) })
			})
		}
	}
}

func fillDisksInTurn(t *testing.T, size, voters int, r *rand.Rand) {
	c := newDynamicCluster(t, size, voters)
	defer c.close()
	c.submitChange(c.waitLeader(), 1)
	changes := &changeWriter{cluster: c, rand: r, last: 1}
	for range 2 {
		for _, i := range r.Perm(size) {
			d := c.disks[c.peers[i].Name]
			d.LimitSpace(r.IntN(2) * r.IntN(200))
			changes.writeFor(time.Duration(1000+r.IntN(5000)) * time.Millisecond)
			d.LimitSpace(-1)
			changes.writeFor(time.Duration(r.IntN(2000)) * time.Millisecond)
		}
	}
	<-time.After(20 * time.Second)
	for _, p := range c.peers {
		if res := c.submitChange(p.Name, changes.next()); res.Verdict != replica.VerdictAccepted {
			t.Errorf("%s: %v after the last disk had space again", p.Name, res.Verdict)
		}
	}
	c.assertEqualState()
}

// changeWriter submits changes at random members.
type changeWriter struct {
	cluster *cluster
	rand    *rand.Rand
	last    uint64
}

func (w *changeWriter) next() uint64 {
	w.last++
	return w.last
}

// writeFor submits changes for a time; those without a result are submitted again.
func (w *changeWriter) writeFor(d time.Duration) {
	end := time.Now().Add(d)
	for number := w.next(); time.Now().Before(end); {
		name := w.cluster.peers[w.rand.IntN(len(w.cluster.peers))].Name
		ctx, cancel := context.WithTimeout(w.cluster.t.Context(), time.Second)
		cmd := replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: number, Text: fmt.Sprintf("text %d", number), Origin: "w"}
		res, err := w.cluster.group(name).Propose(ctx, cmd)
		cancel()
		if err == nil && res.Verdict != replica.VerdictAccepted {
			w.cluster.t.Fatalf("change %d: %v", number, res.Verdict)
		}
		if err == nil {
			number = w.next()
		}
		<-time.After(50 * time.Millisecond)
	}
	w.last--
}
