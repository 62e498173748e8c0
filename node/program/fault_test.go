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

// hijack answers with raw bytes and closes the connection.
func hijack(raw string) http.HandlerFunc {
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

// Guards against a cut response that looks complete to the caller, an unknown outcome that is retried
// or reported as not run, and a refusal by the back end that is not taken for one.
func TestBackendFaults(t *testing.T) { transports(t, backendFaults) }

func backendFaults(t *testing.T, files issue) {
	const reset = ""
	tests := map[string]struct {
		answer  http.HandlerFunc
		method  string
		status  int
		outcome string
		runs    int  // at the back end
		cut     bool // the body fails at the caller
	}{
		"reset before the response": {hijack(reset), "POST", 502, "unknown", 1, false},
		"not HTTP":                  {hijack("hello\r\n\r\n"), "POST", 502, "unknown", 1, false},
		"no framing":                {hijack("HTTP/1.1 200 OK\r\n\r\nhello"), "POST", 502, "unknown", 1, false},
		"cut, small":                {hijack("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"), "POST", 502, "unknown", 1, false},
		"cut, large":                {hijack("HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("x", 50000)), "POST", 200, "answered", 1, true},
		"cut in a chunk":            {hijack("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello"), "POST", 200, "answered", 1, true},
		"cut between chunks":        {hijack("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"), "POST", 200, "answered", 1, true},
		"refused as not run":        {refuses("not-run"), "POST", 503, "not-run", 1, false},
		"passes on unknown":         {refuses("unknown"), "POST", 502, "unknown", 1, false},
		"fails by itself":           {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, "POST", 500, "answered", 1, false},
		"late, not idempotent":      {late, "POST", 504, "unknown", 1, false},
		"late, idempotent":          {late, "GET", 504, "unknown", 1, false},
		"misleading outcome":        {misleads, "POST", 200, "answered", 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/warm" {
					test.answer(w, r)
				}
			})
			entry, destination := pair(t, newGroup(), f, files)
			for i, v := range []*vm{entry, destination} {
				path := fmt.Sprintf("/seat/%d", i)
				resp := send(t, v, test.method, path, "", map[string]string{"Pollenhill-Deadline": "300"})
				if resp.StatusCode != test.status || resp.Header.Get("Pollenhill-Outcome") != test.outcome || (resp.err != nil) != test.cut {
					t.Errorf("%s: status %d, outcome %q, body error %v", v.settings.Name, resp.StatusCode, resp.Header.Get("Pollenhill-Outcome"), resp.err)
				}
				if got := f.ran(test.method + " " + path); got != test.runs {
					t.Errorf("%s: %d runs, want %d", v.settings.Name, got, test.runs)
				}
				if refused := test.status > 500; refused && resp.Header.Get("Proxy-Status") == "" {
					t.Errorf("%s: no Proxy-Status", v.settings.Name)
				}
				if test.status == 503 && resp.Header.Get("Retry-After") == "" {
					t.Errorf("%s: no Retry-After", v.settings.Name)
				}
			}
		})
	}
}

func refuses(outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Pollenhill-Outcome", outcome)
		if outcome == "unknown" {
			w.Header().Set("Proxy-Status", `other; error=connection_terminated; details="broken"; level=3`)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// late waits until the node gives up.
func late(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http watches the connection only after that
	select {
	case <-r.Context().Done():
	case <-time.After(10 * time.Second):
	}
}

// misleads names an outcome in a response that is no refusal.
func misleads(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Pollenhill-Outcome", "not-run")
}

// Guards against work that goes on for a caller that has left.
func TestCallerThatLeavesCancelsItsAttempt(t *testing.T) {
	transports(t, callerThatLeavesCancelsItsAttempt)
}

func callerThatLeavesCancelsItsAttempt(t *testing.T, files issue) {
	started, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	f := newFake(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	entry, _ := pair(t, newGroup(), f, files)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+entry.settings.CallerAddress.String()+"/slow", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "desk.example"
	done := make(chan error, 1)
	go func() {
		_, err := callers.RoundTrip(req)
		done <- err
	}()
	<-started
	cancel()
	<-ended
	if err := <-done; err == nil {
		t.Error("the caller got a response after it left")
	}
	eventually(t, "the call is forgotten", func() bool { return entry.status().CallsInFlight == 0 })
}

// Guards against a refusal that says "not run" without a destination, and against one that lacks the standard headers.
func TestRefusalWithoutBackend(t *testing.T) {
	entry := start(t, newGroup(), config(t, "entry"))
	eventually(t, "rules are in force", func() bool { return entry.status().Rules.Revision == 1 })
	resp := send(t, entry, "POST", "/seat", "", nil)
	if resp.StatusCode != 503 || resp.Header.Get("Pollenhill-Outcome") != "not-run" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	resp = send(t, entry, "POST", "/seat", "", map[string]string{"Host": "x"})
	if resp.StatusCode != 503 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Guards against 404, which callers do not repeat, from a node that has no rules yet.
func TestNodeWithoutRules(t *testing.T) {
	g := newGroup()
	g.state.Revision, g.state.RulesText = 0, ""
	resp := send(t, start(t, g, config(t, "node")), "GET", "/seat", "", nil)
	if resp.StatusCode != 503 || resp.Header.Get("Pollenhill-Outcome") != "not-run" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
}
