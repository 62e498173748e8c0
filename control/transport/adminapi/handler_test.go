package adminapi_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"pollenhill.example/control/transport/adminapi"
	"pollenhill.example/core/state/replica"
)

// fakeGroup is a group of one member without a log, whose calls fail while err is set.
type fakeGroup struct {
	replica *replica.Replica
	index   uint64
	err     error
}

func (g *fakeGroup) Propose(_ context.Context, cmd replica.Command) (replica.Result, error) {
	if g.err != nil {
		return replica.Result{}, g.err
	}
	g.index++
	return g.replica.Apply(g.index, cmd), nil
}

func (g *fakeGroup) Barrier(context.Context) error { return g.err }

func (g *fakeGroup) ReadReplica(f func(*replica.Replica)) { f(g.replica) }

// tableJSON returns a table with one route and one service.
func tableJSON(version int, path string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h","path":%q,"kind":"unsafe","timeout":100,"aim":10,"rank":1,"service":"s","tries":2}],"services":[{"name":"s","health":"/health","connections":10,"cold":1,"rate":2}]}`, version, path)
}

// Guards against wrong responses of the admin API: a repeated change that is refused, two accepted changes of one
// version, an invalid change that is acknowledged, and a read of a table that may not be the newest.
func TestStatusCodes(t *testing.T) {
	g := &fakeGroup{replica: replica.New(replica.Config{})}
	mux := http.NewServeMux()
	(&adminapi.Handler{Group: g, Origin: "c1"}).Register(mux)
	steps := []struct {
		name, method, path, ifMatch, body string
		noQuorum                          bool
		want                              int
	}{
		{"read before the first change", "GET", "/table", "", "", false, 200},
		{"first change", "PUT", "/table", "0", tableJSON(3, "/a/"), false, 200},
		{"repeated change", "PUT", "/table", "0", tableJSON(3, "/a/"), false, 200},
		{"same version, other bytes", "PUT", "/table", "0", tableJSON(3, "/b/"), false, 412},
		{"quoted If-Match", "PATCH", "/table", `"3"`, `{"version":7,"set":{"limits":{"header":1000,"body":1,"read":5,"idle":6}}}`, false, 200},
		{"repeated change after a later one", "PUT", "/table", "0", tableJSON(3, "/a/"), false, 200},
		{"no If-Match", "PUT", "/table", "", tableJSON(9, "/a/"), false, 400},
		{"truncated body", "PUT", "/table", "7", tableJSON(9, "/a/")[:40], false, 400},
		{"version that does not increase", "PUT", "/table", "7", tableJSON(7, "/c/"), false, 400},
		{"path without a slash", "PUT", "/table", "7", tableJSON(9, "a/"), false, 400},
		{"no quorum", "PUT", "/table", "7", tableJSON(9, "/a/"), true, 503},
		{"read without a quorum", "GET", "/table", "", "", true, 503},
		{"zone out", "PUT", "/zones/oslo-c/out", "", "", false, 200},
		{"zone out again", "PUT", "/zones/oslo-c/out", "", "", false, 200},
		{"zone back", "DELETE", "/zones/oslo-c/out", "", "", false, 200},
		{"zone without a quorum", "PUT", "/zones/oslo-c/out", "", "", true, 503},
		{"too large", "PUT", "/table", "7", `{"a":"` + strings.Repeat("x", 9<<20) + `"}`, false, 413},
	}
	for _, s := range steps {
		g.err = nil
		if s.noQuorum {
			g.err = errors.New("no leader")
		}
		req := httptest.NewRequest(s.method, s.path, strings.NewReader(s.body))
		if s.ifMatch != "" {
			req.Header.Set("If-Match", s.ifMatch)
		}
		rec := httptest.NewRecorder()
		mux.ServeHTTP(rec, req)
		if rec.Code != s.want {
			body, _ := io.ReadAll(rec.Body)
			t.Errorf("%s: status %d, want %d: %s", s.name, rec.Code, s.want, body)
		}
	}
	g.err = nil
	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequest("GET", "/table", nil))
	want := strings.TrimSuffix(tableJSON(7, "/a/"), "}") + `,"limits":{"header":1000,"body":1,"read":5,"idle":6}}`
	if rec.Body.String() != want {
		t.Errorf("read %s, want %s", rec.Body, want)
	}
}
