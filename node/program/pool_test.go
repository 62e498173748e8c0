package program_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"pollenhill.example/core/protocol/header"
	"pollenhill.example/node/program"
)

const poolRules = `format 1
change 2 # test: a pool behind routes
pool desk health=/health connections=20 cold=1s rate=100 # test: one service
route read host=desk.example path=/read/ kind=idempotent within=2s aim=1s rank=2 tries=2 to=desk # test: lookups
route book host=desk.example path=/book/ kind=unsafe within=2s aim=1s rank=1 tries=2 to=desk # test: bookings
`

var names = header.Names{
	RequestID: "Test-Request", Deadline: "Test-Deadline", TargetInstance: "Test-Target", BackendMarker: "Test-Seal", NotRun: "Test-Refused",
	LoadReport: "Test-Load", InstanceID: "Test-Instance", RemainingColdStart: "Test-Cold", CallerService: "Test-Caller",
}

// rawBackend is a back end that writes what a test says, so that it can break every rule of the protocol.
type rawBackend struct {
	ln    net.Listener
	mu    sync.Mutex
	reply func(r *http.Request) (bytes string, hangUp bool)
	seen  []*http.Request
}

func newRawBackend(t *testing.T) *rawBackend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &rawBackend{ln: ln}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *rawBackend) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/health" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Instance: i-1\r\nTest-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		b.mu.Lock()
		b.seen = append(b.seen, req)
		reply := b.reply
		b.mu.Unlock()
		bytes, hangUp := reply(req)
		_, _ = io.WriteString(c, bytes)
		if hangUp {
			return
		}
	}
}

func (b *rawBackend) set(reply func(r *http.Request) (string, bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reply, b.seen = reply, nil
}

func (b *rawBackend) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen
}

// sealed returns a response to a request as a healthy back end writes it.
func sealed(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nTest-Load: 1,0,4,100\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("Test-Request"), len(body), body)
}

// poolNode starts a node with the rules of a pool beside a raw back end.
func poolNode(t *testing.T, b *rawBackend) *vm {
	t.Helper()
	g := newGroup()
	g.state.RulesText, g.state.Revision = poolRules, 2
	cfg := config(t, "desk-node")
	cfg.ReadyAddress = address(t, cfg.Bind)
	cfg.Headers = names
	cfg.Limits.Guarantee503 = true
	cfg.Limits.MaxBufferedBytes = 1 << 20
	cfg.Backend = program.BackendSettings{Service: "desk", Address: b.ln.Addr().(*net.TCPAddr).AddrPort(), CancelByClose: true}
	v := start(t, g, cfg)
	eventually(t, "the node takes callers", func() bool {
		resp, err := http.Get("http://" + cfg.ReadyAddress.String() + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK && v.status().Backend.State == "ready"
	})
	return v
}

// beat sends what an instance says of itself and returns the status of the answer.
func (v *vm) beat(t *testing.T, id string, b *rawBackend, state string, sequence int) int {
	t.Helper()
	body := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","slots":4,"state":%q,"warming":0,"sequence":%d,"born":7,"later":1}`,
		b.ln.Addr(), state, sequence)
	return v.put(t, "/backends/"+id, body)
}

func (v *vm) put(t *testing.T, path, body string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+v.settings.LocalAddress.String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against answers that are not the back end's, that belong to another request, are cut or spoiled, and against
// a false promise that a booking did not run: each case is one way in which a back end breaks the protocol.
func TestPoolAnswers(t *testing.T) {
	b := newRawBackend(t)
	v := poolNode(t, b)
	v.beat(t, "i-1", b, "ready", 1)
	const stray = "HTTP/1.1 200 OK\r\nTest-Request: other\r\nTest-Seal: s\r\nContent-Length: 5\r\n\r\nwrong"
	tests := []struct {
		name   string
		reply  func(r *http.Request) (string, bool)
		status int
		body   string
	}{
		{"whole", func(r *http.Request) (string, bool) { return sealed(r, "right"), false }, 200, "right"},
		{"extra answer of another request first", func(r *http.Request) (string, bool) { return stray + sealed(r, "right"), false }, 200, "right"},
		{"only the answer of another request", func(*http.Request) (string, bool) { return stray, true }, 502, ""},
		{"no length, ends with the connection", func(r *http.Request) (string, bool) {
			return "HTTP/1.1 200 OK\r\nTest-Request: " + r.Header.Get("Test-Request") + "\r\nTest-Seal: s\r\n\r\nright", true
		}, 200, "right"},
		{"cut", func(r *http.Request) (string, bool) { return strings.TrimSuffix(sealed(r, "right"), "ht"), true }, 502, ""},
		{"no seal", func(r *http.Request) (string, bool) {
			return strings.Replace(sealed(r, "right"), "Test-Seal: s\r\n", "", 1), false
		}, 502, ""},
		{"encoded", func(r *http.Request) (string, bool) {
			return strings.Replace(sealed(r, "right"), "Test-Seal", "Content-Encoding: gzip\r\nTest-Seal", 1), false
		}, 502, ""},
		{"no response", func(*http.Request) (string, bool) { return "", true }, 502, ""},
		{"no HTTP", func(*http.Request) (string, bool) { return "garbage\r\n\r\n", true }, 502, ""},
		{"busy without a promise", func(r *http.Request) (string, bool) {
			return strings.Replace(sealed(r, "no"), "200 OK", "503 Busy", 1), false
		}, 502, ""},
		{"own failure", func(r *http.Request) (string, bool) {
			return strings.Replace(sealed(r, "no"), "200 OK", "500 Failed", 1), false
		}, 500, "no"},
		{"proven not run", func(r *http.Request) (string, bool) {
			return strings.Replace(sealed(r, "no"), "200 OK", "503 Full\r\nTest-Refused: 1", 1), false
		}, 503, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v.beat(t, "i-1", b, "ready", 10+len(tt.name)) // a case before may have made the node doubt
			b.set(tt.reply)
			resp := send(t, v, "POST", "/book/1", "", map[string]string{"Test-Request": tt.name, "Test-Deadline": "1500"})
			if resp.StatusCode != tt.status || resp.body != tt.body || resp.err != nil {
				t.Errorf("status %d, body %q, error %v", resp.StatusCode, resp.body, resp.err)
			}
			if n := len(b.requests()); n != 1 {
				t.Errorf("reached the back end %d times", n)
			}
			if after := resp.Header.Get("Retry-After"); tt.status == 503 && !strings.HasPrefix(after, "0.") {
				t.Errorf("Retry-After %q", after)
			}
		})
	}
}

