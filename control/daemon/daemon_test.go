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

// text returns a valid rule file with the given change number.
func text(number uint64) string {
	return fmt.Sprintf("format 1\nchange %d # kari: test\nzone oslo-a region=oslo # ola: first site\n"+
		"service booking host=booking.example path=/ # kari: boats\n", number)
}

// free returns a loopback address that was free a moment ago.
//
// Nothing dials from 127.0.0.2: a dialer that gets the port of a stopped process as its own port on the same
// address would connect to itself.
func free(t testing.TB) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func single(t testing.TB) daemon.Settings {
	t.Helper()
	at := free(t)
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

// node runs a client that announces one back end.
func node(t testing.TB, name string, servers ...daemon.Settings) *client.Client {
	t.Helper()
	cfg := client.Config{Node: name, Zone: "oslo-a", Region: "oslo", Bind: netip.MustParseAddr("127.0.0.1")}
	for _, s := range servers {
		if s.TLS != nil {
			cfg.Dial = secured(t, *s.TLS)
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

// await waits until the state of a client fulfils a condition.
func await(t testing.TB, c *client.Client, what string, ok func(*follow.State) bool) *follow.State {
	t.Helper()
	limit := time.After(20 * time.Second)
	for {
		changed := c.Changed()
		if s := c.State(); ok(s) {
			return s
		}
		select {
		case <-changed:
		case <-limit:
			s := c.State()
			t.Fatalf("no %s: revision %d, %d members, confirmed %v", what, s.Revision, len(s.Members), s.Confirmed)
		}
	}
}

func accept(t testing.TB, d *daemon.Daemon, number uint64) replica.Result {
	t.Helper()
	res, err := d.SubmitRules(t.Context(), number, text(number))
	if err != nil || res.Verdict != replica.VerdictAccepted {
		t.Fatalf("change %d: %v %s %v", number, res.Verdict, res.Problem, err)
	}
	return res
}

// Guards against a change, a member or a claim that does not pass between node and control over real connections.
func TestNodeAndControl(t *testing.T) {
	s := single(t)
	d, stop := start(t, s)
	a, b := node(t, "a", s), node(t, "b", s)
	for number := uint64(1); number <= 3; number++ {
		res := accept(t, d, number)
		for _, c := range []*client.Client{a, b} {
			got := await(t, c, "change", func(s *follow.State) bool { return s.Revision >= res.Change.Revision && s.Confirmed })
			if got.RulesText != text(number) {
				t.Fatalf("text differs: %q", got.RulesText)
			}
		}
	}
	await(t, a, "members", func(s *follow.State) bool { return len(s.Members) == 2 })
	claim := &control.ClaimRequest{Service: "booking", Key: "k", Attempt: "a 1 1", Print: 7}
	for range 2 {
		got, err := a.Claim(t.Context(), claim)
		if err != nil || got.GetVerdict() != control.Verdict_VERDICT_GRANTED {
			t.Fatalf("claim: %v %v", got, err)
		}
	}
	stop()
	got := await(t, a, "loss of control", func(s *follow.State) bool { return !s.Confirmed })
	if !strings.Contains(got.RulesText, "change 3") || len(got.Members) != 2 {
		t.Fatalf("state was lost with the control process: %+v", got)
	}
}
