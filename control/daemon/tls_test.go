package daemon_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"pollenhill.example/control/daemon"
	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/control/controlconnect"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/settings"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/mtls/mtlstest"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/program"
	client "pollenhill.example/node/transport/control"
)

type dial = func(ctx context.Context, network, address string) (net.Conn, error)

<<<<<<< HEAD
// Processes dial from loopback; free hands out addresses of listening.
var loopback, listening = net.IPv4(127, 0, 0, 1), net.IPv4(127, 0, 0, 2)
=======
// addresses are those that processes of these tests listen on and dial from.
var addresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv4(127, 0, 0, 2)}
>>>>>>> security

// secured returns the dialer of a process with valid files.
func secured(t testing.TB, cfg mtls.Config) dial {
	t.Helper()
	source, err := mtls.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return source.Dialer(tcp.Dialer{Timeout: time.Second}).DialContext
}

// process returns the files of a process, valid for an hour.
func process(t testing.TB, a mtlstest.Authority, name string) *mtls.Config {
	t.Helper()
<<<<<<< HEAD
	cfg := a.Issue(t, t.TempDir(), name, time.Now().Add(time.Hour), loopback, listening)
=======
	cfg := a.Issue(t, t.TempDir(), name, time.Now().Add(time.Hour), addresses...)
>>>>>>> security
	return &cfg
}

// raw dials TLS without a check of the server and speaks the given protocol; certificates may be empty.
func raw(protocol string, certificates ...tls.Certificate) dial {
	d := tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocol}, Certificates: certificates}}
	return d.DialContext
}

func pair(t testing.TB, cfg mtls.Config) tls.Certificate {
	t.Helper()
	c, err := tls.LoadX509KeyPair(cfg.Cert, cfg.Key)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// access is one way to reach a port.
type access struct {
	name   string
	dial   dial
	served bool
}

// accesses returns every way to reach the ports of processes that trust an authority.
func accesses(t testing.TB, ours mtlstest.Authority, protocol string) []access {
	t.Helper()
	expired := ours.Issue(t, t.TempDir(), "expired", time.Now().Add(-time.Minute), addresses...)
	return []access{
		{"good", raw(protocol, pair(t, *process(t, ours, "good"))), true},
		{"other authority", raw(protocol, pair(t, *process(t, mtlstest.New(t), "other"))), false},
		{"no certificate", raw(protocol), false},
		{"expired", raw(protocol, pair(t, expired)), false},
		{"plain", (&net.Dialer{}).DialContext, false},
	}
}

// Guards against a process that joins, announces, watches, reads or forwards without a certificate of the authority.
func TestControlServesMembersOnly(t *testing.T) {
	ours := mtlstest.New(t)
	s := single(t)
	s.TLS = process(t, ours, "c1")
	d, _ := start(t, s)
	accept(t, d, 1)
	intruder := &control.Member{Node: "intruder", Address: "127.0.0.1:1", Zone: "oslo-a", Region: "oslo", Incarnation: 1}
	for _, a := range accesses(t, ours, mtls.HTTP2) {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{DialContext: a.dial, Protocols: protocols}
		t.Cleanup(transport.CloseIdleConnections)
		url := "http://" + s.Listen.String()
		c := controlconnect.NewControlClient(&http.Client{Transport: transport}, url)
		p := controlconnect.NewPeerClient(&http.Client{Transport: transport}, url)
		calls := []struct {
			name string
			call func(ctx context.Context) error
		}{
			{"announce", func(ctx context.Context) error {
				m := intruder
				if a.served {
					m = nil
				}
				return second(c.Announce(ctx, connect.NewRequest(&control.AnnounceRequest{Member: m})))
			}},
			{"watch", func(ctx context.Context) error {
				in, err := c.Watch(ctx, connect.NewRequest(&control.WatchRequest{Node: "intruder", Zone: "oslo-a", Region: "oslo"}))
				if err != nil {
					return err
				}
				defer in.Close()
				if in.Receive() {
					return nil
				}
				return in.Err()
			}},
			{"claim", func(ctx context.Context) error {
				return second(c.Claim(ctx, connect.NewRequest(&control.ClaimRequest{Service: "booking", Key: a.name, Attempt: "i 1 1", Print: 1})))
			}},
			{"finish", func(ctx context.Context) error {
				return second(c.Finish(ctx, connect.NewRequest(&control.FinishRequest{Service: "booking", Key: a.name, Attempt: "i 1 1", Answer: &control.Answer{}})))
			}},
			{"release", func(ctx context.Context) error {
				return second(c.Release(ctx, connect.NewRequest(&control.ReleaseRequest{Service: "booking", Key: a.name, Attempt: "i 1 1"})))
			}},
			{"status", func(ctx context.Context) error {
				return second(c.Status(ctx, connect.NewRequest(&control.StatusRequest{})))
			}},
			{"rules", func(ctx context.Context) error {
				return second(c.Rules(ctx, connect.NewRequest(&control.RulesRequest{})))
			}},
			{"raft", func(ctx context.Context) error {
				return second(p.Raft(ctx, connect.NewRequest(&control.RaftRequest{From: "c1"})))
			}},
			{"exchange", func(ctx context.Context) error {
				return second(p.Exchange(ctx, connect.NewRequest(&control.ExchangeRequest{})))
			}},
			{"forward", func(ctx context.Context) error {
				return second(p.Forward(ctx, connect.NewRequest(&control.ForwardRequest{Command: []byte("x")})))
			}},
		}
		for _, call := range calls {
			t.Run(a.name+"/"+call.name, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				err := call.call(ctx)
				// An answer of the handler, even an error, shows that the call was served.
				if served := err == nil || connect.IsWireError(err); served != a.served {
					t.Fatalf("error %v, want served %v", err, a.served)
				}
			})
		}
	}
	c := node(t, "n", s)
	got := await(t, c, "own member", func(s *follow.State) bool { return len(s.Members) > 0 && s.Confirmed })
	for _, m := range got.Members {
		if m.GetNode() == "intruder" {
			t.Fatal("the intruder is in the directory")
		}
	}
	if n := count(t, s.Events, event.HandshakeFailed, "TLS handshake from", "127.0.0.1"); n != 1 {
		t.Fatalf("%d events about refused peers of one address, want 1 a minute", n)
	}
}

