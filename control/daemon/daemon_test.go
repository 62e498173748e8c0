package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pollenhill.example/control/daemon"
	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/replica"
	client "pollenhill.example/node/transport/control"
)

// ruleText returns a valid rule file with the given change number.
func ruleText(number uint64) string {
	return fmt.Sprintf("format 1\nchange %d # kari: test\nzone oslo-a region=oslo # ola: first site\n"+
		"service booking host=booking.example path=/ # kari: boats\n", number)
}

// freeAddress returns a loopback address with a port that was free just before.
//
// The address is 127.0.0.2, from which nothing dials: a dialer whose source address and port were those of a stopped
// process would connect to itself.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// singleSettings returns the settings of a group of one control process.
func singleSettings(t testing.TB) daemon.Settings {
	t.Helper()
	at := freeAddress(t)
	return daemon.Settings{
		Name: "c1", Zone: "oslo-a", Region: "oslo", Listen: at, Bind: netip.MustParseAddr("127.0.0.1"), DataDir: t.TempDir(),
		Peers:     []daemon.Peer{{Name: "c1", Address: at, Region: "oslo"}},
		EventFile: t.TempDir() + "/events",
	}
}

// start runs a daemon until the test ends or stop is called.
func start(t testing.TB, s daemon.Settings) (d *daemon.Daemon, stop func()) {
	t.Helper()
	d, err := daemon.New(s)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	ended := false
	stop = func() {
		cancel()
		if ended {
			return
		}
		ended = true
		if err := <-done; err != nil {
			t.Errorf("run: %v", err)
		}
	}
	t.Cleanup(stop)
	return d, stop
}

// startClient runs the control client of a node, which announces one back end, until the test ends.
func startClient(t testing.TB, name string, servers ...daemon.Settings) *client.Client {
	t.Helper()
	cfg := client.Config{Node: name, Zone: "oslo-a", Region: "oslo", Bind: netip.MustParseAddr("127.0.0.1")}
	for _, s := range servers {
		if s.TLS != nil {
			cfg.Dial = tlsDialer(t, *s.TLS)
		}
		cfg.Servers = append(cfg.Servers, client.Server{Name: s.Name, Address: s.Listen, Region: s.Region})
	}
	c := client.New(cfg)
	c.Announce(&control.Member{
		Node: name, Address: "127.0.0.1:1", Zone: "oslo-a", Region: "oslo", Incarnation: 1,
		Backends: []*control.Backend{{Name: name + "-b", Service: "booking", State: control.State_STATE_READY}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

// awaitState waits until the state of a client satisfies ok and returns it; what names the condition.
func awaitState(t testing.TB, c *client.Client, what string, ok func(*follow.State) bool) *follow.State {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		changed := c.Changed()
		if s := c.State(); ok(s) {
			return s
		}
		select {
		case <-changed:
		case <-timeout:
			s := c.State()
			t.Fatalf("no %s: revision %d, %d members, confirmed %v", what, s.Revision, len(s.Members), s.Confirmed)
		}
	}
}

// submitAccepted submits a change that must be accepted.
func submitAccepted(t testing.TB, d *daemon.Daemon, number uint64) replica.Result {
	t.Helper()
	res, err := d.SubmitRules(t.Context(), number, ruleText(number))
	if err != nil || res.Verdict != replica.VerdictAccepted {
		t.Fatalf("change %d: %v %s %v", number, res.Verdict, res.Problem, err)
	}
	return res
}

// Guards against changes, members or claims that are not exchanged between nodes and a control process over real
// connections, and against a node that loses its state when the control process stops.
func TestNodeAndControl(t *testing.T) {
	s := singleSettings(t)
	d, stop := start(t, s)
	a, b := startClient(t, "a", s), startClient(t, "b", s)
	for number := uint64(1); number <= 3; number++ {
		res := submitAccepted(t, d, number)
		for _, c := range []*client.Client{a, b} {
			got := awaitState(t, c, "change", func(s *follow.State) bool { return s.Revision >= res.Change.Revision && s.Confirmed })
			if got.RulesText != ruleText(number) {
				t.Fatalf("text differs: %q", got.RulesText)
			}
		}
	}
	awaitState(t, a, "members", func(s *follow.State) bool { return len(s.Members) == 2 })
	claim := &control.ClaimRequest{Service: "booking", Key: "k", Attempt: "a 1 1", Print: 7}
	for range 2 {
		got, err := a.Claim(t.Context(), claim)
		if err != nil || got.GetVerdict() != control.Verdict_VERDICT_GRANTED {
			t.Fatalf("claim: %v %v", got, err)
		}
	}
	stop()
	got := awaitState(t, a, "loss of control", func(s *follow.State) bool { return !s.Confirmed })
	if !strings.Contains(got.RulesText, "change 3") || len(got.Members) != 2 {
		t.Fatalf("the node lost its state when the control process stopped: %+v", got)
	}
}
