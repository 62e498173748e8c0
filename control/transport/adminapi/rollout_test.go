package adminapi_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"pollenhill.example/control/transport/adminapi"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/rule"
)

const rolloutJSON = `{"service":"s 1","target":"v2","within":12.5}`

// Guards against an order for a rollout that is refused when it is sent again, one that is acknowledged without a quorum or
// although it cannot be carried out, and a state that is read without a quorum.
func TestRolloutStatusCodes(t *testing.T) {
	g := &fakeGroup{replica: replica.New(replica.Config{})}
	mux := http.NewServeMux()
	(&adminapi.Handler{Group: g, Origin: "c1"}).Register(mux)
	steps := []struct {
		name, method, path, body string
		noQuorum                 bool
		want                     int
		response                 string
	}{
		{"read before the order", "GET", "/rollouts/s%201", "", false, 404, ""},
		{"no quorum", "POST", "/rollouts", rolloutJSON, true, 503, ""},
		{"order", "POST", "/rollouts", rolloutJSON, false, 200, ""},
		{"the same order again", "POST", "/rollouts", rolloutJSON, false, 200, ""},
		{"read", "GET", "/rollouts/s%201", "", false, 200, `{"state":"advancing","target":"v2"}`},
		{"read without a quorum", "GET", "/rollouts/s%201", "", true, 503, ""},
		{"truncated", "POST", "/rollouts", rolloutJSON[:20], false, 400, ""},
		{"no service", "POST", "/rollouts", `{"target":"v2","within":12}`, false, 400, ""},
		{"no target", "POST", "/rollouts", `{"service":"s","within":12}`, false, 400, ""},
		{"no time", "POST", "/rollouts", `{"service":"s","target":"v2"}`, false, 400, ""},
		{"time of another type", "POST", "/rollouts", `{"service":"s","target":"v2","within":"12"}`, false, 400, ""},
	}
	for _, s := range steps {
		g.err = nil
		if s.noQuorum {
			g.err = errors.New("no leader")
		}
		rec := httptest.NewRecorder()
		mux.ServeHTTP(rec, httptest.NewRequest(s.method, s.path, strings.NewReader(s.body)))
		if body := strings.TrimSpace(rec.Body.String()); rec.Code != s.want || s.response != "" && body != s.response {
			t.Errorf("%s: status %d, want %d: %s", s.name, rec.Code, s.want, body)
		}
	}
}

// Guards against an order for a rollout that is carried out after a newer one, because this process or its proposal was held up.
func TestOvertakenRolloutOrderIsRefused(t *testing.T) {
	g := &fakeGroup{replica: replica.New(replica.Config{})}
	other := func() {
		g.index++
		g.replica.Apply(g.index, replica.Command{
			Kind: replica.CommandOrderRollout, Service: "s 1", Target: "v3", Within: 1e9, Conditional: true, KnownOrder: g.replica.RolloutOrder("s 1"),
		})
	}
	mux := http.NewServeMux()
	(&adminapi.Handler{Group: &overtakenGroup{fakeGroup: g, others: other}}).Register(mux)
	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/rollouts", strings.NewReader(rolloutJSON)))
	set, err := rule.Parse(g.replica.Rules().Text)
	if err != nil {
		t.Fatal(err)
	}
	if current, _ := set.Rollout("s 1"); rec.Code != http.StatusServiceUnavailable || current.Target != "v3" {
		t.Errorf("status %d, target %q after the order that was overtaken", rec.Code, current.Target)
	}
}
