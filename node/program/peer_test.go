package program_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"
)

// attemptAt sends an attempt or a cancel to the peer port of v as another node would.
func attemptAt(t *testing.T, v *vm, path, id string, incarnation uint64, service string) answer {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+v.settings.PeerAddress.String()+path, http.NoBody)
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
	resp, err := callers.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{Response: resp, body: string(raw), err: err}
}

// Guards against an attempt that runs after it was cancelled, in another incarnation or twice, and against a
// verdict on it that is not true.
func TestPeerPort(t *testing.T) {
	f := newFake(t, nil)
	v := start(t, newGroup(), config(t, "node"))
	v.keep(t, f, "desk-1")
	eventually(t, "node answers", func() bool { return send(t, v, "GET", "/warm", "", nil).StatusCode == 200 })
	incarnation := v.status().Incarnation
	steps := []struct {
		name, path, id string
		incarnation    uint64
		service        string
		status         int
		outcome        string
		runs           int // of path, after the step
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
		resp := attemptAt(t, v, s.path, s.id, s.incarnation, s.service)
		if resp.StatusCode != s.status || resp.Header.Get("Pollenhill-Outcome") != s.outcome {
			t.Errorf("%s: status %d, outcome %q", s.name, resp.StatusCode, resp.Header.Get("Pollenhill-Outcome"))
		}
		if got := resp.Header.Get("Pollenhill-Attempt"); got != s.id {
			t.Errorf("%s: answer to attempt %q", s.name, got)
		}
		if got := f.ran("POST " + s.path); got != s.runs {
			t.Errorf("%s: %d runs, want %d", s.name, got, s.runs)
		}
	}
}

// Guards against rules that a peer cannot fetch, or fetches although it has them.
func TestPeerRules(t *testing.T) {
	v := start(t, newGroup(), config(t, "node"))
	eventually(t, "rules are in force", func() bool { return v.status().Rules.Revision == 1 })
	for after, want := range map[string]struct {
		status int
		body   string
	}{"0": {200, rules}, "1": {204, ""}, "x": {400, ""}} {
		resp, err := http.Get("http://" + v.settings.PeerAddress.String() + "/rules?after=" + after)
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
