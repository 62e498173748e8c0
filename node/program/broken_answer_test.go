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
	return &rawBackend{ln: serveConns(t, func(c net.Conn) { serveScript(c, script) })}
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

// exchangeRaw sends a request on a connection of its own and returns every byte of the response.
func exchangeRaw(t *testing.T, node *testNode, method, path, id string) string {
	t.Helper()
	c, err := net.Dial("tcp", node.settings.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: desk.example\r\nTest-Request: %s\r\nTest-Deadline: 1500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", method, path, id)
	raw, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// brokenHeads are answers that are none, by what is wrong with them; %s stands for the ID of the request. Their lines and bodies
// hold backendMark.
var brokenHeads = map[string]string{
	"status 000":                     "HTTP/1.1 000 x\r\nTest-Request: %s\r\nTest-Seal: s\r\nContent-Length: 4\r\n\r\nmark",
	"status 000 without a reason":    "HTTP/1.1 000\r\nTest-Request: %s\r\nTest-Seal: s\r\nContent-Length: 4\r\n\r\nmark",
	"status 000, then a whole one":   "HTTP/1.1 000 x\r\n\r\nHTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nContent-Length: 4\r\n\r\nmark",
	"blank in a name":                "HTTP/1.1 200 OK\r\nX Y: mark\r\nTest-Request: %s\r\nTest-Seal: s\r\nContent-Length: 4\r\n\r\nmark",
	"blank behind a name":            "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nX-Mark : mark\r\nContent-Length: 4\r\n\r\nmark",
	"blank behind the length":        "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nContent-Length : 4\r\n\r\nmark and more",
	"blank behind the encoding":      "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nmark\r\n0\r\n\r\n",
	"blank behind the seal":          "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal : s\r\nContent-Length: 4\r\n\r\nmark",
	"tab behind a name":              "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nX-Mark\t: mark\r\nContent-Length: 4\r\n\r\nmark",
	"NUL in a name":                  "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nX\x00Mark: mark\r\nContent-Length: 4\r\n\r\nmark",
	"control byte in a name":         "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nX\x01Mark: mark\r\nContent-Length: 4\r\n\r\nmark",
	"control byte in the length":     "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nContent\x0b-Length: 4\r\n\r\nmark",
	"carriage return in a name":      "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nX\rMark: mark\r\nContent-Length: 4\r\n\r\nmark",
	"line feed in a name":            "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nX\nMark: mark\r\nContent-Length: 4\r\n\r\nmark",
	"DEL in a name":                  "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nX\x7fMark: mark\r\nContent-Length: 4\r\n\r\nmark",
	"byte above ASCII in a name":     "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nX\xa0Mark: mark\r\nContent-Length: 4\r\n\r\nmark",
	"no name":                        "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\n: mark\r\nContent-Length: 4\r\n\r\nmark",
	"no colon":                       "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nmark\r\nContent-Length: 4\r\n\r\nmark",
	"folded line":                    "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nX-Mark: a\r\n mark\r\nContent-Length: 4\r\n\r\nmark",
	"control byte in a value":        "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nX-Mark: \x01mark\r\nContent-Length: 4\r\n\r\nmark",
	"first line blank":               "HTTP/1.1 200 OK\r\n X-Mark: mark\r\nTest-Request: %s\r\nTest-Seal: s\r\nContent-Length: 4\r\n\r\nmark",
	"blank in a name, interim":       "HTTP/1.1 103 Early Hints\r\nX Y: mark\r\n\r\nHTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Seal: s\r\nContent-Length: 4\r\n\r\nmark",
	"not run, but blank in a name":   "HTTP/1.1 503 Full\r\nTest-Request: %s\r\nTest-Refused: 1\r\nX Y: mark\r\nContent-Length: 4\r\n\r\nmark",
	"not run, but the status is 000": "HTTP/1.1 000 Full\r\nTest-Request: %s\r\nTest-Refused: 1\r\nContent-Length: 4\r\n\r\nmark",
}

// backendMark is in the lines and bodies of brokenHeads.
const backendMark = "mark"

// Guards against an answer with an impossible status or a malformed field name that callers get as an answer, with that line or
// with a body that is not the back end's, and against one that is taken as proof that a booking did not run.
func TestBrokenHeadReachesNoCaller(t *testing.T) {
	b := newRawBackend(t)
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
	entry, destination := startPoolPair(t, b)
	sequence := 1
	for name, head := range brokenHeads {
		b.setReply(func(r *http.Request) (string, bool) { return fmt.Sprintf(head, r.Header.Get("Test-Request")), true })
		for _, node := range []*testNode{entry, destination} {
			for _, request := range []string{"GET /read/1", "POST /book/1"} {
				sequence++
				destination.sendHeartbeat(t, "i-1", b, "ready", sequence) // a broken connection counts as a restart until the next report
				method, path, _ := strings.Cut(request, " ")
				before := len(b.requests())
				got := exchangeRaw(t, node, method, path, "own")
				if !strings.HasPrefix(got, "HTTP/1.1 502 ") || strings.Contains(got, backendMark) {
					t.Errorf("%s, %s at %s: the caller got %q", name, request, node.settings.Name, got)
				}
				if n := len(b.requests()) - before; method == http.MethodPost && n != 1 {
					t.Errorf("%s, %s at %s: reached the back end %d times", name, request, node.settings.Name, n)
				}
			}
		}
	}
}
