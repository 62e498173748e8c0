package program_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawResponse returns a handler that writes raw bytes and closes the connection.
func rawResponse(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = buf.WriteString(raw)
		_ = buf.Flush()
	}
}

// Guards against a truncated response that looks complete to the caller, an unknown outcome that is retried or reported as
// not-run, and a refusal by the back end that is not recognized as one.
func TestBackendFaults(t *testing.T) { withAndWithoutTLS(t, backendFaults) }

func backendFaults(t *testing.T, issuer tlsIssuer) {
	const reset = ""
	tests := map[string]struct {
		handler   http.HandlerFunc
		method    string
		status    int
		outcome   string
		runs      int  // at the back end, for each of the two nodes
		truncated bool // the caller gets an error from the body
	}{
		"reset before the response":                {rawResponse(reset), "POST", 502, "unknown", 1, false},
		"not HTTP":                                 {rawResponse("hello\r\n\r\n"), "POST", 502, "unknown", 1, false},
		"status 000":                               {rawResponse("HTTP/1.1 000 x\r\nContent-Length: 5\r\n\r\nhello"), "POST", 502, "unknown", 1, false},
		"blank in a field name":                    {rawResponse("HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 5\r\n\r\nhello"), "POST", 502, "unknown", 1, false},
		"control byte in a field name":             {rawResponse("HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 5\r\n\r\nhello"), "POST", 502, "unknown", 1, false},
		"no framing":                               {rawResponse("HTTP/1.1 200 OK\r\n\r\nhello"), "POST", 502, "unknown", 1, false},
		"small body truncated":                     {rawResponse("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"), "POST", 502, "unknown", 1, false},
		"large body truncated":                     {rawResponse("HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("x", 50000)), "POST", 200, "answered", 1, true},
		"truncated in a chunk":                     {rawResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello"), "POST", 200, "answered", 1, true},
		"truncated between chunks":                 {rawResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"), "POST", 200, "answered", 1, true},
		"refused as not run":                       {refuseWith503("not-run"), "POST", 503, "not-run", 1, false},
		"passes on a refusal with outcome unknown": {refuseWith503("unknown"), "POST", 502, "unknown", 1, false},
		"failure of the back end":                  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, "POST", 500, "answered", 1, false},
		"deadline passed, not idempotent":          {waitForCancel, "POST", 504, "unknown", 1, false},
		"deadline passed, idempotent":              {waitForCancel, "GET", 504, "unknown", 1, false},
		"misleading outcome":                       {answerWithOutcome, "POST", 200, "answered", 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/warm" {
					test.handler(w, r)
				}
			})
			entry, destination := startPair(t, newFakeControl(), f, issuer)
			for i, node := range []*testNode{entry, destination} {
				path := fmt.Sprintf("/seat/%d", i)
				resp := sendRequest(t, node, test.method, path, "", map[string]string{"Pollenhill-Deadline": "300"})
				if resp.StatusCode != test.status || resp.Header.Get("Pollenhill-Outcome") != test.outcome || (resp.err != nil) != test.truncated {
					t.Errorf("%s: status %d, outcome %q, body error %v", node.settings.Name, resp.StatusCode, resp.Header.Get("Pollenhill-Outcome"), resp.err)
				}
				if got := f.runCount(test.method + " " + path); got != test.runs {
					t.Errorf("%s: %d runs, want %d", node.settings.Name, got, test.runs)
				}
				if refused := test.status > 500; refused && resp.Header.Get("Proxy-Status") == "" {
					t.Errorf("%s: no Proxy-Status", node.settings.Name)
				}
				if test.status == 503 && resp.Header.Get("Retry-After") == "" {
					t.Errorf("%s: no Retry-After", node.settings.Name)
				}
			}
		})
	}
}

// refuseWith503 returns a handler that refuses requests with the given outcome.
func refuseWith503(outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Pollenhill-Outcome", outcome)
		if outcome == "unknown" {
			w.Header().Set("Proxy-Status", `other; error=connection_terminated; details="broken"; level=3`)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// waitForCancel handles a request by waiting until the node cancels it, for at most 10 s.
func waitForCancel(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http notices a closed connection only after that
	select {
	case <-r.Context().Done():
	case <-time.After(10 * time.Second):
	}
}

// answerWithOutcome sets the outcome not-run in a response that is no refusal.
func answerWithOutcome(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Pollenhill-Outcome", "not-run")
}

// Guards against an attempt that goes on after its caller has closed the connection.
func TestClosedCallerConnectionCancelsAttempt(t *testing.T) {
	withAndWithoutTLS(t, closedCallerConnectionCancelsAttempt)
}

func closedCallerConnectionCancelsAttempt(t *testing.T, issuer tlsIssuer) {
	started, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	f := newFakeBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	entry, _ := startPair(t, newFakeControl(), f, issuer)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+entry.settings.CallerAddress.String()+"/slow", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "desk.example"
	done := make(chan error, 1)
	go func() {
		_, err := callerTransport.RoundTrip(req)
		done <- err
	}()
	<-started
	cancel()
	<-ended
	if err := <-done; err == nil {
		t.Error("the caller got a response after it cancelled the request")
	}
	eventually(t, "the call has ended", func() bool { return entry.fetchStatus().CallsInFlight == 0 })
}

// Guards against a refusal without the outcome not-run, or without the standard headers, when there is no back end.
func TestRefusalWithoutBackend(t *testing.T) {
	entry := startNode(t, newFakeControl(), testSettings(t, "entry"))
	eventually(t, "rules are in force", func() bool { return entry.fetchStatus().Rules.Revision == 1 })
	resp := sendRequest(t, entry, "POST", "/seat", "", nil)
	if resp.StatusCode != 503 || resp.Header.Get("Pollenhill-Outcome") != "not-run" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	resp = sendRequest(t, entry, "POST", "/seat", "", map[string]string{"Host": "x"})
	if resp.StatusCode != 503 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Guards against status 404, after which callers do not retry, from a node that has no rules yet.
func TestNodeWithoutRules(t *testing.T) {
	ctl := newFakeControl()
	ctl.state.Revision, ctl.state.RulesText = 0, ""
	resp := sendRequest(t, startNode(t, ctl, testSettings(t, "node")), "GET", "/seat", "", nil)
	if resp.StatusCode != 503 || resp.Header.Get("Pollenhill-Outcome") != "not-run" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
}

// Guards against status 404 from a node whose rules name no route yet (DENIED): a zone was evacuated before the first table. It must
// not take callers either.
func TestNodeWithoutRoutes(t *testing.T) {
	ctl := newFakeControl()
	ctl.state.Revision, ctl.state.RulesText = 1, "format 1\nchange 1 # operator: out\nevacuate b # operator: out\n"
	cfg := testSettings(t, "node")
	cfg.ReadyAddress = freeAddress(t, cfg.Bind)
	node := startNode(t, ctl, cfg)
	eventually(t, "rules are in force", func() bool { return node.fetchStatus().Rules.Revision == 1 })
	resp := sendRequest(t, node, "GET", "/seat", "", nil)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Pollenhill-Outcome") != "not-run" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	ready, err := http.Get("http://" + cfg.ReadyAddress.String() + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	ready.Body.Close()
	if ready.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("ready: status %d", ready.StatusCode)
	}
	ctl.setRules(2, poolRules)
	eventually(t, "the table is in force", func() bool { return node.fetchStatus().Rules.Revision == 2 })
	if resp := sendRequest(t, node, "GET", "/none", "", nil); resp.StatusCode != http.StatusNotFound {
		t.Errorf("no such route: status %d", resp.StatusCode)
	}
}
