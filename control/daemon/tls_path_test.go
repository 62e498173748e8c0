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

// system is a control process, an entry node and a destination node with TLS, and a back end beside the latter.
type system struct {
	control            daemon.Settings
	entry, destination program.Settings
	posts              *atomic.Int32 // POST requests that the back end has run
}

func newSystem(t *testing.T, files func(name string) *mtls.Config) system {
	t.Helper()
	s := system{control: singleSettings(t), posts: &atomic.Int32{}}
	s.control.TLS = files("c1")
	d, _ := start(t, s.control)
	submitAccepted(t, d, 1)
	s.entry = startNode(t, s.control, "entry", files("entry"))
	s.destination = startNode(t, s.control, "destination", files("destination"))
	startBackend(t, s.destination, "b1", s.posts)
	return s
}

// startBackend runs a back end beside a node and counts its POST requests; health checks by the node are GET requests.
func startBackend(t *testing.T, n program.Settings, name string, posts *atomic.Int32) {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			posts.Add(1)
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte("echo "), body...))
	}))
	t.Cleanup(backend.Close)
	announceBackend(t, n, name, backend.Listener.Addr().String())
}

// startNode runs a node until the test ends.
func startNode(t *testing.T, c daemon.Settings, name string, files *mtls.Config) program.Settings {
	t.Helper()
	cfg := program.Settings{
		Name: name, Zone: "oslo-a", Region: "oslo", Bind: netip.MustParseAddr("127.0.0.1"),
		CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), LocalAddress: freeAddress(t),
		ControlProcesses: []program.ControlProcess{{Name: c.Name, Address: c.Listen, Region: c.Region}},
		Limits:           program.Limits{ListenerCloseDelay: settings.Duration(time.Millisecond)},
		TLS:              files,
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

// announceBackend announces a back end to its node every 100 ms until the test ends.
func announceBackend(t *testing.T, n program.Settings, name, address string) {
	t.Helper()
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			body := fmt.Sprintf(`{"name":%q,"service":"booking","address":%q,"slots":50,"connections":60,"zone":"oslo-a","state":"ready"}`, name, address)
			if resp, err := http.Post("http://"+n.LocalAddress.String()+"/announce", "application/json", strings.NewReader(body)); err == nil {
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

// callNode sends a request to a node like a caller and returns status and body, or 0 and the error.
func callNode(t *testing.T, n program.Settings, method, path, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+n.CallerAddress.String()+path, strings.NewReader(body))
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

// Guards against a connection of the path that does not work with TLS, against attempts, cancel requests and rules that are
// served to a peer without a valid certificate, and against a rotated certificate that takes effect only after a
// restart.
func TestWholePathWithTLS(t *testing.T) {
	authority := mtlstest.NewAuthority(t)
	dir := t.TempDir()
	issue := func(a mtlstest.Authority, name string) *mtls.Config {
		cfg := a.Issue(t, dir, name, time.Now().Add(time.Hour), certAddresses...)
		return &cfg
	}
	s := newSystem(t, func(name string) *mtls.Config { return issue(authority, name) })
	eventually(t, "a request is answered", func() bool {
		code, _ := callNode(t, s.entry, "GET", "/", "")
		return code == http.StatusOK
	})
	before := s.posts.Load()
	if code, body := callNode(t, s.entry, "POST", "/reserve", "boat 3"); code != http.StatusOK || body != "echo boat 3" || s.posts.Load() != before+1 {
		t.Fatalf("%d %q, %d POST requests", code, body, s.posts.Load()-before)
	}
	watcher := startClient(t, "watcher", s.control)
	incarnation := incarnationOf(t, watcher, "destination")
	for _, a := range accesses(t, authority, mtls.ALPNHTTP1) {
		t.Run(a.name, func(t *testing.T) { checkAccess(t, s, a, incarnation) })
	}

	newAuthority := mtlstest.NewAuthority(t)
	modified := time.Now().Add(time.Minute)
	for _, name := range []string{"c1", "entry", "destination"} {
		mtlstest.SetModTimes(t, *issue(newAuthority, name), modified)
	}
	renewed := startClient(t, "renewed", func() daemon.Settings {
		c := s.control
		c.TLS = issue(newAuthority, "renewed")
		return c
	}())
	incarnation = incarnationOf(t, renewed, "destination")
	checkAccess(t, s, access{"rotated", rawTLSDialer(mtls.ALPNHTTP1, loadKeyPair(t, *issue(newAuthority, "rotated"))), true}, incarnation)
	checkAccess(t, s, access{"before the rotation", rawTLSDialer(mtls.ALPNHTTP1, loadKeyPair(t, *issue(authority, "late"))), false}, incarnation)
	if code, _ := callNode(t, s.entry, "GET", "/", ""); code != http.StatusOK {
		t.Fatalf("status %d after the rotation", code)
	}
	// A new node needs new connections in both directions.
	third := startNode(t, s.control, "third", issue(newAuthority, "third"))
	eventually(t, "the new node reaches the old one", func() bool {
		before := s.posts.Load()
		code, _ := callNode(t, third, "POST", "/", "")
		return code == http.StatusOK && s.posts.Load() == before+1
	})
	var posts atomic.Int32
	startBackend(t, third, "b3", &posts)
	eventually(t, "the old node reaches the new one", func() bool {
		code, _ := callNode(t, s.entry, "POST", "/", "")
		return code == http.StatusOK && posts.Load() > 0
	})
}

func incarnationOf(t *testing.T, c *client.Client, name string) uint64 {
	t.Helper()
	var found uint64
	awaitState(t, c, name, func(s *follow.State) bool {
		for _, m := range s.Members {
			if m.GetNode() == name {
				found = m.GetIncarnation()
			}
		}
		return found != 0
	})
	return found
}

// checkAccess sends a request to every path of the peer port of the destination node and checks whether it is served.
func checkAccess(t *testing.T, s system, a access, incarnation uint64) {
	t.Helper()
	head := fmt.Sprintf("Host: booking.example\r\nPollenhill-Attempt: intruder/1/%d\r\nPollenhill-Incarnation: %d\r\n", time.Now().UnixNano(), incarnation)
	requests := []struct {
		name, text string
		want       string
		posts      int32
	}{
		{"attempt", "POST /reserve HTTP/1.1\r\n" + head + "Pollenhill-Deadline: 5000\r\nPollenhill-Depth: 1\r\nPollenhill-Revision: 1\r\n" +
			"Pollenhill-Priority: normal\r\nPollenhill-Service: booking\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200", 1},
		{"cancel", "POST /cancel HTTP/1.1\r\n" + head + "Content-Length: 0\r\n\r\n", "HTTP/1.1 200", 0},
		{"rules", "GET /rules?after=0 HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200", 0},
	}
	for _, r := range requests {
		before := s.posts.Load()
		got := sendRaw(t, a.dial, s.destination.PeerAddress, r.text)
		if a.served && (!strings.HasPrefix(got, r.want) || s.posts.Load() != before+r.posts) {
			t.Errorf("%s, %s: %q, %d POST requests", a.name, r.name, got, s.posts.Load()-before)
		}
		if !a.served && (strings.Contains(got, "HTTP/1.1") || s.posts.Load() != before) {
			t.Errorf("%s, %s: answered with %q, %d POST requests", a.name, r.name, got, s.posts.Load()-before)
		}
	}
}

// sendRaw writes a request and returns the protocol version and status of the response, or empty text if there is none.
func sendRaw(t *testing.T, d dialFunc, address netip.AddrPort, text string) string {
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