func second[T any](_ T, err error) error { return err }

// count returns how many events about a peer the event file holds.
func count(t *testing.T, path string, kind event.Kind, step, peer string) int {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for line := range strings.Lines(string(raw)) {
		var e struct {
			Event              event.Kind
			Step, Peer, Reason string
		}
		if json.Unmarshal([]byte(line), &e) == nil && e.Event == kind && e.Step == step && strings.HasPrefix(e.Peer, peer) && e.Reason != "" {
			n++
		}
	}
	return n
}

// system is a control process and two nodes with TLS, and a back end that counts what it runs.
type system struct {
	control    daemon.Settings
	entry, far program.Settings
	runs       *atomic.Int32
}

func newSystem(t *testing.T, files func(name string) *mtls.Config) system {
	t.Helper()
	s := system{control: single(t), runs: &atomic.Int32{}}
	s.control.TLS = files("c1")
	d, _ := start(t, s.control)
	accept(t, d, 1)
	s.entry = vm(t, s.control, "entry", files("entry"))
	s.far = vm(t, s.control, "far", files("far"))
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte("echo "), body...))
	}))
	t.Cleanup(backend.Close)
	renew(t, s.far, backend.Listener.Addr().String())
	return s
}

// vm runs a node until the test ends.
func vm(t *testing.T, c daemon.Settings, name string, files *mtls.Config) program.Settings {
	t.Helper()
	cfg := program.Settings{
		Name: name, Zone: "oslo-a", Region: "oslo", Bind: netip.MustParseAddr("127.0.0.1"),
		Caller: free(t), Peer: free(t), Local: free(t),
		Control: []program.Control{{Name: c.Name, Address: c.Listen, Region: c.Region}},
		Limits:  program.Limits{Linger: settings.Duration(time.Millisecond)},
		TLS:     files,
	}
	log := event.New(event.Config{Process: name, Zap: zap.NewNop(), Clock: event.NewClock(time.Now)})
	p, err := program.New(program.Config{Settings: cfg, Events: log})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("node %s: %v", name, err)
		}
	})
	return cfg
}

