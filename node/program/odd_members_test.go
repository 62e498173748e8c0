package program_test

import (
	"math"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pollenhill.example/core/protocol/control"
)

// Guards against a member list with odd entries that ends a node or keeps it from following the list: the others must hold.
func TestOddMembersDoNotDisturbOthers(t *testing.T) {
	b := newRawBackend(t)
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
	node := startPoolNode(t, b)
	ctl, _ := node.control.(*fakeControl)
	rapid.Check(t, func(t *rapid.T) {
		backend := &control.Backend{
			Name:        rapid.SampledFrom([]string{"", "odd", "i-1", strings.Repeat("n", 5000)}).Draw(t, "name"),
			Service:     rapid.SampledFrom([]string{"", "desk", "other", "a b\n"}).Draw(t, "service"),
			Address:     rapid.SampledFrom([]string{"", "127.0.0.1:1", "127.0.0.1:65536", "x"}).Draw(t, "address"),
			Slots:       rapid.SampledFrom([]uint32{0, 1, math.MaxUint32}).Draw(t, "slots"),
			Connections: rapid.SampledFrom([]uint32{0, math.MaxUint32}).Draw(t, "connections"),
			State:       control.State(rapid.Int32Range(-2, 9).Draw(t, "state")),
			Start:       rapid.SampledFrom([]int64{math.MinInt64, 0, math.MaxInt64}).Draw(t, "start"),
		}
		ctl.Announce(&control.Member{
			Node:        rapid.SampledFrom([]string{"", "odd-1", "odd-2"}).Draw(t, "node"),
			Address:     rapid.SampledFrom([]string{"", "127.0.0.1:1", "127.0.0.1:65536", "[::1", "::"}).Draw(t, "peer"),
			Zone:        rapid.SampledFrom([]string{"", "a", "z"}).Draw(t, "zone"),
			Incarnation: rapid.SampledFrom([]uint64{0, 1, math.MaxUint64}).Draw(t, "incarnation"),
			Backends:    []*control.Backend{backend, nil, backend},
			Gone:        rapid.Bool().Draw(t, "gone"),
		})
	})
	ctl.mu.Lock()
	for name := range ctl.members {
		if name != "desk-node" {
			delete(ctl.members, name)
		}
	}
	ctl.mu.Unlock()
	ctl.Announce(&control.Member{Node: "last", Address: "127.0.0.1:1", Backends: []*control.Backend{{Name: "i-1", Service: "other", State: 77}}})
	eventually(t, "the node serves", func() bool {
		return sendRequest(t, node, "GET", "/read/1", "", nil).StatusCode == http.StatusOK
	})
	if got := node.fetchStatus().MemberCount; got != 2 {
		t.Errorf("the node knows %d members, want 2", got)
	}
}
