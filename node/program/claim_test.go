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

// keyedHeaders returns the headers of a request with an Idempotency-Key and a deadline of 700 ms.
func keyedHeaders(key string) map[string]string {
	return map[string]string{"Idempotency-Key": key, "Pollenhill-Deadline": "700"}
}

// Guards against a request with an Idempotency-Key that runs twice, a replay that differs from the first response, and a key
// that is accepted for two different requests.
func TestKeyedReservationRunsOnce(t *testing.T) {
	f := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte(`{"boat":3}`))
	})
	ctl := newFakeControl()
	entry := startNode(t, ctl, testSettings(t, "entry"))
	destination := startNode(t, ctl, testSettings(t, "destination"))
	destination.keepAnnounced(t, f, "desk-1")
	eventually(t, "entry node answers", func() bool { return sendRequest(t, entry, "GET", "/warm", "", nil).StatusCode == 201 })
	for i, node := range []*testNode{entry, entry, destination} {
		resp := sendRequest(t, node, "POST", "/reserve", "boat 3", keyedHeaders("k1"))
		if resp.StatusCode != 201 || resp.body != `{"boat":3}` || resp.Header.Get("Content-Type") != "application/json" {
			t.Errorf("request %d: %d %q %v", i, resp.StatusCode, resp.body, resp.Header)
		}
		eventually(t, "the response is recorded", func() bool {
			ctl.mu.Lock()
			defer ctl.mu.Unlock()
			return ctl.claims["k1"].answer != nil
		})
	}
	resp := sendRequest(t, entry, "POST", "/reserve", "boat 4", keyedHeaders("k1"))
	if resp.StatusCode != 422 || resp.Header.Get("Pollenhill-Outcome") != "not-run" {
		t.Errorf("other request with the key: %d %v", resp.StatusCode, resp.Header)
	}
	if got := f.runCount("POST /reserve"); got != 1 {
		t.Errorf("%d runs", got)
	}
}

// Guards against two runs of a request that its caller sends through different nodes at the same time.
func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	f := newFakeBackend(t, nil)
	entry, destination := startPair(t, newFakeControl(), f)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			node := entry
			if i%2 == 0 {
				node = destination
			}
			resp := sendRequest(t, node, "POST", "/reserve", "x", map[string]string{"Idempotency-Key": "k"})
			if resp.StatusCode != 200 || resp.body != "echo x" {
				t.Errorf("%d %q", resp.StatusCode, resp.body)
			}
		})
	}
	wg.Wait()
	if got := f.runCount("POST /reserve"); got != 1 {
		t.Errorf("%d runs", got)
	}
}

// Guards against a claim that is released although its request may have run, or kept although the request did not run.
func TestClaimAfterFault(t *testing.T) {
	tests := map[string]struct {
		handler       http.HandlerFunc
		first, second int
		outcome       string
		runs          int
		kept          bool // the claim is not released after the first request
	}{
		"unknown":            {rawResponse(""), 502, 409, "unknown", 1, true},
		"not run":            {refuseWith503("not-run"), 503, 503, "not-run", 2, false},
		"truncated response": {rawResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello"), 502, 409, "unknown", 1, true},
		"impossible status":  {rawResponse("HTTP/1.1 600 x\r\nContent-Length: 0\r\n\r\n"), 502, 409, "unknown", 1, true},
		"deadline passed":    {waitForCancel, 504, 409, "unknown", 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == "POST" {
					test.handler(w, r)
				}
			})
			ctl := newFakeControl()
			entry, _ := startPair(t, ctl, f)
			for _, want := range []int{test.first, test.second} {
				resp := sendRequest(t, entry, "POST", "/reserve", "x", keyedHeaders("k"))
				if resp.StatusCode != want || resp.Header.Get("Pollenhill-Outcome") != test.outcome {
					t.Errorf("status %d, want %d, outcome %q", resp.StatusCode, want, resp.Header.Get("Pollenhill-Outcome"))
				}
				if !test.kept {
					eventually(t, "the claim is released", func() bool { return !ctl.holdsClaim("k") })
				}
			}
			if got := f.runCount("POST /reserve"); got != test.runs || ctl.holdsClaim("k") != test.kept {
				t.Errorf("%d runs, claim kept: %v", got, ctl.holdsClaim("k"))
			}
		})
	}
}

// holdsClaim reports whether a key is claimed or its response recorded.
func (ctl *fakeControl) holdsClaim(key string) bool {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	_, ok := ctl.claims[key]
	return ok
}

// noQuorumControl is a fakeControl that never grants a claim, as without a quorum.
type noQuorumControl struct{ *fakeControl }

func (noQuorumControl) Claim(ctx context.Context, _ *control.ClaimRequest) (*control.ClaimResponse, error) {
	<-ctx.Done()
	return nil, errors.New("no quorum")
}

// Guards against a request with an Idempotency-Key that runs without a claim while there is no quorum, against requests without
// a key that need a claim, and against the outcome not-run: an earlier request with the key may have run, which only the
// control group knows.
func TestKeyedRequestsAreRefusedWithoutQuorum(t *testing.T) {
	f := newFakeBackend(t, nil)
	ctl := noQuorumControl{newFakeControl()}
	node := startNode(t, ctl, testSettings(t, "node"))
	node.keepAnnounced(t, f, "desk-1")
	eventually(t, "node answers", func() bool { return sendRequest(t, node, "POST", "/free", "", nil).StatusCode == 200 })
	resp := sendRequest(t, node, "POST", "/reserve", "x", keyedHeaders("k"))
	if resp.StatusCode != 503 || resp.Header.Get("Pollenhill-Outcome") != "unknown" || !strings.Contains(resp.Header.Get("Proxy-Status"), "no-quorum") {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	if got := f.runCount("POST /reserve"); got != 0 {
		t.Errorf("%d runs", got)
	}
}

// Guards against a truncated replay of a large response. Such a response is delivered but not recorded.
func TestLargeResponseIsNotReplayed(t *testing.T) {
	large := strings.Repeat("x", 40<<10)
	f := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			_, _ = w.Write([]byte(large))
		}
	})
	entry, _ := startPair(t, newFakeControl(), f)
	if resp := sendRequest(t, entry, "POST", "/reserve", "x", keyedHeaders("k")); resp.StatusCode != 200 || resp.body != large {
		t.Errorf("first: %d, %d bytes", resp.StatusCode, len(resp.body))
	}
	start := time.Now()
	resp := sendRequest(t, entry, "POST", "/reserve", "x", keyedHeaders("k"))
	if resp.StatusCode != 409 || resp.Header.Get("Pollenhill-Outcome") != "unknown" {
		t.Errorf("second: %d after %v", resp.StatusCode, time.Since(start))
	}
	if got := f.runCount("POST /reserve"); got != 1 {
		t.Errorf("%d runs", got)
	}
}
