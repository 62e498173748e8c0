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

// place spreads names over 14 zones in 5 regions, as at the target size.
func place(i int) subset.Locality {
	zone := i % 14
	return subset.Locality{Zone: fmt.Sprintf("z%02d", zone), Region: fmt.Sprintf("r%d", zone%5)}
}

func drawMembers(t *rapid.T) []subset.Member {
	ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 999), 0, 40, rapid.ID).Draw(t, "ids")
	zones := rapid.IntRange(1, 14).Draw(t, "zones")
	return lo.Map(ids, func(id, _ int) subset.Member {
		return subset.Member{Node: fmt.Sprintf("m%03d", id), Locality: place(id % zones)}
	})
}

func zones(members []subset.Member, picked []string) int {
	in := lo.Filter(members, func(m subset.Member, _ int) bool { return slices.Contains(picked, m.Node) })
	return len(lo.UniqBy(in, func(m subset.Member) string { return m.Locality.Zone }))
}

// Guards against a subset that is unbounded, depends on the order, misses members of a small service or stays in one zone.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		size := rapid.IntRange(2, 16).Draw(t, "size")
		at := place(rapid.IntRange(0, 13).Draw(t, "at"))
		got := subset.Pick("n", at, slices.Clone(members), size)
		if want := min(size, len(members)); len(got) != want || len(lo.Uniq(got)) != want {
			t.Fatalf("picked %v, want %d different members", got, want)
		}
		again := subset.Pick("n", at, rapid.Permutation(members).Draw(t, "order"), size)
		if !slices.Equal(got, again) {
			t.Fatalf("picked %v and %v from the same members", got, again)
		}
		all := lo.Map(members, func(m subset.Member, _ int) string { return m.Node })
		if have, can := zones(members, got), min(2, zones(members, all)); have < can {
			t.Fatalf("picked from %d zones, want %d", have, can)
		}
	})
}

// Guards against one member that comes or goes and changes most of a subset.
func TestPickMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		if len(members) == 0 {
			return
		}
		at := place(rapid.IntRange(0, 13).Draw(t, "at"))
		without := slices.Delete(slices.Clone(members), 0, 1)
		before := subset.Pick("n", at, members, subset.Size)
		after := subset.Pick("n", at, without, subset.Size)
		gone, added := lo.Difference(before, after)
		// One place changes; a second one if the last other zone went with the member.
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

// service returns the members of one service at the target size, which are themselves nodes.
func service(s int) []subset.Member {
	return lo.Times(benchMembers, func(i int) subset.Member {
		n := s*benchMembers + i
		return subset.Member{Node: fmt.Sprintf("node%04d", n), Locality: place(n)}
	})
}

// balance returns the largest number of nodes per member over the mean, over all services.
func balance(services [][]subset.Member) float64 {
	worst := 0.0
	for _, members := range services {
		load := map[string]int{}
		for n := range benchNodes {
			for _, m := range subset.Pick(fmt.Sprintf("node%04d", n), place(n), members, subset.Size) {
				load[m]++
			}
		}
		mean := float64(lo.Sum(lo.Values(load))) / float64(len(members))
		worst = max(worst, float64(slices.Max(lo.Values(load)))/mean)
	}
	return worst
}

// moved returns the subset places that change per node when one member is replaced by another.
func moved(old, members []subset.Member) float64 {
	n := 0
	for i := range benchNodes {
		name := fmt.Sprintf("node%04d", i)
		_, added := lo.Difference(subset.Pick(name, place(i), old, subset.Size), subset.Pick(name, place(i), members, subset.Size))
		n += len(added)
	}
	return float64(n) / benchNodes
}

// BenchmarkBalance reports the load and the moves at the target size while members come and go.
func BenchmarkBalance(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 0))
	for b.Loop() {
		services := lo.Times(benchServices, service)
		b.ReportMetric(balance(services), "max/mean")
		moves, changes := 0.0, 0
		for i := range 10 {
			s := rng.IntN(benchServices)
			next := slices.Clone(services[s])
			next[rng.IntN(benchMembers)] = subset.Member{Node: fmt.Sprintf("new%04d", i), Locality: place(rng.IntN(14))}
			moves += moved(services[s], next)
			services[s] = next
			changes++
		}
		b.ReportMetric(moves/float64(changes), "moved/node/replacement")
		b.ReportMetric(balance(services), "max/mean-after")
		zone := lo.Map(services, func(m []subset.Member, _ int) []subset.Member {
			return lo.Filter(m, func(m subset.Member, _ int) bool { return m.Locality.Zone != "z03" })
		})
		b.ReportMetric(balance(zone), "max/mean-zone-gone")
	}
}

// BenchmarkPick reports the cost of one subset.
func BenchmarkPick(b *testing.B) {
	members := service(7)
	b.ReportAllocs()
	for b.Loop() {
		subset.Pick("node0001", place(1), members, subset.Size)
	}
}
