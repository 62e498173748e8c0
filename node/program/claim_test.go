package program_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/control"
)

func keyed(key string) map[string]string {
	return map[string]string{"Idempotency-Key": key, "Pollenhill-Deadline": "700"}
}

// Guards against a second run of a keyed reservation, a replay that differs from the first response, and
// a key that serves two different requests.
func TestKeyedReservationRunsOnce(t *testing.T) {
	f := newFake(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte(`{"boat":3}`))
	})
	g := newGroup()
	entry := start(t, g, config(t, "entry"))
	destination := start(t, g, config(t, "destination"))
	destination.keep(t, f, "desk-1")
	eventually(t, "entry node answers", func() bool { return send(t, entry, "GET", "/warm", "", nil).StatusCode == 201 })
	for i, v := range []*vm{entry, entry, destination} {
		resp := send(t, v, "POST", "/reserve", "boat 3", keyed("k1"))
		if resp.StatusCode != 201 || resp.body != `{"boat":3}` || resp.Header.Get("Content-Type") != "application/json" {
			t.Errorf("request %d: %d %q %v", i, resp.StatusCode, resp.body, resp.Header)
		}
		eventually(t, "the answer is recorded", func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.claims["k1"].answer != nil
		})
	}
	resp := send(t, entry, "POST", "/reserve", "boat 4", keyed("k1"))
	if resp.StatusCode != 422 || resp.Header.Get("Pollenhill-Outcome") != "not-run" {
		t.Errorf("other request with the key: %d %v", resp.StatusCode, resp.Header)
	}
	if got := f.ran("POST /reserve"); got != 1 {
		t.Errorf("%d runs", got)
	}
}

// Guards against two runs when resends race through different nodes.
func TestConcurrentResendsRunOnce(t *testing.T) {
	f := newFake(t, nil)
	entry, destination := pair(t, newGroup(), f)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			v := entry
			if i%2 == 0 {
				v = destination
			}
			resp := send(t, v, "POST", "/reserve", "x", map[string]string{"Idempotency-Key": "k"})
			if resp.StatusCode != 200 || resp.body != "echo x" {
				t.Errorf("%d %q", resp.StatusCode, resp.body)
			}
		})
	}
	wg.Wait()
	if got := f.ran("POST /reserve"); got != 1 {
		t.Errorf("%d runs", got)
	}
}

// Guards against a key that is given up although its request may have run, or kept although it did not run.
func TestClaimAfterFault(t *testing.T) {
	tests := map[string]struct {
		answer        http.HandlerFunc
		first, second int
		outcome       string
		runs          int
		kept          bool // the claim stays after the first request
	}{
		"unknown":    {hijack(""), 502, 409, "unknown", 1, true},
		"not run":    {refuses("not-run"), 503, 503, "not-run", 2, false},
		"cut answer": {hijack("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello"), 502, 409, "unknown", 1, true},
		"late":       {late, 504, 409, "unknown", 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == "POST" {
					test.answer(w, r)
				}
			})
			g := newGroup()
			entry, _ := pair(t, g, f)
			for _, want := range []int{test.first, test.second} {
				resp := send(t, entry, "POST", "/reserve", "x", keyed("k"))
				if resp.StatusCode != want || resp.Header.Get("Pollenhill-Outcome") != test.outcome {
					t.Errorf("status %d, want %d, outcome %q", resp.StatusCode, want, resp.Header.Get("Pollenhill-Outcome"))
				}
				if !test.kept {
					eventually(t, "the claim is given up", func() bool { return !g.holds("k") })
				}
			}
			if got := f.ran("POST /reserve"); got != test.runs || g.holds("k") != test.kept {
				t.Errorf("%d runs, claim kept: %v", got, g.holds("k"))
			}
		})
	}
}

func (g *group) holds(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.claims[key]
	return ok
}

// cutOff is a group that its nodes cannot reach for claims.
type cutOff struct{ *group }

func (cutOff) Claim(ctx context.Context, _ *control.ClaimRequest) (*control.ClaimResponse, error) {
	<-ctx.Done()
	return nil, errors.New("no quorum")
}

// Guards against a keyed reservation that runs without a claim, against other requests that need one, and against a
// "not run" that overlooks an earlier request with the key, which only the group could tell of.
func TestWithoutQuorumKeyedRequestsAreRefused(t *testing.T) {
	f := newFake(t, nil)
	g := cutOff{newGroup()}
	v := start(t, g, config(t, "node"))
	v.keep(t, f, "desk-1")
	eventually(t, "node answers", func() bool { return send(t, v, "POST", "/free", "", nil).StatusCode == 200 })
	resp := send(t, v, "POST", "/reserve", "x", keyed("k"))
	if resp.StatusCode != 503 || resp.Header.Get("Pollenhill-Outcome") != "unknown" || !strings.Contains(resp.Header.Get("Proxy-Status"), "no-quorum") {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	if got := f.ran("POST /reserve"); got != 0 {
		t.Errorf("%d runs", got)
	}
}

// Guards against a large answer whose replay would lack a part: it is delivered but not recorded.
func TestLargeAnswerIsNotReplayed(t *testing.T) {
	large := strings.Repeat("x", 40<<10)
	f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			_, _ = w.Write([]byte(large))
		}
	})
	entry, _ := pair(t, newGroup(), f)
	if resp := send(t, entry, "POST", "/reserve", "x", keyed("k")); resp.StatusCode != 200 || resp.body != large {
		t.Errorf("first: %d, %d bytes", resp.StatusCode, len(resp.body))
	}
	began := time.Now()
	resp := send(t, entry, "POST", "/reserve", "x", keyed("k"))
	if resp.StatusCode != 409 || resp.Header.Get("Pollenhill-Outcome") != "unknown" {
		t.Errorf("second: %d after %v", resp.StatusCode, time.Since(began))
	}
	if got := f.ran("POST /reserve"); got != 1 {
		t.Errorf("%d runs", got)
	}
}