// renew announces a back end to its node until the test ends.
func renew(t *testing.T, n program.Settings, address string) {
	t.Helper()
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			body := fmt.Sprintf(`{"name":"b1","service":"booking","address":%q,"slots":50,"connections":60,"zone":"oslo-a","state":"ready"}`, address)
			if resp, err := http.Post("http://"+n.Local.String()+"/announce", "application/json", strings.NewReader(body)); err == nil {
				resp.Body.Close()
			}
			select {
			case <-tick.C:
			case <-stop:
				return
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
}

// call sends a request to a node as a caller does.
func call(t *testing.T, n program.Settings, method, path, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+n.Caller.String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "booking.example"
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
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

// Guards against a part of the path that does not work with TLS, against an attempt, a cancel or rules for a peer that
// has not proven who it is, and against a certificate that needs a restart on any kind of connection.
func TestWholePathWithTLS(t *testing.T) {
	ours := mtlstest.New(t)
	dir := t.TempDir()
	issue := func(a mtlstest.Authority, name string) *mtls.Config {
<<<<<<< HEAD
		cfg := a.Issue(t, dir, name, time.Now().Add(time.Hour), loopback, listening)
=======
		cfg := a.Issue(t, dir, name, time.Now().Add(time.Hour), addresses...)
>>>>>>> security
		return &cfg
	}
	s := newSystem(t, func(name string) *mtls.Config { return issue(ours, name) })
	eventually(t, "the path is open", func() bool {
		code, _ := call(t, s.entry, "GET", "/", "")
		return code == http.StatusOK
	})
	before := s.runs.Load()
	if code, body := call(t, s.entry, "POST", "/reserve", "boat 3"); code != http.StatusOK || body != "echo boat 3" || s.runs.Load() != before+1 {
		t.Fatalf("%d %q, %d runs", code, body, s.runs.Load()-before)
	}
	watcher := node(t, "watcher", s.control)
	incarnation := incarnationOf(t, watcher, "far")
	for _, a := range accesses(t, ours, mtls.HTTP1) {
		t.Run(a.name, func(t *testing.T) { reach(t, s, a, incarnation) })
	}

	after := mtlstest.New(t)
	later := time.Now().Add(time.Minute)
	for _, name := range []string{"c1", "entry", "far"} {
		mtlstest.Touch(t, *issue(after, name), later)
	}
	renewed := node(t, "renewed", func() daemon.Settings {
		c := s.control
		c.TLS = issue(after, "renewed")
		return c
	}())
	incarnation = incarnationOf(t, renewed, "far")
	reach(t, s, access{"rotated", raw(mtls.HTTP1, pair(t, *issue(after, "rotated"))), true}, incarnation)
	reach(t, s, access{"before the rotation", raw(mtls.HTTP1, pair(t, *issue(ours, "late"))), false}, incarnation)
	if code, _ := call(t, s.entry, "GET", "/", ""); code != http.StatusOK {
		t.Fatalf("status %d after the rotation", code)
	}
}

func incarnationOf(t *testing.T, c *client.Client, name string) uint64 {
	t.Helper()
	var found uint64
	await(t, c, name, func(s *follow.State) bool {
		for _, m := range s.Members {
			if m.GetNode() == name {
				found = m.GetIncarnation()
			}
		}
		return found != 0
	})
	return found
}

// reach tries every path of the peer port of the far node.
func reach(t *testing.T, s system, a access, incarnation uint64) {
	t.Helper()
	head := fmt.Sprintf("Host: booking.example\r\nPollenhill-Attempt: intruder/1/%d\r\nPollenhill-Incarnation: %d\r\n", time.Now().UnixNano(), incarnation)
	requests := []struct {
		name, text string
		want       string
		runs       int32
	}{
		{"attempt", "POST /reserve HTTP/1.1\r\n" + head + "Pollenhill-Deadline: 5000\r\nPollenhill-Depth: 1\r\nPollenhill-Revision: 1\r\n" +
			"Pollenhill-Priority: normal\r\nPollenhill-Service: booking\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200", 1},
		{"cancel", "POST /cancel HTTP/1.1\r\n" + head + "Content-Length: 0\r\n\r\n", "HTTP/1.1 200", 0},
		{"rules", "GET /rules?after=0 HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200", 0},
	}
	for _, r := range requests {
		before := s.runs.Load()
		got := send(t, a.dial, s.far.Peer, r.text)
		if a.served && (!strings.HasPrefix(got, r.want) || s.runs.Load() != before+r.runs) {
			t.Errorf("%s, %s: %q, %d runs", a.name, r.name, got, s.runs.Load()-before)
		}
		if !a.served && (strings.Contains(got, "HTTP/1.1") || s.runs.Load() != before) {
			t.Errorf("%s, %s: answered with %q, %d runs", a.name, r.name, got, s.runs.Load()-before)
		}
	}
}

// send writes a request and returns the beginning of the answer, empty if there is none.
func send(t *testing.T, d dial, address netip.AddrPort, text string) string {
	t.Helper()
	c, err := d(t.Context(), "tcp", address.String())
	if err != nil {
		return ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = c.Write([]byte(text))
	b := make([]byte, len("HTTP/1.1 200"))
	n, _ := io.ReadFull(c, b)
	return string(b[:n])
}

// Guards against control processes that cannot agree over TLS, and against one that goes on in the group although its
// certificate is of another authority.
func TestGroupWithTLS(t *testing.T) {
	ours := mtlstest.New(t)
	all := make([]daemon.Settings, 3)
	var peers []daemon.Peer
	for i := range all {
		all[i] = single(t)
		all[i].Name = fmt.Sprintf("c%d", i+1)
		all[i].TLS = process(t, ours, all[i].Name)
		peers = append(peers, daemon.Peer{Name: all[i].Name, Address: all[i].Listen, Region: "oslo"})
	}
	daemons, stops := make([]*daemon.Daemon, 3), make([]func(), 3)
	for i := range all {
		all[i].Peers = peers
		daemons[i], stops[i] = start(t, all[i])
	}
	change := func(number uint64) {
		eventually(t, "a change is accepted", func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			res, err := daemons[0].Submit(ctx, number, text(number))
			return err == nil && res.Verdict == replica.Accepted
		})
	}
	change(1)
	for _, s := range all {
		await(t, node(t, "n-"+s.Name, s), "first change at "+s.Name, func(s *follow.State) bool { return s.Text == text(1) })
	}

	stops[2]()
	all[2].TLS = process(t, mtlstest.New(t), "c3")
	all[2].Events = filepath.Join(t.TempDir(), "events")
	_, _ = start(t, all[2])
	change(2)
	await(t, node(t, "n", all[1]), "second change", func(s *follow.State) bool { return s.Text == text(2) })
	for _, peer := range peers[:2] {
		eventually(t, "an event about "+peer.Name, func() bool {
			return count(t, all[2].Events, event.HandshakeFailed, "TLS handshake to", peer.Address.String()) == 1
		})
	}
	third := node(t, "n3", all[2])
	await(t, third, "member at the third process", func(s *follow.State) bool { return len(s.Members) == 1 })
	if s := third.State(); s.Confirmed || s.Text == text(2) {
		t.Fatalf("the third process is current: %+v", s)
	}
}

// Guards against a start with TLS files that cannot be used.
func TestBadStartWithTLS(t *testing.T) {
	files := process(t, mtlstest.New(t), "c1")
	cases := []struct {
		name, want string
		tls        map[string]any
	}{
		{"missing key", "tls.key", map[string]any{"cert": files.Cert, "ca": files.CA}},
		{"unknown field", "tls.crt", map[string]any{"crt": files.Cert}},
		{"absent file", "absent", map[string]any{"cert": files.Cert, "key": files.Key, "ca": filepath.Join(t.TempDir(), "absent")}},
		{"not a key", files.CA, map[string]any{"cert": files.Cert, "key": files.CA, "ca": files.CA}},
		{"not an authority", files.Key, map[string]any{"cert": files.Cert, "key": files.Key, "ca": files.Key}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := single(t)
			path := save(t, s, func(m map[string]any) { m["tls"] = tc.tls })
			var errs strings.Builder
			if code := daemon.Main([]string{"control", "--settings", path}, &errs); code == 0 {
				t.Error("exit code 0")
			}
			if !strings.Contains(errs.String(), tc.want) {
				t.Errorf("error %q does not mention %q", errs.String(), tc.want)
			}
			unchanged(t, s, true)
			if _, err := os.Stat(s.Events); err == nil {
				t.Error("an event file was left behind")
			}
		})
	}
}
