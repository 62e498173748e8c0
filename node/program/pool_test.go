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
	"time"

	"pollenhill.example/core/protocol/header"
)

const poolRules = `format 1
change 2 # test: a pool behind routes
pool desk health=/health connections=20 cold=1s rate=100 # test: one service
route read host=desk.example path=/read/ kind=idempotent within=2s aim=1s rank=2 tries=2 to=desk # test: lookups
route book host=desk.example path=/book/ kind=unsafe within=2s aim=1s rank=1 tries=2 to=desk # test: bookings
`

var testHeaders = header.Names{
	RequestID: "Test-Request", Deadline: "Test-Deadline", TargetInstance: "Test-Target", BackendMarker: "Test-Seal", NotRun: "Test-Refused",
	LoadReport: "Test-Load", InstanceID: "Test-Instance", RemainingColdStart: "Test-Cold", CallerService: "Test-Caller",
	RequestLimit: "Test-Limit", Leaving: "Test-Leaving", Account: "Test-Account",
}

// rawBackend is a TCP back end that writes the bytes that a test sets, so that it can break the protocol in any way.
type rawBackend struct {
	ln       net.Listener
	mu       sync.Mutex
	reply    func(r *http.Request) (bytes string, closeConn bool)
	received []*http.Request
}

func newRawBackend(t *testing.T) *rawBackend {
	t.Helper()
	b := &rawBackend{}
	b.ln = serveConns(t, b.serve)
	return b
}

// serveConns serves each connection to a loopback address in a goroutine of its own, and accepts none after the test.
func serveConns(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln
}

func (b *rawBackend) address() netip.AddrPort { return b.ln.Addr().(*net.TCPAddr).AddrPort() }

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
		b.received = append(b.received, req)
		reply := b.reply
		b.mu.Unlock()
		bytes, closeConn := reply(req)
		_, _ = io.WriteString(c, bytes)
		if closeConn {
			return
		}
	}
}

// setReply replaces the reply to each request except health checks, and forgets the requests received so far.
func (b *rawBackend) setReply(reply func(r *http.Request) (string, bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reply, b.received = reply, nil
}

// requests returns the requests since setReply, without health checks.
func (b *rawBackend) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received
}

// validResponse returns a valid response to r.
func validResponse(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nTest-Load: 1,0,4,100\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("Test-Request"), len(body), body)
}

// startPoolNode starts a node with poolRules beside b, and waits until it takes callers and the back end is ready.
func startPoolNode(t *testing.T, b *rawBackend) *testNode {
	t.Helper()
	return startNodeWithRules(t, b, poolRules)
}

// startNodeWithRules starts a node with the given rules beside b, and waits until it takes callers and the back end is ready.
func startNodeWithRules(t *testing.T, b *rawBackend, rules string) *testNode {
	t.Helper()
	ctl := newFakeControl()
	ctl.state.RulesText, ctl.state.Revision = rules, 2
	cfg := poolSettings(t, "desk-node", b)
	cfg.ReadyAddress = freeAddress(t, cfg.Bind)
	node := startNode(t, ctl, cfg)
	eventually(t, "the node takes callers", func() bool {
		resp, err := http.Get("http://" + cfg.ReadyAddress.String() + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK && node.fetchStatus().Backend.State == "ready"
	})
	return node
}

// sendHeartbeat sends a heartbeat of an instance to the local listener and returns the status code.
func (node *testNode) sendHeartbeat(t *testing.T, id string, b *rawBackend, state string, sequence int) int {
	t.Helper()
	return node.sendHeartbeatOfStart(t, id, b, state, sequence, time.UnixMilli(7))
}

// sendHeartbeatOfStart is like sendHeartbeat, for an instance that started at the given time.
func (node *testNode) sendHeartbeatOfStart(t *testing.T, id string, b *rawBackend, state string, sequence int, started time.Time) int {
	t.Helper()
	body := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","version":"v1","slots":4,"state":%q,"warming":0,"sequence":%d,"born":%d,"later":1}`,
		b.ln.Addr(), state, sequence, started.UnixMilli())
	return node.putLocal(t, "/backends/"+id, body)
}

// putLocal sends a PUT request to the local listener and returns the status code.
func (node *testNode) putLocal(t *testing.T, path, body string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+node.settings.LocalAddress.String()+path, strings.NewReader(body))
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

