package program_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
)

const wideRules = `format 1
change 2 # test: a pool behind a route
pool desk health=/health connections=100 cold=1s rate=1000 # test: one service
route book host=desk.example path=/book/ kind=unsafe within=30s aim=20s rank=1 tries=1 to=desk # test: bookings
`

const (
	endlessResponses = 48
	endlessPart      = 900 << 10 // what each of them sends before it stalls, in bytes; below the size up to which nodes receive a response whole
	responseBudget   = 2 << 20   // bytes of each node
)

// startEndlessResponses sends endlessResponses requests to node and counts the callers that have got a response header. Their
// connections close with the test.
func startEndlessResponses(t *testing.T, node *testNode) *atomic.Int32 {
	t.Helper()
	var begun atomic.Int32
	for i := range endlessResponses {
		c, err := net.Dial("tcp", node.settings.CallerAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "POST /book/%d HTTP/1.1\r\nHost: desk.example\r\nTest-Request: r%d\r\nTest-Deadline: 30000\r\nContent-Length: 0\r\n\r\n", i, i)
		go func() {
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode == http.StatusOK {
				begun.Add(1)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		}()
	}
	return &begun
}

// heapBytes returns what is on the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a faulty back end whose endless bodies fill the memory of the node that called it, because each of them is received
// whole before it is passed on: all other requests of that node end with it.
func TestEndlessBodiesStayInMemoryBudget(t *testing.T) {
	for _, at := range []string{"entry", "destination"} {
		t.Run(at, func(t *testing.T) {
			b := newScriptedBackend(t, func(c net.Conn, header *http.Request) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\n\r\n", header.Header.Get("Test-Request"))
				_, _ = io.WriteString(c, strings.Repeat("x", endlessPart))
				_, _ = c.Read(make([]byte, 1)) // until the node closes the connection
			})
			ctl := newFakeControl()
			ctl.state.RulesText, ctl.state.Revision = wideRules, 2
			settings := poolSettings(t, "desk-node", b)
			settings.Limits.ResponseMemory = responseBudget
			destination := startNode(t, ctl, settings)
			destination.putLocal(t, "/backends/i-1", fmt.Sprintf(
				`{"service":"desk","address":%q,"zone":"a","version":"v1","slots":64,"state":"ready","warming":0,"sequence":1,"born":7}`, b.ln.Addr()))
			settings = poolSettings(t, "entry", nil)
			settings.Limits.ResponseMemory = responseBudget
			nodes := map[string]*testNode{"destination": destination, "entry": startNode(t, ctl, settings)}
			eventually(t, "the nodes know the back end", func() bool {
				return nodes["entry"].fetchStatus().MemberCount > 0 && destination.fetchStatus().Backend.State == "ready"
			})
			before := heapBytes()
			begun := startEndlessResponses(t, nodes[at])
			const inBudget = responseBudget / endlessPart // these may still be received whole
			eventually(t, "the bodies are passed on", func() bool { return begun.Load() >= endlessResponses-2*inBudget })
			// A budget for each node, and as much for buffers of connections.
			if after := heapBytes(); after > before+8*responseBudget {
				t.Errorf("%d KiB are held for responses without end, the budget is %d", (after-before)>>10, responseBudget>>10)
			}
		})
	}
}

// Guards against memory of responses that is never given back, after which a response that breaks reaches callers cut instead of
// being tried again or told as failed.
func TestResponseMemoryIsGivenBack(t *testing.T) {
	b := newRawBackend(t)
	whole := strings.Repeat("w", endlessPart)
	b.setReply(func(r *http.Request) (string, bool) {
		switch response := validResponse(r, whole); {
		case strings.HasSuffix(r.URL.Path, "/failed"):
			return strings.Replace(response, "200 OK", "500 Failed", 1), false
		case strings.HasSuffix(r.URL.Path, "/unsealed"):
			return strings.Replace(response, "Test-Seal", "X-Seal", 1), false
		case strings.HasSuffix(r.URL.Path, "/refused"):
			return strings.Replace(response, "200 OK", "503 Full\r\nTest-Refused: 1", 1), false
		case strings.HasSuffix(r.URL.Path, "/cut"):
			return strings.TrimSuffix(response, "w"), true
		case r.Method == http.MethodHead:
			return strings.TrimSuffix(response, whole), false
		default:
			return response, false
		}
	})
	ctl := newFakeControl()
	ctl.state.RulesText, ctl.state.Revision = poolRules, 2
	settings := poolSettings(t, "desk-node", b)
	settings.Limits.ResponseMemory = responseBudget
	destination := startNode(t, ctl, settings)
	settings = poolSettings(t, "entry", nil)
	settings.Limits.ResponseMemory = responseBudget
	entry := startNode(t, ctl, settings)
	sequence := 0
	send := func(node *testNode, method, path string) response {
		sequence++
		destination.sendHeartbeat(t, "i-1", b, "ready", sequence) // a broken connection counts as a restart until the next report
		return sendRequest(t, node, method, path, "", map[string]string{"Test-Request": "own", "Test-Deadline": "1900"})
	}
	eventually(t, "the entry node reaches the back end", func() bool { return send(entry, "GET", "/read/warm").StatusCode == http.StatusOK })
	for _, node := range []*testNode{entry, destination} {
		for range 4 {
			for _, path := range []string{"/read/whole", "/read/failed", "/read/unsealed", "/read/refused", "/read/cut"} {
				send(node, "GET", path)
			}
			send(node, "HEAD", "/read/whole")
			leaving, err := net.Dial("tcp", node.settings.CallerAddress.String())
			if err != nil {
				t.Fatal(err)
			}
			before := len(b.requests())
			fmt.Fprint(leaving, "GET /read/unread HTTP/1.1\r\nHost: desk.example\r\nTest-Request: left\r\n\r\n")
			eventually(t, "the request runs", func() bool { return len(b.requests()) > before })
			leaving.Close()
		}
		eventually(t, "no call is in flight", func() bool { return node.fetchStatus().CallsInFlight == 0 })
		if resp := send(node, "POST", "/book/cut"); resp.StatusCode != http.StatusBadGateway {
			t.Errorf("%s: a cut response got status %d, error %v", node.settings.Name, resp.StatusCode, resp.err)
		}
		if resp := send(node, "POST", "/book/whole"); resp.StatusCode != http.StatusOK || resp.body != whole {
			t.Errorf("%s: a whole response got status %d, error %v", node.settings.Name, resp.StatusCode, resp.err)
		}
	}
}
