package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Size is how many members of one service a node knows.
//
// With 12 a straggler, a zone that is out and a few cold members still leave a choice, and a node
// holds at most 1,320 of 2,860 members at 110 services. A service of at most Size members is known whole.
const Size = 12

// shares of a subset that are taken from the node's own zone, and from the rest of its own region:
// a call within the zone costs no zone change, the remaining third keeps the service reachable.
const shares = 3

// Locality is where a node or a member runs.
type Locality struct {
	Zone   string
	Region string
}

// Member is one node that serves the service.
type Member struct {
	Node     string
	Locality Locality
}

// Pick returns the names of at most size members for a node, sorted; equal arguments give equal results.
//
// Members are ranked by a hash of both names, so that every node has its own order, the load is balanced,
// and a member that comes or goes changes at most one place of a subset. The order of members does not matter.
func Pick(node string, at Locality, members []Member, size int) []string {
	if size <= 0 {
		return nil
	}
	if len(members) <= size {
		return names(members)
	}
	ranked := rank(node, members)
	picked := make([]Member, 0, size)
	picked, ranked = take(picked, ranked, size/shares, func(m Member) bool { return m.Locality.Zone == at.Zone })
	picked, ranked = take(picked, ranked, size/shares, func(m Member) bool {
		return m.Locality.Region == at.Region && m.Locality.Zone != at.Zone
	})
	picked, ranked = take(picked, ranked, size-len(picked), func(Member) bool { return true })
	return names(spread(picked, ranked))
}

// rank sorts the members by the hash that the node gives them, best first.
func rank(node string, members []Member) []Member {
	type ranked struct {
		hash uint64
		at   int
	}
	buf := append(make([]byte, 0, 64), node...)
	buf = append(buf, 0)
	prefix := len(buf)
	order := make([]ranked, len(members))
	for i, m := range members {
		buf = append(buf[:prefix], m.Node...)
		order[i] = ranked{hash: xxhash.Sum64(buf), at: i}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(members[a.at].Node, members[b.at].Node))
	})
	out := make([]Member, len(members))
	for i, r := range order {
		out[i] = members[r.at]
	}
	return out
}

// take moves up to n members that match from ranked to picked.
func take(picked, ranked []Member, n int, match func(Member) bool) (with, rest []Member) {
	rest = ranked[:0]
	for _, m := range ranked {
		if n > 0 && match(m) {
			picked = append(picked, m)
			n--
			continue
		}
		rest = append(rest, m)
	}
	return picked, rest
}

// spread replaces the last member by one of another zone if all picked ones are in the same zone.
func spread(picked, rest []Member) []Member {
	zone := picked[0].Locality.Zone
	other := func(m Member) bool { return m.Locality.Zone != zone }
	if len(picked) < 2 || slices.ContainsFunc(picked, other) {
		return picked
	}
	if i := slices.IndexFunc(rest, other); i >= 0 {
		picked[len(picked)-1] = rest[i]
	}
	return picked
}

func names(members []Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Node
	}
	slices.Sort(out)
	return out
}
