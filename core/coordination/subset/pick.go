package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Size is the number of members of one service that a node knows; it knows all members of a service of at most this size.
//
// With 12, a node still has several members to choose from when one is slow, a zone is out and a few are in cold start. At 110
// services, a node holds at most 1,320 of 2,860 members.
const Size = 12

// localityDivisor divides a subset into shares: one is for the node's own zone, whose calls do not cross zones, one for the rest
// of its region, and the remaining third, from anywhere, keeps the service reachable.
const localityDivisor = 3

// Locality is the location of a node.
type Locality struct {
	Zone   string
	Region string
}

// Member is a node with a back end of the service.
type Member struct {
	Node     string
	Locality Locality
}

// Pick returns the sorted names of at most size members for a node; equal arguments give equal results.
//
// It uses rendezvous hashing: a hash of both names orders the members differently for each node. So the load is balanced, and a
// member that is added or removed changes one place of a subset, or two if it is the only one of a second zone. The order of
// members does not matter.
func Pick(node string, at Locality, members []Member, size int) []string {
	if size <= 0 {
		return nil
	}
	if len(members) <= size {
		return sortedNames(members)
	}
	remaining := sortByHash(node, members)
	picked := make([]Member, 0, size)
	picked, remaining = moveMatching(picked, remaining, size/localityDivisor, func(m Member) bool { return m.Locality.Zone == at.Zone })
	picked, remaining = moveMatching(picked, remaining, size/localityDivisor, func(m Member) bool {
		return m.Locality.Region == at.Region && m.Locality.Zone != at.Zone
	})
	picked, remaining = moveMatching(picked, remaining, size-len(picked), func(Member) bool { return true })
	return sortedNames(ensureSecondZone(picked, remaining))
}

// sortByHash returns the members in ascending order of the hash of the node and member names.
func sortByHash(node string, members []Member) []Member {
	type hashedMember struct {
		hash  uint64
		index int
	}
	buf := append(make([]byte, 0, 64), node...)
	buf = append(buf, 0)
	prefix := len(buf)
	order := make([]hashedMember, len(members))
	for i, m := range members {
		buf = append(buf[:prefix], m.Node...)
		order[i] = hashedMember{hash: xxhash.Sum64(buf), index: i}
	}
	slices.SortFunc(order, func(a, b hashedMember) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(members[a.index].Node, members[b.index].Node))
	})
	out := make([]Member, len(members))
	for i, h := range order {
		out[i] = members[h.index]
	}
	return out
}

// moveMatching moves up to n members that match from remaining to picked; it reuses the array of remaining.
func moveMatching(picked, remaining []Member, n int, match func(Member) bool) (newPicked, newRemaining []Member) {
	newRemaining = remaining[:0]
	for _, m := range remaining {
		if n > 0 && match(m) {
			picked = append(picked, m)
			n--
			continue
		}
		newRemaining = append(newRemaining, m)
	}
	return picked, newRemaining
}

// ensureSecondZone replaces the last picked member by one of another zone if all picked members are in the same zone.
func ensureSecondZone(picked, remaining []Member) []Member {
	zone := picked[0].Locality.Zone
	otherZone := func(m Member) bool { return m.Locality.Zone != zone }
	if len(picked) < 2 || slices.ContainsFunc(picked, otherZone) {
		return picked
	}
	if i := slices.IndexFunc(remaining, otherZone); i >= 0 {
		picked[len(picked)-1] = remaining[i]
	}
	return picked
}

func sortedNames(members []Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Node
	}
	slices.Sort(out)
	return out
}
