package program_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const deadlineRules = `format 1
change 2 # test: a short timeout
pool desk health=/health connections=20 cold=1s rate=100 # test: one service
route read host=desk.example path=/read/ kind=idempotent within=400ms aim=100ms rank=2 tries=2 to=desk # test: lookups
route book host=desk.example path=/book/ kind=unsafe within=400ms aim=100ms rank=1 tries=2 to=desk # test: bookings
`

// trickle writes a body that never ends: first at once, then chunk at each interval, until the peer closes the connection.
type trickle struct {
	header   string
	first    int // bytes
	chunk    string
	interval time.Duration
}

// streamBackend is a back end that sends trickles; each connection carries one response.
type streamBackend struct {
	*rawBackend
	closed chan struct{} // receives one value when a node has closed the connection of a trickle
}

// newStreamBackend returns a back end whose responses to all requests but health checks are trickles.
func newStreamBackend(t *testing.T, body trickle) *streamBackend {
	t.Helper()
	b := &streamBackend{rawBackend: &rawBackend{}, closed: make(chan struct{}, 100)}
	b.ln = serveConns(t, func(c net.Conn) { b.serve(c, body) })
	return b
}

func (b *streamBackend) serve(c net.Conn, body trickle) {
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
		body.send(c, req.Header.Get("Test-Request"))
		b.closed <- struct{}{}
		return
	}
}

func (s trickle) send(c net.Conn, id string) {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\n%s\r\n\r\n", id, s.header)
	chunked := strings.HasPrefix(s.header, "Transfer-Encoding")
	write := func(text string) {
		if err == nil && chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if err == nil {
			_, err = io.WriteString(c, text)
		}
	}
	write(strings.Repeat("x", s.first))
	gone := make(chan struct{})
	go func() { _, _ = c.Read(make([]byte, 1)); close(gone) }()
	tick := time.NewTicker(s.interval)
	defer tick.Stop()
	for err == nil {
		select {
		case <-tick.C:
			write(s.chunk)
		case <-gone:
			return
		}
	}
}

// Guards against a deadline that ends with the first bytes of a response: a body longer than what a node keeps in memory was
// passed on without end, and its back end slot stayed taken (CONFIG, review/5).
func TestDeadlineHoldsUntilLastByte(t *testing.T) {
	const streamed = 1<<20 + 4096 // more than a node keeps in memory
	chunk := strings.Repeat("y", 32<<10)
	tests := map[string]trickle{
		"fast chunks without end":      {"Transfer-Encoding: chunked", 1, chunk, time.Millisecond},
		"chunk by chunk after 1 MiB":   {"Transfer-Encoding: chunked", streamed, "y", 50 * time.Millisecond},
		"silence after 1 MiB":          {"Transfer-Encoding: chunked", streamed, "y", time.Hour},
		"length never reached":         {"Content-Length: 1000000000", streamed, "y", 50 * time.Millisecond},
		"length never reached, silent": {"Content-Length: 1000000000", streamed, "y", time.Hour},
		"ends with the connection":     {"Connection: close", streamed, chunk, time.Millisecond},
		"short and never whole":        {"Content-Length: 100", 10, "", time.Hour},
	}
	for name, body := range tests {
		for _, method := range []string{"GET /read/1", "POST /book/1"} {
			t.Run(name+", "+method, func(t *testing.T) {
				b := newStreamBackend(t, body)
				node := startNodeWithRules(t, b.rawBackend, deadlineRules)
				entry := startNode(t, node.control, poolSettings(t, "entry", nil))
				for _, n := range []*testNode{node, entry} {
					status, whole := readStarted(t, n, method)
					if status == http.StatusOK && whole {
						t.Errorf("%s: the caller saw a whole response", n.settings.Name)
					}
					b.awaitClose(t)
				}
				eventually(t, "the slot of the back end is free", func() bool { return node.fetchStatus().Backend.Inflight == 0 })
			})
		}
	}
}

