package program_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pollenhill.example/node/program"
)

// Stated bound of a named limit: in any limitSpan the back end gets at most limitFactor times what the limit allows, plus
// limitSlack.
const (
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// namedLimit is the limit in requests per second that the back ends of these tests name.
const namedLimit = 2

// startPoolPair starts two nodes with poolRules: one beside b, and one that only takes callers.
func startPoolPair(t *testing.T, b *rawBackend) (entry, destination *testNode) {
	t.Helper()
	ctl := newFakeControl()
	ctl.state.RulesText, ctl.state.Revision = poolRules, 2
	destination = startNode(t, ctl, poolSettings(t, "desk-node", b))
	entry = startNode(t, ctl, poolSettings(t, "entry", nil))
	eventually(t, "the entry node reaches the back end", func() bool {
		return sendRequest(t, entry, "GET", "/read/warm", "", callerHeaders("warm")).StatusCode == http.StatusOK
	})
	return entry, destination
}

// poolSettings returns the settings of a node beside b, or of one without a back end if b is nil.
func poolSettings(t *testing.T, name string, b *rawBackend) program.Settings {
	t.Helper()
	cfg := testSettings(t, name)
	cfg.Headers = testHeaders
	cfg.Limits.Guarantee503 = true
	cfg.Limits.MaxBufferedBytes = 1 << 20
	if b != nil {
		cfg.Backend = program.BackendSettings{Service: "desk", Address: b.address(), CancelByClose: true}
	}
	return cfg
}

func callerHeaders(id string) map[string]string {
	return map[string]string{"Test-Request": id, "Test-Deadline": "400"}
}

// namesLimit answers every request with the limit.
func namesLimit(r *http.Request) (string, bool) {
	return strings.Replace(validResponse(r, ""), "Test-Seal", "Test-Limit: 2\r\nTest-Seal", 1), false
}

// saysLeaving answers every request with the word that the back end leaves.
func saysLeaving(r *http.Request) (string, bool) {
	return strings.Replace(validResponse(r, ""), "Test-Seal", "Test-Leaving: 1\r\nTest-Seal", 1), false
}

// burst sends 40 requests through each of the nodes at the same time.
func burst(t *testing.T, nodes ...*testNode) {
	t.Helper()
	var wg sync.WaitGroup
	for _, node := range nodes {
		for i := range 40 {
			wg.Go(func() { sendRequest(t, node, "GET", "/read/1", "", callerHeaders("r"+strconv.Itoa(i))) })
		}
	}
	wg.Wait()
}

// checkLimit fails if the back end got more requests since the given time than the bound of namedLimit.
func checkLimit(t *testing.T, b *rawBackend, since time.Time) {
	t.Helper()
	span := max(limitSpan, time.Since(since))
	got, allowed := len(b.requests()), limitFactor*namedLimit*span.Seconds()+limitSlack
	if float64(got) > allowed {
		t.Errorf("%d requests in %v, allowed %.0f", got, span, allowed)
	}
}

// Guards against a back end that gets more requests than the limit that it named, because nodes admit by slots alone or
// each entry node counts only its own requests.
func TestNamedLimitHoldsForAllNodes(t *testing.T) {
	b := newRawBackend(t)
	b.setReply(namesLimit)
	entry, destination := startPoolPair(t, b)
	b.setReply(namesLimit)
	start := time.Now()
	burst(t, entry, destination, entry)
	checkLimit(t, b, start)
}

// Guards against callers that are told to come back long before the limit of the only back end allows a request.
func TestRefusalNamesWhenLimitAllowsRequest(t *testing.T) {
	b := newRawBackend(t)
	b.setReply(func(r *http.Request) (string, bool) {
		return strings.Replace(validResponse(r, ""), "Test-Seal", "Test-Limit: 0.1\r\nTest-Seal", 1), false
	})
	entry, _ := startPoolPair(t, b)
	resp := sendRequest(t, entry, "GET", "/read/1", "", callerHeaders("r"))
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	// One request each 10 s, less what has passed since the limit was named.
	if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after < 2 || after > 11 {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if got := resp.Header.Get("Pollenhill-Outcome"); got != "not-run" {
		t.Errorf("outcome %q", got)
	}
}

// Guards against a limit that is forgotten when the node beside the back end restarts, while the entry nodes that heard
// it go on sending.
func TestNamedLimitOutlastsRestartOfDestination(t *testing.T) {
	b := newRawBackend(t)
	b.setReply(namesLimit)
	entry, destination := startPoolPair(t, b)
	destination.stopAndWait(t)
	b.setReply(namesLimit)
	start := time.Now()
	startNode(t, destination.control, destination.settings)
	eventually(t, "the entry node reaches the back end again", func() bool {
		sendRequest(t, entry, "GET", "/read/1", "", callerHeaders("again"))
		return len(b.requests()) > 0
	})
	burst(t, entry, entry, entry)
	checkLimit(t, b, start)
}

// Guards against new requests to a back end that said only in its responses that it leaves.
func TestLeavingResponseEndsNewRequests(t *testing.T) {
	b := newRawBackend(t)
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
	entry, destination := startPoolPair(t, b)
	b.setReply(saysLeaving)
	sendRequest(t, entry, "GET", "/read/1", "", callerHeaders("last"))
	eventually(t, "the back end gets no requests any more", func() bool {
		before := len(b.requests())
		burst(t, entry, destination)
		return len(b.requests()) == before
	})
	if n := len(b.requests()); n > limitSlack {
		t.Errorf("%d requests after the first response that said so", n)
	}
}

// Guards against an entry node that sends requests again to a back end which said that it leaves, because the node beside
// it has restarted and does not know.
func TestLeavingOutlastsRestartOfDestination(t *testing.T) {
	b := newRawBackend(t)
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
	entry, destination := startPoolPair(t, b)
	b.setReply(saysLeaving)
	sendRequest(t, entry, "GET", "/read/1", "", callerHeaders("last"))
	destination.stopAndWait(t)
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
	again := startNode(t, destination.control, destination.settings)
	eventually(t, "the destination node finds the back end", func() bool { return again.fetchStatus().Backend.State == "ready" })
	burst(t, entry)
	if n := len(b.requests()); n > 0 {
		t.Errorf("%d requests through a node that had passed on a response that said so", n)
	}
}
