package program_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/settings"
	"pollenhill.example/node/program"
)

const rules = `format 1
change 1 # test: first rules
zone a region=r # test: one zone
service desk host=desk.example path=/ # test: one service
deadline desk 5s # test: room for slow machines
retry desk 50% # test: failures on purpose
`

// group is a control group of one process in memory.
type group struct {
	mu      sync.Mutex
	state   follow.State
	changed chan struct{}
	members map[string]*control.Member
	claims  map[string]*claim
}

type claim struct {
	attempt string
	print   uint64
	answer  *control.Answer
}

func newGroup() *group {
	return &group{
		state:   follow.State{Revision: 1, RulesText: rules, Confirmed: true},
		changed: make(chan struct{}),
		members: map[string]*control.Member{},
		claims:  map[string]*claim{},
	}
}

func (g *group) Run(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }

func (g *group) Announce(m *control.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[m.GetNode()] = m
	g.state.Members = nil
	for _, m := range g.members {
		g.state.Members = append(g.state.Members, m)
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *group) State() *follow.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state
	return &s
}

func (g *group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *group) OfferRules(uint64, string) {}

func (g *group) Claim(_ context.Context, r *control.ClaimRequest) (*control.ClaimResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.claims[r.GetKey()]
	switch {
	case !ok:
		g.claims[r.GetKey()] = &claim{attempt: r.GetAttempt(), print: r.GetPrint()}
	case c.print != r.GetPrint():
		return &control.ClaimResponse{Verdict: control.Verdict_VERDICT_MISMATCH}, nil
	case c.answer != nil:
		return &control.ClaimResponse{Verdict: control.Verdict_VERDICT_DONE, Answer: c.answer}, nil
	case c.attempt != r.GetAttempt():
		return &control.ClaimResponse{Verdict: control.Verdict_VERDICT_HELD}, nil
	}
	return &control.ClaimResponse{Verdict: control.Verdict_VERDICT_GRANTED}, nil
}

func (g *group) Finish(_ context.Context, r *control.FinishRequest) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := g.claims[r.GetKey()]; ok && c.attempt == r.GetAttempt() {
		c.answer = r.GetAnswer()
	}
	return nil
}

func (g *group) Release(_ context.Context, r *control.ReleaseRequest) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := g.claims[r.GetKey()]; ok && c.attempt == r.GetAttempt() && c.answer == nil {
		delete(g.claims, r.GetKey())
	}
	return nil
}

// vm is one node in this process with its back end.
type vm struct {
	settings program.Settings
	stop     context.CancelFunc
	done     chan error
	backend  *fake
}

var lastIP atomic.Uint32

// Ports of the nodes lie below the range from which outgoing connections take theirs: one of those once took a port
// between its choice and its use.
const (
	firstPort = 10_000
	portCount = 20_000
)

var lastPort atomic.Uint32

// address returns a free loopback address that no other node of this process gets.
func address(t testing.TB, ip netip.Addr) netip.AddrPort {
	t.Helper()
	for range portCount {
		port := firstPort + (uint32(os.Getpid())*97+lastPort.Add(1))%portCount
		a := netip.AddrPortFrom(ip, uint16(port))
		if ln, err := net.Listen("tcp", a.String()); err == nil {
			ln.Close()
			return a
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

func config(t testing.TB, name string, files ...issue) program.Settings {
	n := lastIP.Add(1)
	ip := netip.AddrFrom4([4]byte{127, 77, byte(n >> 8), byte(n)})
	return program.Settings{
		Name: name, Zone: "a", Region: "r", Bind: ip,
		CallerAddress: address(t, ip), PeerAddress: address(t, ip), LocalAddress: address(t, ip),
		Limits: program.Limits{ListenerCloseDelay: settings.Duration(20 * time.Millisecond)},
		TLS:    tlsFiles(name, files),
	}
}

func start(t testing.TB, g program.ControlClient, cfg program.Settings) *vm {
	t.Helper()
	clock := event.NewClock(time.Now)
	log := event.New(event.Config{Process: cfg.Name, Logger: zap.NewNop(), Clock: clock})
	p, err := program.New(program.Config{Settings: cfg, ControlClient: g, Events: log})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{settings: cfg, stop: stop, done: make(chan error, 1)}
	go func() { v.done <- p.Run(ctx) }()
	t.Cleanup(func() { v.end(t) })
	eventually(t, "status of "+cfg.Name, func() bool { return v.status().Name == cfg.Name })
	return v
}

// end stops the node as SIGTERM does.
func (v *vm) end(t testing.TB) {
	v.stop()
	select {
	case err := <-v.done:
		v.done <- err
		if err != nil {
			t.Errorf("node %s: %v", v.settings.Name, err)
		}
	case <-time.After(time.Minute):
		t.Errorf("node %s does not end", v.settings.Name)
	}
}

func (v *vm) status() program.Status {
	var s program.Status
	resp, err := http.Get("http://" + v.settings.LocalAddress.String() + "/status")
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
}

// announce says once that f is the back end of the node.
func (v *vm) announce(t testing.TB, f *fake, name, state string) {
	t.Helper()
	body := fmt.Sprintf(`{"name":%q,"service":"desk","address":%q,"slots":50,"connections":60,"zone":"a","state":%q}`,
		name, f.address(), state)
	resp, err := http.Post("http://"+v.settings.LocalAddress.String()+"/announce", "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("announce: status %d", resp.StatusCode)
	}
	v.backend = f
}

// keep renews the lease until the test ends.
func (v *vm) keep(t testing.TB, f *fake, name string) {
	v.announce(t, f, name, "ready")
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				body := fmt.Sprintf(`{"name":%q,"service":"desk","address":%q,"slots":50,"connections":60,"zone":"a","state":"ready"}`,
					name, f.address())
				if resp, err := http.Post("http://"+v.settings.LocalAddress.String()+"/announce", "application/json", bytes.NewReader([]byte(body))); err == nil {
					resp.Body.Close()
				}
			case <-stop:
				return
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
}

// eventually waits for a condition that another goroutine brings about; it fails the test after a generous bound.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	end := time.After(20 * time.Second)
	for !ok() {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("never: %s", what)
		}
	}
}
