package program_test

import (
	"net/http"
	"regexp"
	"strings"
	"testing"
)

// Guards against metrics and status fields that operators need and the node does not publish.
func TestMetricsAndStatus(t *testing.T) {
	f := newFakeBackend(t, nil)
	entry, destination := startPair(t, newFakeControl(), f)
	sendRequest(t, entry, "POST", "/reserve", "x", nil)
	raw := entry.fetchMetrics(t)
	for _, want := range []string{
		`calls_total\{.*outcome="answered".*service="desk"\} [1-9]`, `call_latency_seconds_count\{.*service="desk"\} [1-9]`,
		`call_added_seconds_count\{.*\} [1-9]`, `admission_limit\{.*\} \d`, `admission_inflight\{`, `admission_queued\{`,
		`rules_revision\{.*\} 1\n`, `rules_age\{.*\} \d`, `responses_mismatched\{.*\} 0\n`,
	} {
		if !regexp.MustCompile(want).MatchString(raw) {
			t.Errorf("no line matches %s", want)
		}
	}
	s := destination.fetchStatus()
	if s.Backend.Name != "desk-1" || s.Backend.State != "ready" || s.Backend.Limit == 0 || s.Rules.ChangeNumber != 1 || s.MemberCount != 2 {
		t.Errorf("status %+v", s)
	}
	eventually(t, "the back end has been probed", func() bool { return f.probes.Load() > 0 })
}

// Guards against an invalid announcement that is accepted, and against a back end that gets requests after its lease expired.
func TestAnnouncementValidationAndLease(t *testing.T) {
	f := newFakeBackend(t, nil)
	node := startNode(t, newFakeControl(), testSettings(t, "node"))
	for _, body := range []string{
		``, `{}`, `{"name":"a","service":"desk","address":"here","state":"ready"}`,
		`{"name":"a","service":"desk","address":"127.0.0.1:1","state":"fine"}`,
		`{"name":"a","service":"desk","address":"127.0.0.1:1","state":"ready","zone":"other"}`,
		`{"name":"a","service":"desk","address":"127.0.0.1:1","state":"ready","colour":1}`,
		`{"name":"a","service":"desk","address":"127.0.0.1:1","state":"ready","slots":-1}`,
	} {
		resp, err := http.Post("http://"+node.settings.LocalAddress.String()+"/announce", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 400 || node.fetchStatus().Backend.State != "absent" {
			t.Errorf("%s: status %d, back end %s", body, resp.StatusCode, node.fetchStatus().Backend.State)
		}
	}
	node.announce(t, f, "desk-1", "ready")
	if got := node.fetchStatus().Backend.State; got != "ready" {
		t.Errorf("announced: %s", got)
	}
	eventually(t, "the lease has expired", func() bool { return node.fetchStatus().Backend.State == "absent" })
	resp := sendRequest(t, node, "POST", "/reserve", "", nil)
	if resp.StatusCode != 503 || resp.Header.Get("Pollenhill-Outcome") != "not-run" {
		t.Errorf("after the lease: %d %v", resp.StatusCode, resp.Header)
	}
}
