package program_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// newScriptedBackend returns a TCP back end that answers health checks and leaves every other request to a script, which gets the
// connection behind the request header. The connection closes when the script returns.
func newScriptedBackend(t *testing.T, script func(c net.Conn, header *http.Request)) *rawBackend {
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
			go serveScript(c, script)
		}
	}()
	return &rawBackend{ln: ln}
}

func serveScript(c net.Conn, script func(c net.Conn, header *http.Request)) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path != "/health" {
			script(c, req)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Instance: i-1\r\nTest-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n")
	}
}

// startPairWithRules starts an entry node and a destination node beside b, and waits until callers of both reach the back end's node.
func startPairWithRules(t *testing.T, b *rawBackend, rules string) (entry, destination *testNode) {
	t.Helper()
	ctl := newFakeControl()
	ctl.state.RulesText, ctl.state.Revision = rules, 2
	destination = startNode(t, ctl, poolSettings(t, "desk-node", b))
	destination.sendHeartbeat(t, "i-1", b, "ready", 1)
	cfg := testSettings(t, "entry")
	cfg.Headers, cfg.Limits.Guarantee503 = testHeaders, true
	entry = startNode(t, ctl, cfg)
	eventually(t, "the entry node knows the back end", func() bool {
		return entry.fetchStatus().MemberCount > 0 && destination.fetchStatus().Backend.State == "ready"
	})
	return entry, destination
}

const (
	uploadLength = 900 << 10 // bytes; more than the buffers of a connection take, so that a part is unwritten while the back end answers
	uploadTries  = 40        // the reset and the end of the stream race in the node
)

// Guards against an early answer without a length, cut by a reset while the upload is being written, that callers get as whole:
// the write consumes the error of the connection, and the read sees a clean end (MIXED).
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	b := newScriptedBackend(t, func(c net.Conn, header *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\n\r\nfirst part", header.Header.Get("Test-Request"))
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	entry, destination := startPairWithRules(t, b, uploadRules)
	for _, node := range []*testNode{entry, destination} {
		whole := 0
		for i := range uploadTries {
			id := fmt.Sprintf("%s-%d", node.settings.Name, i)
			resp := sendUpload(t, node, id)
			if resp.StatusCode == http.StatusOK && resp.err == nil {
				whole++
			}
			destination.sendHeartbeat(t, "i-1", b, "ready", 2+i)
		}
		if whole > 0 {
			t.Errorf("%s: %d of %d cut answers look whole", node.settings.Name, whole, uploadTries)
		}
	}
}

// sendUpload sends an upload; a connection that ends without a response counts as a response with an error.
func sendUpload(t *testing.T, node *testNode, id string) response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+node.settings.CallerAddress.String()+"/send/1", strings.NewReader(strings.Repeat("b", uploadLength)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "desk.example"
	req.Header.Set("Test-Request", id)
	req.Header.Set("Test-Deadline", "4000")
	resp, err := callerTransport.RoundTrip(req)
	if err != nil {
		return response{Response: &http.Response{}, err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{Response: resp, body: string(raw), err: err}
}
