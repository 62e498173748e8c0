package adminapi_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/control/transport/adminapi"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/rule"
)

// evacuated reports whether the zone is evacuated by the rules in force.
func (g *fakeGroup) evacuated(zone string) bool {
	set, err := rule.Parse(g.replica.Rules().Text)
	return err == nil && slices.Contains(set.EvacuatedZones, zone)
}

// order applies an order about a zone that another control process has proposed.
func (g *fakeGroup) order(zone string, evacuate bool) {
	g.index++
	g.replica.Apply(g.index, replica.Command{
		Kind: replica.CommandSetZoneEvacuated, Zone: zone, Evacuated: evacuate, Conditional: true, KnownOrder: g.replica.ZoneOrder(zone),
	})
}

// overtakenGroup is a group in which other control processes carry out orders before each proposal of this one.
type overtakenGroup struct {
	*fakeGroup
	others func()
}

func (g *overtakenGroup) Propose(ctx context.Context, cmd replica.Command) (replica.Result, error) {
	g.others()
	return g.fakeGroup.Propose(ctx, cmd)
}

// Guards against a withdrawal that is carried out after a newer evacuation was acknowledged elsewhere, because this process was
// stopped, or its proposal was held up, in between (EVAC).
func TestOvertakenOrderIsRefused(t *testing.T) {
	g := &fakeGroup{replica: replica.New(replica.Config{})}
	g.order("z", true)
	overtaken := &overtakenGroup{fakeGroup: g, others: func() {
		g.order("z", false)
		g.order("z", true)
	}}
	mux := http.NewServeMux()
	(&adminapi.Handler{Group: overtaken}).Register(mux)
	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequest(http.MethodDelete, "/zones/z/out", nil))
	if rec.Code != http.StatusServiceUnavailable || !g.evacuated("z") {
		t.Errorf("status %d, evacuated %v after the withdrawal that was overtaken", rec.Code, g.evacuated("z"))
	}
	overtaken.others = func() {}
	rec = httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequest(http.MethodDelete, "/zones/z/out", nil))
	if rec.Code != http.StatusOK || g.evacuated("z") {
		t.Errorf("status %d, evacuated %v after a new withdrawal", rec.Code, g.evacuated("z"))
	}
}

// fixedPauses is a Pauses that gives one answer.
type fixedPauses bool

func (p fixedPauses) ResumedWithin(time.Duration) bool { return bool(p) }

// Guards against an order that waited in the kernel while this process was stopped: its caller has turned to another control
// process, and may have given newer orders there.
func TestOrderThatWaitedIsRefused(t *testing.T) {
	g := &fakeGroup{replica: replica.New(replica.Config{})}
	g.order("z", true)
	t.Run("pause of the process", func(t *testing.T) {
		mux := http.NewServeMux()
		(&adminapi.Handler{Group: g, Pauses: fixedPauses(true)}).Register(mux)
		rec := httptest.NewRecorder()
		mux.ServeHTTP(rec, httptest.NewRequest(http.MethodDelete, "/zones/z/out", nil))
		if rec.Code != http.StatusServiceUnavailable || !g.evacuated("z") {
			t.Errorf("status %d, evacuated %v", rec.Code, g.evacuated("z"))
		}
	})
	t.Run("age on the connection", func(t *testing.T) {
		mux := http.NewServeMux()
		(&adminapi.Handler{Group: g, Pauses: fixedPauses(false)}).Register(mux)
		wait := time.Second
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-time.After(wait)
			mux.ServeHTTP(w, r)
		}))
		s.Config.ConnContext = adminapi.WithConn
		s.Start()
		defer s.Close()
		for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, s.URL+"/zones/z/out", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != want || g.evacuated("z") != (want != http.StatusOK) {
				t.Errorf("waited for %v: status %d, evacuated %v", wait, resp.StatusCode, g.evacuated("z"))
			}
			wait = 0
		}
	})
	t.Run("new connection without a request", func(t *testing.T) {
		mux := http.NewServeMux()
		(&adminapi.Handler{Group: g}).Register(mux)
		s := httptest.NewUnstartedServer(mux)
		s.Config.ConnContext = adminapi.WithConn
		s.Start()
		defer s.Close()
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		in := bufio.NewReader(c)
		for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
			<-time.After(time.Second)
			fmt.Fprint(c, "PUT /zones/new/out HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != want || g.evacuated("new") != (want == http.StatusOK) {
				t.Errorf("status %d, evacuated %v, want %d", resp.StatusCode, g.evacuated("new"), want)
			}
		}
	})
	t.Run("caller gone", func(t *testing.T) {
		mux := http.NewServeMux()
		(&adminapi.Handler{Group: g}).Register(mux)
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(errors.New("caller gone"))
		rec := httptest.NewRecorder()
		mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPut, "/zones/z/out", nil).WithContext(ctx))
		if rec.Code != http.StatusServiceUnavailable || g.evacuated("z") {
			t.Errorf("status %d, evacuated %v", rec.Code, g.evacuated("z"))
		}
	})
}
