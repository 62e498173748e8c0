package subset_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"pollenhill.example/core/coordination/subset"
)

// localityOf spreads nodes over 14 zones in 5 regions, as at the target size.
func localityOf(i int) subset.Locality {
	zone := i % 14
	return subset.Locality{Zone: fmt.Sprintf("z%02d", zone), Region: fmt.Sprintf("r%d", zone%5)}
}

func drawMembers(t *rapid.T) []subset.Member {
	ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 999), 0, 40, rapid.ID).Draw(t, "ids")
	zones := rapid.IntRange(1, 14).Draw(t, "zones")
	return lo.Map(ids, func(id, _ int) subset.Member {
		return subset.Member{Node: fmt.Sprintf("m%03d", id), Locality: localityOf(id % zones)}
	})
}

func zoneCount(members []subset.Member, picked []string) int {
	in := lo.Filter(members, func(m subset.Member, _ int) bool { return slices.Contains(picked, m.Node) })
	return len(lo.UniqBy(in, func(m subset.Member) string { return m.Locality.Zone }))
}

// Guards against a subset that exceeds its size, depends on the order of the members, omits members of a small service or stays in
// one zone.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		size := rapid.IntRange(2, 16).Draw(t, "size")
		at := localityOf(rapid.IntRange(0, 13).Draw(t, "at"))
		got := subset.Pick("n", at, slices.Clone(members), size)
		if want := min(size, len(members)); len(got) != want || len(lo.Uniq(got)) != want {
			t.Fatalf("picked %v, want %d different members", got, want)
		}
		again := subset.Pick("n", at, rapid.Permutation(members).Draw(t, "order"), size)
		if !slices.Equal(got, again) {
			t.Fatalf("picked %v and %v from the same members", got, again)
		}
		all := lo.Map(members, func(m subset.Member, _ int) string { return m.Node })
		if count, want := zoneCount(members, got), min(2, zoneCount(members, all)); count < want {
			t.Fatalf("picked from %d zones, want %d", count, want)
		}
	})
}

// Guards against large changes of a subset when one member is added or removed.
func TestPickIsStableUnderMemberChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		if len(members) == 0 {
			return
		}
		at := localityOf(rapid.IntRange(0, 13).Draw(t, "at"))
		without := slices.Delete(slices.Clone(members), 0, 1)
		before := subset.Pick("n", at, members, subset.Size)
		after := subset.Pick("n", at, without, subset.Size)
		gone, added := lo.Difference(before, after)
		// A second place changes if the removed member was the last one of a second zone.
		if len(gone) > 2 || len(added) > 2 {
			t.Fatalf("without %s: gone %v, added %v", members[0].Node, gone, added)
		}
	})
}

const (
	benchNodes    = 2900
	benchServices = 110
	benchMembers  = 26
)

// serviceMembers returns the members of one service at the target size, which are themselves nodes.
func serviceMembers(s int) []subset.Member {
	return lo.Times(benchMembers, func(i int) subset.Member {
		n := s*benchMembers + i
		return subset.Member{Node: fmt.Sprintf("node%04d", n), Locality: localityOf(n)}
	})
}

// maxOverMeanLoad returns the largest number of nodes per member over the mean, over all services.
func maxOverMeanLoad(services [][]subset.Member) float64 {
	worst := 0.0
	for _, members := range services {
		load := map[string]int{}
		for n := range benchNodes {
			for _, m := range subset.Pick(fmt.Sprintf("node%04d", n), localityOf(n), members, subset.Size) {
				load[m]++
			}
		}
		mean := float64(lo.Sum(lo.Values(load))) / float64(len(members))
		worst = max(worst, float64(slices.Max(lo.Values(load)))/mean)
	}
	return worst
}

// changesPerNode returns the mean number of subset places that change per node when one member is replaced by another.
func changesPerNode(old, members []subset.Member) float64 {
	changed := 0
	for i := range benchNodes {
		name := fmt.Sprintf("node%04d", i)
		_, added := lo.Difference(subset.Pick(name, localityOf(i), old, subset.Size), subset.Pick(name, localityOf(i), members, subset.Size))
		changed += len(added)
	}
	return float64(changed) / benchNodes
}

// BenchmarkBalance reports the load per member and the changed places at the target size while members are replaced.
func BenchmarkBalance(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 0))
	for b.Loop() {
		services := lo.Times(benchServices, serviceMembers)
		b.ReportMetric(maxOverMeanLoad(services), "max/mean")
		moves, changes := 0.0, 0
		for i := range 10 {
			s := rng.IntN(benchServices)
			next := slices.Clone(services[s])
			next[rng.IntN(benchMembers)] = subset.Member{Node: fmt.Sprintf("new%04d", i), Locality: localityOf(rng.IntN(14))}
			moves += changesPerNode(services[s], next)
			services[s] = next
			changes++
		}
		b.ReportMetric(moves/float64(changes), "moved/node/replacement")
		b.ReportMetric(maxOverMeanLoad(services), "max/mean-after")
		withoutZone := lo.Map(services, func(m []subset.Member, _ int) []subset.Member {
			return lo.Filter(m, func(m subset.Member, _ int) bool { return m.Locality.Zone != "z03" })
		})
		b.ReportMetric(maxOverMeanLoad(withoutZone), "max/mean-zone-gone")
	}
}

// BenchmarkPick measures the time and allocations to pick one subset.
func BenchmarkPick(b *testing.B) {
	members := serviceMembers(7)
	b.ReportAllocs()
	for b.Loop() {
		subset.Pick("node0001", localityOf(1), members, subset.Size)
	}
}
