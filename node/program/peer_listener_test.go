package program_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"
)

// sendToPeer sends an attempt, or a cancel if service is empty, to the peer listener of node as another node would.
func sendToPeer(t *testing.T, node *testNode, path, id string, incarnation uint64, service string) response {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+node.settings.PeerAddress.String()+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Pollenhill-Attempt", id)
	req.Header.Set("Pollenhill-Incarnation", strconv.FormatUint(incarnation, 10))
	if service != "" {
		req.Header.Set("Pollenhill-Service", service)
		req.Header.Set("Pollenhill-Deadline", "5000")
		req.Header.Set("Pollenhill-Depth", "3")
		req.Header.Set("Pollenhill-Revision", "0")
	}
	resp, err := callerTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{Response: resp, body: string(raw), err: err}
}

// Guards against an attempt that runs after it was cancelled, in another incarnation of the node or twice, and against a wrong
// outcome of an attempt or a cancel.
func TestPeerListenerAttemptsAndCancels(t *testing.T) {
	f := newFakeBackend(t, nil)
	node := startNode(t, newFakeControl(), testSettings(t, "node"))
	node.keepAnnounced(t, f, "desk-1")
	eventually(t, "node answers", func() bool { return sendRequest(t, node, "GET", "/warm", "", nil).StatusCode == 200 })
	incarnation := node.fetchStatus().Incarnation
	steps := []struct {
		name, path, id string
		incarnation    uint64
		service        string
		status         int
		outcome        string
		runs           int // of requests with this path, after the step
	}{
		{"other incarnation", "/a", "e/1/1", incarnation - 1, "desk", 503, "not-run", 0},
		{"attempt", "/b", "e/1/2", incarnation, "desk", 200, "answered", 1},
		{"copy", "/b", "e/1/2", incarnation, "desk", 503, "unknown", 1},
		{"cancel of a finished one", "/cancel", "e/1/2", incarnation, "", 200, "started", 0},
		{"cancel before arrival", "/cancel", "e/1/3", incarnation, "", 200, "not-run", 0},
		{"late arrival", "/c", "e/1/3", incarnation, "desk", 503, "not-run", 0},
		{"cancel in another incarnation", "/cancel", "e/1/4", incarnation - 1, "", 200, "unknown", 0},
		{"other service", "/d", "e/1/5", incarnation, "fit", 503, "not-run", 0},
		{"bad ID", "/e", "e", incarnation, "desk", 400, "not-run", 0},
		{"path of a cancel as an attempt", "/cancel", "e/1/6", incarnation, "desk", 200, "answered", 1},
	}
	for _, s := range steps {
		resp := sendToPeer(t, node, s.path, s.id, s.incarnation, s.service)
		if resp.StatusCode != s.status || resp.Header.Get("Pollenhill-Outcome") != s.outcome {
			t.Errorf("%s: status %d, outcome %q", s.name, resp.StatusCode, resp.Header.Get("Pollenhill-Outcome"))
		}
		if got := resp.Header.Get("Pollenhill-Attempt"); got != s.id {
			t.Errorf("%s: response to attempt %q", s.name, got)
		}
		if got := f.runCount("POST " + s.path); got != s.runs {
			t.Errorf("%s: %d runs, want %d", s.name, got, s.runs)
		}
	}
}

// Guards against a peer that cannot fetch the rules, or gets their text although it has them.
func TestPeerListenerServesRules(t *testing.T) {
	node := startNode(t, newFakeControl(), testSettings(t, "node"))
	eventually(t, "rules are in force", func() bool { return node.fetchStatus().Rules.Revision == 1 })
	for after, want := range map[string]struct {
		status int
		body   string
	}{"0": {200, testRules}, "1": {204, ""}, "x": {400, ""}} {
		resp, err := http.Get("http://" + node.settings.PeerAddress.String() + "/rules?after=" + after)
		if err != nil {
			t.Fatal(err)
		}
		raw, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != want.status || string(raw) != want.body {
			t.Errorf("after %s: %d %q", after, resp.StatusCode, raw)
		}
	}
}