// awaitClose waits until a node has closed the connection of a trickle.
func (b *streamBackend) awaitClose(t *testing.T) {
	t.Helper()
	select {
	case <-b.closed:
	case <-time.After(20 * time.Second):
		t.Fatal("the back end still sends")
	}
}

// readStarted is readWhole for a node that may have just started and does not know the rules or the back end yet.
func readStarted(t *testing.T, n *testNode, target string) (status int, whole bool) {
	t.Helper()
	eventually(t, "the request reaches the back end", func() bool {
		status, whole = readWhole(t, n, target)
		return status != http.StatusServiceUnavailable
	})
	return status, whole
}

// readWhole sends a request on a connection of its own and reads the response to its end, which must come.
func readWhole(t *testing.T, n *testNode, target string, header ...string) (status int, whole bool) {
	t.Helper()
	c, err := net.Dial("tcp", n.settings.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: desk.example\r\nTest-Request: r\r\n%sContent-Length: 0\r\n\r\n", target, strings.Join(header, ""))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s: no response: %v", n.settings.Name, err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Fatalf("%s: the response does not end", n.settings.Name)
	}
	return resp.StatusCode, err == nil
}

// Guards against a keyed request that waits without end for a body that is recorded for resends of the key.
func TestDeadlineHoldsForKeyedResponses(t *testing.T) {
	for name, body := range map[string]trickle{
		"short":  {"Transfer-Encoding: chunked", 10, "", time.Hour},
		"middle": {"Content-Length: 1000000000", 20 << 10, "y", 50 * time.Millisecond},
		"long":   {"Transfer-Encoding: chunked", 1<<20 + 4096, "", time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			b := newStreamBackend(t, body)
			node := startNodeWithRules(t, b.rawBackend, deadlineRules)
			readStarted(t, node, "GET /read/1")
			b.awaitClose(t)
			if status, whole := readWhole(t, node, "POST /book/1", "Idempotency-Key: k\r\n"); status == http.StatusOK && whole {
				t.Error("the caller saw a whole response")
			}
			b.awaitClose(t)
			eventually(t, "the slot of the back end is free", func() bool { return node.fetchStatus().Backend.Inflight == 0 })
		})
	}
}

// Guards against a caller that reads nothing and so keeps a slot of the back end beyond the deadline.
func TestDeadlineHoldsWhileCallerDoesNotRead(t *testing.T) {
	b := newStreamBackend(t, trickle{"Content-Length: 1000000000", 1<<20 + 4096, strings.Repeat("y", 256<<10), time.Millisecond})
	node := startNodeWithRules(t, b.rawBackend, deadlineRules)
	entry := startNode(t, node.control, poolSettings(t, "entry", nil))
	readStarted(t, entry, "GET /read/1")
	b.awaitClose(t)
	for _, n := range []*testNode{node, entry} {
		c, err := net.Dial("tcp", n.settings.CallerAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /read/1 HTTP/1.1\r\nHost: desk.example\r\nTest-Request: r\r\n\r\n")
		b.awaitClose(t)
	}
	eventually(t, "the slot of the back end is free", func() bool { return node.fetchStatus().Backend.Inflight == 0 })
}

// Guards against an upload that is waited for beyond the deadline of its request, and against a refusal that forbids callers
// to try again although the request is proper and has not run.
func TestDeadlineHoldsForUploads(t *testing.T) {
	b := newRawBackend(t)
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
	node := startNodeWithRules(t, b, deadlineRules)
	for _, header := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
		c, err := net.Dial("tcp", node.settings.CallerAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nTest-Request: r\r\n%s\r\n\r\n5\r\nhello", header)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%s: no response: %v", header, err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable || len(b.requests()) > 0 {
			t.Errorf("%s: status %d, %d requests at the back end", header, resp.StatusCode, len(b.requests()))
		}
	}
}
