package program_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/node/protocol/loadreport"
)

// Guards against a node that subscribes to the load of services which it does not call: at the target size their
// reports would cost more than control may.
func TestOnlyCalledServicesAreFollowed(t *testing.T) {
	g := newGroup()
	g.state.RulesText, g.state.Revision = poolRules, 2
	var peers []*net.UDPConn
	for _, service := range []string{"desk", "other"} {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		peers = append(peers, c)
		g.Announce(&control.Member{
			Node: service + "-node", Address: "127.0.0.1:1", Zone: "a", Region: "r", Incarnation: 1, Hints: c.LocalAddr().String(),
			Backends: []*control.Backend{{Name: service + "-1", Service: service, Address: "127.0.0.1:2", Slots: 4, State: control.State_STATE_READY}},
		})
	}
	cfg := config(t, "caller-node")
	cfg.HintsAddress = netip.AddrPortFrom(cfg.Bind, address(t, cfg.Bind).Port())
	v := start(t, g, cfg)
	send(t, v, "GET", "/read/1", "", nil) // nothing listens at the member; the call itself is what counts
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
	// The subscriptions of one renewal go out together, so that one for the other service would be here already.
	if err := peers[1].SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, _, err := peers[1].ReadFromUDPAddrPort(buf); err == nil {
		t.Errorf("%d bytes for a service that is not called", n)
	}
}
