package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"pollenhill.example/control/daemon"
	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/settings"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/mtls/mtlstest"
	"pollenhill.example/node/program"
	client "pollenhill.example/node/transport/control"
)

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
	serve(t, s.far, "b1", s.runs)
	return s
}

// serve runs a back end beside a node.
func serve(t *testing.T, n program.Settings, name string, runs *atomic.Int32) {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost { // the node's own checks of the back end are GET requests
			runs.Add(1)
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte("echo "), body...))
	}))
	t.Cleanup(backend.Close)
	renew(t, n, name, backend.Listener.Addr().String())
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
	log := event.New(event.Config{Process: name, Logger: zap.NewNop(), Clock: event.NewClock(time.Now)})
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
func renew(t *testing.T, n program.Settings, name, address string) {
	t.Helper()
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			body := fmt.Sprintf(`{"name":%q,"service":"booking","address":%q,"slots":50,"connections":60,"zone":"oslo-a","state":"ready"}`, name, address)
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
		cfg := a.Issue(t, dir, name, time.Now().Add(time.Hour), addresses...)
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
	// A new node needs new connections in both directions.
	third := vm(t, s.control, "third", issue(after, "third"))
	eventually(t, "the new node reaches the old one", func() bool {
		before := s.runs.Load()
		code, _ := call(t, third, "POST", "/", "")
		return code == http.StatusOK && s.runs.Load() == before+1
	})
	var runs atomic.Int32
	serve(t, third, "b3", &runs)
	eventually(t, "the old node reaches the new one", func() bool {
		code, _ := call(t, s.entry, "POST", "/", "")
		return code == http.StatusOK && runs.Load() > 0
	})
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
