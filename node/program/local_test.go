package program_test

import (
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
)

// Guards against figures that operators look for and the node does not publish.
func TestMetricsAndStatus(t *testing.T) {
	f := newFake(t, nil)
	entry, destination := pair(t, newGroup(), f)
	send(t, entry, "POST", "/reserve", "x", nil)
	resp, err := http.Get("http://" + entry.settings.LocalAddress.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`calls_total\{.*outcome="answered".*service="desk"\} [1-9]`, `call_latency_seconds_count\{.*service="desk"\} [1-9]`,
		`call_added_seconds_count\{.*\} [1-9]`, `admission_limit\{.*\} \d`, `admission_inflight\{`, `admission_queued\{`,
		`rules_revision\{.*\} 1\n`, `rules_age\{.*\} \d`, `responses_mismatched\{.*\} 0\n`,
	} {
		if !regexp.MustCompile(want).Match(raw) {
			t.Errorf("no line matches %s", want)
		}
	}
	s := destination.status()
	if s.Backend.Name != "desk-1" || s.Backend.State != "ready" || s.Backend.Limit == 0 || s.Rules.ChangeNumber != 1 || s.MemberCount != 2 {
		t.Errorf("status %+v", s)
	}
	eventually(t, "the back end is checked", func() bool { return f.checks.Load() > 0 })
}

// Guards against an announcement that is wrong and accepted, and against a back end that stays in service after its lease.
func TestAnnouncements(t *testing.T) {
	f := newFake(t, nil)
	v := start(t, newGroup(), config(t, "node"))
	for _, body := range []string{
		``, `{}`, `{"name":"a","service":"desk","address":"here","state":"ready"}`,
		`{"name":"a","service":"desk","address":"127.0.0.1:1","state":"fine"}`,
		`{"name":"a","service":"desk","address":"127.0.0.1:1","state":"ready","zone":"other"}`,
		`{"name":"a","service":"desk","address":"127.0.0.1:1","state":"ready","colour":1}`,
		`{"name":"a","service":"desk","address":"127.0.0.1:1","state":"ready","slots":-1}`,
	} {
		resp, err := http.Post("http://"+v.settings.LocalAddress.String()+"/announce", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 400 || v.status().Backend.State != "absent" {
			t.Errorf("%s: status %d, back end %s", body, resp.StatusCode, v.status().Backend.State)
		}
	}
	v.announce(t, f, "desk-1", "ready")
	if got := v.status().Backend.State; got != "ready" {
		t.Errorf("announced: %s", got)
	}
	eventually(t, "the lease ends", func() bool { return v.status().Backend.State == "absent" })
	resp := send(t, v, "POST", "/reserve", "", nil)
	if resp.StatusCode != 503 || resp.Header.Get("Pollenhill-Outcome") != "not-run" {
		t.Errorf("after the lease: %d %v", resp.StatusCode, resp.Header)
	}
}
