package program_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/node/protocol/loadreport"
)

// Guards against a node that subscribes to load reports of services that it does not call. At the target size these reports
// would exceed the budget for control traffic.
func TestOnlyCalledServicesAreSubscribed(t *testing.T) {
	ctl := newFakeControl()
	ctl.state.RulesText, ctl.state.Revision = poolRules, 2
	var peers []*net.UDPConn
	for _, service := range []string{"desk", "other"} {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		peers = append(peers, c)
		ctl.Announce(&control.Member{
			Node: service + "-node", Address: "127.0.0.1:1", Zone: "a", Region: "r", Incarnation: 1, Hints: c.LocalAddr().String(),
			Backends: []*control.Backend{{Name: service + "-1", Service: service, Address: "127.0.0.1:2", Slots: 4, State: control.State_STATE_READY}},
		})
	}
	cfg := testSettings(t, "caller-node")
	cfg.HintsAddress = netip.AddrPortFrom(cfg.Bind, freeAddress(t, cfg.Bind).Port())
	node := startNode(t, ctl, cfg)
	eventually(t, "the rules are in force", func() bool { return node.fetchStatus().Rules.Revision == 2 })
	sendRequest(t, node, "GET", "/read/1", "", nil) // no member has a peer listener; the start of the call is enough
	buf := make([]byte, 1500)
	if err := peers[0].SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	n, _, err := peers[0].ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal("no subscription for the service that is called:", err)
	}
	if msg, err := loadreport.Decode(buf[:n]); err != nil || msg.Node != "caller-node" || msg.Backend != "" {
		t.Errorf("got %+v, %v", msg, err)
	}
	// All subscriptions are sent together, so that one for the other service would have arrived.
	if err := peers[1].SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, _, err := peers[1].ReadFromUDPAddrPort(buf); err == nil {
		t.Errorf("%d bytes for a service that is not called", n)
	}
}
