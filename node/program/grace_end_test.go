package program_test

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a request in flight that is cut without an answer at the end of the grace, when the process is killed: callers
// cannot tell whether it ran, and one that was never passed on need not be lost.
func TestRequestsInFlightGetAnAnswerAtTheEndOfTheGrace(t *testing.T) {
	t.Parallel()
	const slots, queued = 4, 2
	b, _ := heldBackend(t)
	node := startStoppingNode(t, b, time.Second)
	var conns []*callerConn
	for range slots + queued {
		c := dialNode(t, node)
		c.send("POST /book/held", "Content-Length: 0\r\n")
		conns = append(conns, c)
	}
	eventually(t, "the slots are taken", func() bool {
		status := node.fetchStatus()
		return len(b.requests()) == slots && status.CallsInFlight == slots+queued
	})
	node.stop()
	counts := map[int]int{}
	for _, c := range conns {
		status, _ := c.readResponse()
		counts[status]++
	}
	if counts[http.StatusGatewayTimeout] != slots || counts[http.StatusServiceUnavailable] != queued {
		t.Errorf("responses by status %v, want %d times 504 and %d times 503", counts, slots, queued)
	}
	node.stopAndWait(t)
	if n := len(b.requests()); n != slots {
		t.Errorf("%d requests were passed on, %d of them got 503", n, n-slots)
	}
}
