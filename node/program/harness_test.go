package program_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

const testRules = `format 1
change 1 # test: first rules
zone a region=r # test: one zone
service desk host=desk.example path=/ # test: one service
deadline desk 5s # test: room for slow machines
retry desk 50% # test: failures on purpose
`

// fakeControl is a ControlClient that keeps the members and claims in memory, as a control group of one process would.
type fakeControl struct {
	mu      sync.Mutex
	state   follow.State
	changed chan struct{}
	members map[string]*control.Member
	claims  map[string]*fakeClaim // by idempotency key
	ends    map[string]int64      // newest start that has ended, by instance ID
	endErr  error                 // of RecordEnd and EndOf
}

type fakeClaim struct {
	attempt     string // ID under which the key was claimed
	fingerprint uint64
	answer      *control.Answer // nil until the request is finished
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		state:   follow.State{Revision: 1, RulesText: testRules, Confirmed: true},
		changed: make(chan struct{}),
		members: map[string]*control.Member{},
		claims:  map[string]*fakeClaim{},
		ends:    map[string]int64{},
	}
}

func (ctl *fakeControl) Run(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }

func (ctl *fakeControl) Announce(m *control.Member) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.members[m.GetNode()] = m
	ctl.state.Members = nil
	for _, m := range ctl.members {
		ctl.state.Members = append(ctl.state.Members, m)
	}
	close(ctl.changed)
	ctl.changed = make(chan struct{})
}

// setRules makes nodes see a revision of the rules.
func (ctl *fakeControl) setRules(revision uint64, text string) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.state.Revision, ctl.state.RulesText = revision, text
	close(ctl.changed)
	ctl.changed = make(chan struct{})
}

func (ctl *fakeControl) State() *follow.State {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	s := ctl.state
	return &s
}

func (ctl *fakeControl) Changed() <-chan struct{} {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	return ctl.changed
}

func (ctl *fakeControl) OfferRules(uint64, string) {}

// ReportUsage returns the use of the node as the totals, as if there were no other.
func (ctl *fakeControl) ReportUsage(_ context.Context, req *control.UsageRequest) (*control.UsageResponse, error) {
	return &control.UsageResponse{Current: true, Nodes: 1, Accounts: req.GetAccounts()}, nil
}

// Observe drops the observation; package rollout of the control module tests what follows from them.
func (ctl *fakeControl) Observe(context.Context, *control.Observation) error { return nil }

func (ctl *fakeControl) Claim(_ context.Context, r *control.ClaimRequest) (*control.ClaimResponse, error) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	c, ok := ctl.claims[r.GetKey()]
	switch {
	case !ok:
		ctl.claims[r.GetKey()] = &fakeClaim{attempt: r.GetAttempt(), fingerprint: r.GetPrint()}
	case c.fingerprint != r.GetPrint():
		return &control.ClaimResponse{Verdict: control.Verdict_VERDICT_MISMATCH}, nil
	case c.answer != nil:
		return &control.ClaimResponse{Verdict: control.Verdict_VERDICT_DONE, Answer: c.answer}, nil
	case c.attempt != r.GetAttempt():
		return &control.ClaimResponse{Verdict: control.Verdict_VERDICT_HELD}, nil
	}
	return &control.ClaimResponse{Verdict: control.Verdict_VERDICT_GRANTED}, nil
}

func (ctl *fakeControl) Finish(_ context.Context, r *control.FinishRequest) error {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if c, ok := ctl.claims[r.GetKey()]; ok && c.attempt == r.GetAttempt() {
		c.answer = r.GetAnswer()
	}
	return nil
}

func (ctl *fakeControl) Release(_ context.Context, r *control.ReleaseRequest) error {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if c, ok := ctl.claims[r.GetKey()]; ok && c.attempt == r.GetAttempt() && c.answer == nil {
		delete(ctl.claims, r.GetKey())
	}
	return nil
}

func (ctl *fakeControl) RecordEnd(_ context.Context, id string, startMillis int64) error {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if ctl.endErr == nil {
		ctl.ends[id] = startMillis
	}
	return ctl.endErr
}

// setEndErr sets the error of RecordEnd and EndOf.
func (ctl *fakeControl) setEndErr(err error) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.endErr = err
}

func (ctl *fakeControl) EndOf(_ context.Context, id string) (int64, bool, error) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	start, ended := ctl.ends[id]
	return start, ended, ctl.endErr
}

// testNode is a node that runs in the test process.
type testNode struct {
	settings program.Settings
	control  program.ControlClient
	stop     context.CancelFunc
	done     chan error // result of Run; it stays in the channel
	backend  *fakeBackend
}

