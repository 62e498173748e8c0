package program_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/state/settings"
)

const graceRules = `format 1
change 2 # test: a pool behind routes
pool desk health=/health connections=20 cold=1s rate=100 # test: one service
route read host=desk.example path=/read/ kind=idempotent within=600s aim=20s rank=2 tries=1 to=desk # test: lookups
route book host=desk.example path=/book/ kind=unsafe within=600s aim=20s rank=1 tries=1 to=desk # test: bookings
`

// heldBackend is a back end that answers requests for paths that end in /held only when release is called.
func heldBackend(t *testing.T) (b *rawBackend, release func()) {
	t.Helper()
	held := make(chan struct{})
	release = sync.OnceFunc(func() { close(held) })
	t.Cleanup(release)
	b = newRawBackend(t)
	b.setReply(func(r *http.Request) (string, bool) {
		if strings.HasSuffix(r.URL.Path, "/held") {
			<-held
		}
		return validResponse(r, r.URL.Path), false
	})
	return b, release
}

// startStoppingNode starts a node that is killed after kill, 0 for never, and another one beside b, which goes on.
func startStoppingNode(t *testing.T, b *rawBackend, kill time.Duration) *testNode {
	t.Helper()
	ctl := newFakeControl()
	ctl.state.RulesText, ctl.state.Revision = graceRules, 2
	other := startNode(t, ctl, poolSettings(t, "desk-node", b))
	other.sendHeartbeat(t, "i-1", b, "ready", 1)
	cfg := poolSettings(t, "stopping", nil)
	cfg.Limits.KillDelay = settings.Duration(kill)
	node := startNode(t, ctl, cfg)
	eventually(t, "the node knows the other one", func() bool {
		return node.fetchStatus().MemberCount > 1 && other.fetchStatus().Backend.State == "ready"
	})
	return node
}

// responseTimeout limits the wait for responses that are expected; no test asserts a shorter time.
const responseTimeout = 20 * time.Second

// callerConn is a connection of a caller that sends requests without waiting for responses.
type callerConn struct {
	net.Conn
	r *bufio.Reader
}

func dialNode(t *testing.T, node *testNode) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp", node.settings.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(responseTimeout))
	return &callerConn{c, bufio.NewReader(c)}
}

// send sends a request; header holds further lines.
func (c *callerConn) send(request, header string) {
	id := strings.ReplaceAll(request, " ", "")
	fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: desk.example\r\nTest-Request: %s\r\n%s\r\n", request, id, header)
}

// readResponse returns the status code and the body of the next response, or 0 if the connection ends before it.
func (c *callerConn) readResponse() (status int, body string) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, ""
	}
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

func awaitRequest(t *testing.T, b *rawBackend, path string) {
	t.Helper()
	eventually(t, "the back end runs "+path, func() bool { return reached(b, path) })
}

func reached(b *rawBackend, path string) bool {
	return slices.ContainsFunc(b.requests(), func(r *http.Request) bool { return r.URL.Path == path })
}

// stopAndAwaitClosedListener stops a node and waits until it accepts no callers any more.
func (node *testNode) stopAndAwaitClosedListener(t *testing.T) {
	t.Helper()
	node.stop()
	eventually(t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", node.settings.CallerAddress.String())
		if err == nil {
			c.Close()
		}
		return err != nil
	})
}

// statusCalls is the number of calls of the status that the node answers before late requests count as not passed on.
const statusCalls = 50

// Guards against requests that a node takes late in the grace of its shutdown, on a connection that is still open, and passes on: at
// the end of the grace they are cut without an answer.
func TestNoRequestIsTakenAfterListenersClose(t *testing.T) {
	t.Run("behind an unanswered one", func(t *testing.T) {
		t.Parallel()
		b, release := heldBackend(t)
		node := startStoppingNode(t, b, 0)
		c := dialNode(t, node)
		c.send("GET /read/held", "")
		awaitRequest(t, b, "/read/held")
		node.stopAndAwaitClosedListener(t)
		for i := range 3 {
			c.send(fmt.Sprintf("GET /read/late%d", i), "")
		}
		for range statusCalls {
			node.fetchStatus() // time for the node to pass on what it would
		}
		release()
		if status, body := c.readResponse(); status != http.StatusOK || body != "/read/held" {
			t.Errorf("the request in flight got %d %q", status, body)
		}
		for status, _ := c.readResponse(); status != 0; status, _ = c.readResponse() {
			if status != http.StatusServiceUnavailable {
				t.Errorf("a late request got %d", status)
			}
		}
		node.stopAndWait(t)
		if late := lo.CountBy(b.requests(), func(r *http.Request) bool { return strings.Contains(r.URL.Path, "late") }); late > 0 {
			t.Errorf("%d late requests were passed on", late)
		}
	})
	t.Run("whose body ends late", func(t *testing.T) {
		t.Parallel()
		b, release := heldBackend(t)
		node := startStoppingNode(t, b, 0)
		busy, c := dialNode(t, node), dialNode(t, node)
		busy.send("GET /read/held", "") // keeps the node from ending
		awaitRequest(t, b, "/read/held")
		c.send("POST /book/late", "Content-Length: 4\r\nExpect: 100-continue\r\n")
		if line, _ := c.r.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
			t.Fatalf("got %q", line)
		}
		_, _ = c.r.ReadString('\n')
		node.stopAndAwaitClosedListener(t)
		_, _ = io.WriteString(c, "body")
		if status, _ := c.readResponse(); status != http.StatusServiceUnavailable {
			t.Errorf("the late request got %d", status)
		}
		release()
		node.stopAndWait(t)
		if reached(b, "/book/late") {
			t.Error("the late request was passed on")
		}
	})
}
