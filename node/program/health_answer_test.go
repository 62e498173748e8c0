package program_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// endlessCheckBytes is what a back end sends in the endless body of one health check before it gives up, in bytes. A node should
// have closed the connection long before, and the buffers of a connection take less.
const endlessCheckBytes = 64 << 20

// healthBackend answers health checks with a fixed text, which repeats part without end if that is set.
type healthBackend struct {
	answer, part string
	checks       atomic.Int32 // that have ended
	mostSent     atomic.Int64 // bytes of the longest answer that a node took
}

func (h *healthBackend) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		sent, err := io.WriteString(c, h.answer)
		for err == nil && h.part != "" && sent < endlessCheckBytes {
			_, err = io.WriteString(c, h.part)
			sent += len(h.part)
		}
		h.mostSent.Store(max(h.mostSent.Load(), int64(sent)))
		h.checks.Add(1)
		if err != nil || h.part != "" {
			return
		}
	}
}

// Guards against an answer to a health check that is none and brings the back end into use, and against one without end that the
// node reads for as long as the check may take, several times a second.
func TestBrokenHealthAnswerFindsNoInstance(t *testing.T) {
	const fields = "Test-Instance: i-1\r\nTest-Load: 0,0,4,100\r\n"
	const seen = 4 // health checks after which the answer should have had its effect
	for name, h := range map[string]*healthBackend{
		"valid":                         {answer: "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n"},
		"status 000":                    {answer: "HTTP/1.1 000 OK\r\n" + fields + "Content-Length: 0\r\n\r\n"},
		"blank in a name":               {answer: "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + fields + "Content-Length: 0\r\n\r\n"},
		"blank behind the ID":           {answer: "HTTP/1.1 200 OK\r\nTest-Instance : i-1\r\nContent-Length: 0\r\n\r\n"},
		"control byte in a name":        {answer: "HTTP/1.1 200 OK\r\nX\x01: 1\r\n" + fields + "Content-Length: 0\r\n\r\n"},
		"no HTTP, without end":          {answer: "x", part: strings.Repeat("x", 64<<10)},
		"header without end":            {answer: "HTTP/1.1 200 OK\r\n" + fields, part: "X-A: " + strings.Repeat("a", 64<<10) + "\r\n"},
		"chunks without end":            {answer: "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", part: "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"},
		"body without end, no length":   {answer: "HTTP/1.1 200 OK\r\n" + fields + "\r\n", part: strings.Repeat("x", 64<<10)},
		"body without end, long length": {answer: "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 1000000000\r\n\r\n", part: strings.Repeat("x", 64<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctl := newFakeControl()
			ctl.state.RulesText, ctl.state.Revision = poolRules, 2
			node := startNode(t, ctl, poolSettings(t, "desk-node", &rawBackend{ln: serveConns(t, h.serve)}))
			eventually(t, "the node has checked the back end", func() bool {
				return h.checks.Load() >= seen || node.fetchStatus().Backend.Name != ""
			})
			if got, want := node.fetchStatus().Backend.Name != "", name == "valid"; got != want {
				t.Errorf("the node uses the back end: %v, want %v", got, want)
			}
			if sent := h.mostSent.Load(); sent >= endlessCheckBytes {
				t.Errorf("the node took an answer of %d MiB", sent>>20)
			}
		})
	}
}