// ipCounter is the number of loopback IP addresses that nodes of this process have got.
var ipCounter atomic.Uint32

// Ports of the nodes are below the range of ephemeral ports. Otherwise an outgoing connection can take a port between its
// choice and its use, which has happened.
const (
	firstPort = 10_000
	portCount = 20_000
)

// portCounter is the number of ports that freeAddress has tried.
var portCounter atomic.Uint32

// freeAddress returns an address with a free port that it returns to no other caller in this process.
func freeAddress(t testing.TB, ip netip.Addr) netip.AddrPort {
	t.Helper()
	for range portCount {
		port := firstPort + (uint32(os.Getpid())*97+portCounter.Add(1))%portCount
		a := netip.AddrPortFrom(ip, uint16(port))
		if ln, err := net.Listen("tcp", a.String()); err == nil {
			ln.Close()
			return a
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// testSettings returns the settings of a node in zone a with an IP address of its own; it uses TLS if there is an issuer.
func testSettings(t testing.TB, name string, issuers ...tlsIssuer) program.Settings {
	n := ipCounter.Add(1)
	ip := netip.AddrFrom4([4]byte{127, 77, byte(n >> 8), byte(n)})
	return program.Settings{
		Name: name, Zone: "a", Region: "r", Bind: ip,
		CallerAddress: freeAddress(t, ip), PeerAddress: freeAddress(t, ip), LocalAddress: freeAddress(t, ip),
		Limits: program.Limits{ListenerCloseDelay: settings.Duration(20 * time.Millisecond)},
		TLS:    tlsConfig(name, issuers),
	}
}

// startNode runs a node until the test ends and returns once its local listener answers.
func startNode(t testing.TB, ctl program.ControlClient, cfg program.Settings) *testNode {
	t.Helper()
	clock := event.NewClock(time.Now)
	log := event.New(event.Config{Process: cfg.Name, Logger: zap.NewNop(), Clock: clock})
	n, err := program.New(program.Config{Settings: cfg, ControlClient: ctl, Events: log})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	node := &testNode{settings: cfg, control: ctl, stop: stop, done: make(chan error, 1)}
	go func() { node.done <- n.Run(ctx) }()
	t.Cleanup(func() { node.stopAndWait(t) })
	eventually(t, cfg.Name+" serves its status", func() bool { return node.fetchStatus().Name == cfg.Name })
	return node
}

// stopAndWait stops the node as SIGTERM does and waits until Run returns.
func (node *testNode) stopAndWait(t testing.TB) {
	node.stop()
	select {
	case err := <-node.done:
		node.done <- err
		if err != nil {
			t.Errorf("node %s: %v", node.settings.Name, err)
		}
	case <-time.After(time.Minute):
		t.Errorf("node %s does not stop", node.settings.Name)
	}
}

// fetchMetrics returns the text of GET /metrics.
func (node *testNode) fetchMetrics(t testing.TB) string {
	t.Helper()
	resp, err := http.Get("http://" + node.settings.LocalAddress.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// fetchStatus returns the status that the local listener serves, or the zero value if the request fails.
func (node *testNode) fetchStatus() program.Status {
	var s program.Status
	resp, err := http.Get("http://" + node.settings.LocalAddress.String() + "/status")
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
}

// announce announces f once as the back end of the node.
func (node *testNode) announce(t testing.TB, f *fakeBackend, name, state string) {
	t.Helper()
	body := fmt.Sprintf(`{"name":%q,"service":"desk","address":%q,"slots":50,"connections":60,"zone":"a","state":%q}`,
		name, f.address(), state)
	resp, err := http.Post("http://"+node.settings.LocalAddress.String()+"/announce", "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("announce: status %d", resp.StatusCode)
	}
	node.backend = f
}

// keepAnnounced announces f and renews its lease until the test ends.
func (node *testNode) keepAnnounced(t testing.TB, f *fakeBackend, name string) {
	node.announce(t, f, name, "ready")
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
				if resp, err := http.Post("http://"+node.settings.LocalAddress.String()+"/announce", "application/json", bytes.NewReader([]byte(body))); err == nil {
					resp.Body.Close()
				}
			case <-stop:
				return
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
}

// eventually waits until ok returns true, and fails the test after 20 s.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	end := time.After(20 * time.Second)
	for !ok() {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// replaceAnswer replaces the recorded response of a key; false means that none is recorded.
func (ctl *fakeControl) replaceAnswer(key string, a *control.Answer) bool {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	c := ctl.claims[key]
	if c == nil || c.answer == nil {
		return false
	}
	c.answer = a
	return true
}