// Guards against responses at the caller that are not from the back end, belong to another request or are truncated or altered,
// and against a false proof that a booking did not run. Most cases are a way in which a back end breaks the protocol.
func TestPoolAnswers(t *testing.T) {
	b := newRawBackend(t)
	node := startPoolNode(t, b)
	node.sendHeartbeat(t, "i-1", b, "ready", 1)
	const stray = "HTTP/1.1 200 OK\r\nTest-Request: other\r\nTest-Seal: s\r\nContent-Length: 5\r\n\r\nwrong"
	tests := []struct {
		name   string
		reply  func(r *http.Request) (string, bool)
		status int
		body   string
	}{
		{"whole", func(r *http.Request) (string, bool) { return validResponse(r, "right"), false }, 200, "right"},
		{"extra answer of another request first", func(r *http.Request) (string, bool) { return stray + validResponse(r, "right"), false }, 200, "right"},
		{"only the answer of another request", func(*http.Request) (string, bool) { return stray, true }, 502, ""},
		{"no length, ends with the connection", func(r *http.Request) (string, bool) {
			return "HTTP/1.1 200 OK\r\nTest-Request: " + r.Header.Get("Test-Request") + "\r\nTest-Seal: s\r\n\r\nright", true
		}, 200, "right"},
		{"cut", func(r *http.Request) (string, bool) {
			return strings.TrimSuffix(validResponse(r, "right"), "ht"), true
		}, 502, ""},
		{"no seal", func(r *http.Request) (string, bool) {
			return strings.Replace(validResponse(r, "right"), "Test-Seal: s\r\n", "", 1), false
		}, 502, ""},
		{"encoded", func(r *http.Request) (string, bool) {
			return strings.Replace(validResponse(r, "right"), "Test-Seal", "Content-Encoding: gzip\r\nTest-Seal", 1), false
		}, 502, ""},
		{"no response", func(*http.Request) (string, bool) { return "", true }, 502, ""},
		{"no HTTP", func(*http.Request) (string, bool) { return "garbage\r\n\r\n", true }, 502, ""},
		{"busy without a promise", func(r *http.Request) (string, bool) {
			return strings.Replace(validResponse(r, "no"), "200 OK", "503 Busy", 1), false
		}, 502, ""},
		{"own failure", func(r *http.Request) (string, bool) {
			return strings.Replace(validResponse(r, "no"), "200 OK", "500 Failed", 1), false
		}, 500, "no"},
		{"proven not run", func(r *http.Request) (string, bool) {
			return strings.Replace(validResponse(r, "no"), "200 OK", "503 Full\r\nTest-Refused: 1", 1), false
		}, 503, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			node.sendHeartbeat(t, "i-1", b, "ready", 10+len(tt.name)) // after an earlier case the node may no longer send requests to the back end
			b.setReply(tt.reply)
			resp := sendRequest(t, node, "POST", "/book/1", "", map[string]string{"Test-Request": tt.name, "Test-Deadline": "1500"})
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

// Guards against a back end that gets headers forged by the caller or headers of the nodes, instead of the right remaining time,
// instance and calling service.
func TestPoolRequestHeaders(t *testing.T) {
	b := newRawBackend(t)
	node := startPoolNode(t, b)
	node.sendHeartbeat(t, "i-1", b, "ready", 1)
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
	sendRequest(t, node, "GET", "/read/1?q", "", map[string]string{"Test-Request": "r", "Test-Deadline": "900", "Test-Caller": "forged", "Test-Target": "forged"})
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

// Guards against requests that reach an instance after its draining was acknowledged, and against heartbeats that are invalid
// or outdated but change its state.
func TestPoolDrains(t *testing.T) {
	b := newRawBackend(t)
	node := startPoolNode(t, b)
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
	bad := []string{
		`{`, `{}`, `{"service":1}`, `{"service":"desk","address":"x","slots":4,"state":"ready"}`,
		`{"service":"desk","address":"127.0.0.1:1","zone":"a","version":"v1","warming":0,"slots":4,"state":"odd","sequence":99}`,
		`{"service":"desk","address":"127.0.0.1:1","version":"v1","warming":0,"slots":4,"state":"draining","zone":"b","sequence":99}`,
	}
	for _, body := range bad {
		if code := node.putLocal(t, "/backends/i-1", body); code != http.StatusBadRequest {
			t.Errorf("%s: status %d", body, code)
		}
	}
	if code := node.sendHeartbeat(t, "i-1", b, "ready", 5); code != http.StatusOK {
		t.Fatalf("heartbeat: status %d", code)
	}
	if resp := sendRequest(t, node, "GET", "/read/1", "", nil); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d before draining", resp.StatusCode)
	}
	node.sendHeartbeat(t, "i-1", b, "draining", 6)
	node.sendHeartbeat(t, "i-1", b, "ready", 4) // outdated
	n := len(b.requests())
	resp := sendRequest(t, node, "POST", "/book/1", "", nil)
	if resp.StatusCode != http.StatusServiceUnavailable || len(b.requests()) != n {
		t.Errorf("status %d, %d requests after draining was acknowledged", resp.StatusCode, len(b.requests())-n)
	}
	if resp := sendRequest(t, node, "GET", "/elsewhere/", "", nil); resp.StatusCode != http.StatusNotFound {
		t.Errorf("status %d without a route", resp.StatusCode)
	}
}

// Guards against nodes that learn that a back end is slow only from their own slow requests, not from hints of other nodes.
func TestHintsReachOtherNodes(t *testing.T) {
	b := newRawBackend(t)
	ctl := newFakeControl()
	ctl.state.RulesText, ctl.state.Revision = poolRules, 2
	var nodes []*testNode
	for _, name := range []string{"one", "two"} {
		cfg := testSettings(t, name)
		cfg.Headers, cfg.Limits.Guarantee503 = testHeaders, true
		cfg.HintsAddress = netip.AddrPortFrom(cfg.Bind, freeAddress(t, cfg.Bind).Port())
		nodes = append(nodes, startNode(t, ctl, cfg))
	}
	b.setReply(func(r *http.Request) (string, bool) {
		return strings.Replace(validResponse(r, ""), "1,0,4,100", "1,0,4,500", 1), false
	})
	nodes[1].putLocal(t, "/backends/i-1", fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","version":"v1","warming":0,"slots":4,"state":"ready","sequence":1}`, b.ln.Addr()))
	eventually(t, "the other node sends requests to the back end", func() bool {
		return sendRequest(t, nodes[0], "GET", "/read/1", "", nil).StatusCode == http.StatusOK
	})
}