// Guards against a back end that gets a request with headers of others: time left, its instance, the caller's service.
func TestPoolRequestHeaders(t *testing.T) {
	b := newRawBackend(t)
	v := poolNode(t, b)
	v.beat(t, "i-1", b, "ready", 1)
	b.set(func(r *http.Request) (string, bool) { return sealed(r, ""), false })
	send(t, v, "GET", "/read/1?q", "", map[string]string{"Test-Request": "r", "Test-Deadline": "900", "Test-Caller": "forged", "Test-Target": "forged"})
	seen := b.requests()
	if len(seen) != 1 {
		t.Fatalf("reached the back end %d times", len(seen))
	}
	h := seen[0].Header
	if h.Get("Test-Target") != "i-1" || h.Get("Test-Caller") != "desk" || h.Get("Test-Request") != "r" || len(h.Get("Test-Deadline")) != 3 {
		t.Errorf("headers %v", h)
	}
	for name := range h {
		if strings.HasPrefix(name, "Pollenhill-") && name != "Pollenhill-Depth" {
			t.Errorf("header %s of the nodes reaches the back end", name)
		}
	}
}

// Guards against work for an instance after its draining, or its leaving, was acknowledged, and against reports from
// other writers that change anything.
func TestPoolDrains(t *testing.T) {
	b := newRawBackend(t)
	v := poolNode(t, b)
	b.set(func(r *http.Request) (string, bool) { return sealed(r, ""), false })
	bad := []string{
		`{`, `{}`, `{"service":1}`, `{"service":"desk","address":"x","slots":4,"state":"ready"}`,
		`{"service":"desk","address":"127.0.0.1:1","slots":4,"state":"odd","sequence":99}`,
		`{"service":"desk","address":"127.0.0.1:1","slots":4,"state":"draining","zone":"b","sequence":99}`,
	}
	for _, body := range bad {
		if code := v.put(t, "/backends/i-1", body); code != http.StatusBadRequest {
			t.Errorf("%s: status %d", body, code)
		}
	}
	if code := v.beat(t, "i-1", b, "ready", 5); code != http.StatusOK {
		t.Fatalf("beat: status %d", code)
	}
	if resp := send(t, v, "GET", "/read/1", "", nil); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d before draining", resp.StatusCode)
	}
	v.beat(t, "i-1", b, "draining", 6)
	v.beat(t, "i-1", b, "ready", 4) // late
	n := len(b.requests())
	resp := send(t, v, "POST", "/book/1", "", nil)
	if resp.StatusCode != http.StatusServiceUnavailable || len(b.requests()) != n {
		t.Errorf("status %d, %d requests after draining was acknowledged", resp.StatusCode, len(b.requests())-n)
	}
	if resp := send(t, v, "GET", "/elsewhere/", "", nil); resp.StatusCode != http.StatusNotFound {
		t.Errorf("status %d without a route", resp.StatusCode)
	}
}

// Guards against nodes that learn of a slow back end only from their own slow requests.
func TestHintsReachOtherNodes(t *testing.T) {
	b := newRawBackend(t)
	g := newGroup()
	g.state.RulesText, g.state.Revision = poolRules, 2
	var vms []*vm
	for _, name := range []string{"one", "two"} {
		cfg := config(t, name)
		cfg.Headers, cfg.Limits.Guarantee503 = names, true
		cfg.HintsAddress = netip.AddrPortFrom(cfg.Bind, address(t, cfg.Bind).Port())
		vms = append(vms, start(t, g, cfg))
	}
	b.set(func(r *http.Request) (string, bool) {
		return strings.Replace(sealed(r, ""), "1,0,4,100", "1,0,4,500", 1), false
	})
	vms[1].put(t, "/backends/i-1", fmt.Sprintf(`{"service":"desk","address":%q,"slots":4,"state":"ready","sequence":1}`, b.ln.Addr()))
	eventually(t, "the other node serves through it", func() bool {
		return send(t, vms[0], "GET", "/read/1", "", nil).StatusCode == http.StatusOK
	})
}
