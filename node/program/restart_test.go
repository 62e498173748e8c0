package program_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// deregister sends DELETE /backends/ID to the local listener and returns the status code.
func (node *testNode) deregister(t *testing.T, id string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodDelete, "http://"+node.settings.LocalAddress.String()+"/backends/"+id, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against a restart of a node that forgets which instances have left: a heartbeat that the network held up, or a
// health check that passes although the back end leaves, brought such an instance back (DRAIN, review/3).
func TestEndedInstanceStaysOutAfterRestart(t *testing.T) {
	ends := map[string]func(*testing.T, *testNode, *rawBackend) int{
		"deregistered": func(t *testing.T, node *testNode, _ *rawBackend) int { return node.deregister(t, "i-1") },
		"draining": func(t *testing.T, node *testNode, b *rawBackend) int {
			return node.sendHeartbeat(t, "i-1", b, "draining", 6)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			b := newRawBackend(t)
			b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
			node := startPoolNode(t, b)
			node.sendHeartbeat(t, "i-1", b, "ready", 5)
			if code := end(t, node, b); code != http.StatusOK {
				t.Fatalf("end of the instance: status %d", code)
			}
			node.stopAndWait(t)
			node = startNode(t, node.control, node.settings)
			node.sendHeartbeat(t, "i-1", b, "ready", 4) // was held up
			n := len(b.requests())
			resp := sendRequest(t, node, "POST", "/book/1", "", nil)
			if resp.StatusCode != http.StatusServiceUnavailable || len(b.requests()) != n {
				t.Errorf("status %d, %d requests after the restart", resp.StatusCode, len(b.requests())-n)
			}
		})
	}
}

// Guards against a back end that has crashed, come back under its ID and deregistered, and that gets requests again once the first
// heartbeat of its running instance arrives (DRAIN, review/7). The node must know that too after a restart.
func TestDeregistrationEndsInstanceOfLateHeartbeat(t *testing.T) {
	b := newRawBackend(t)
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
	node := startPoolNode(t, b)
	node.sendHeartbeat(t, "i-1", b, "ready", 5)
	restarted := time.Now() // under the same ID
	if code := node.deregister(t, "i-1"); code != http.StatusOK {
		t.Fatalf("deregistration: status %d", code)
	}
	expectNoRequests := func(when string) {
		t.Helper()
		node.sendHeartbeatOfStart(t, "i-1", b, "ready", 1, restarted) // was held up
		n := len(b.requests())
		resp := sendRequest(t, node, "POST", "/book/1", "", nil)
		if resp.StatusCode != http.StatusServiceUnavailable || len(b.requests()) != n {
			t.Errorf("%s: status %d, %d requests", when, resp.StatusCode, len(b.requests())-n)
		}
	}
	expectNoRequests("after the deregistration")
	node.stopAndWait(t)
	node = startNode(t, node.control, node.settings)
	expectNoRequests("after a restart of the node")
	node.sendHeartbeatOfStart(t, "i-1", b, "ready", 1, restarted.Add(time.Minute))
	if resp := sendRequest(t, node, "POST", "/book/1", "", nil); resp.StatusCode != http.StatusOK {
		t.Errorf("started again after the deregistration: status %d", resp.StatusCode)
	}
}

// Guards against an end that is acknowledged although nobody but the node keeps it, and against a node that uses an instance
// from before its start without knowing whether that has left.
func TestEndWithoutKeeperIsNotAcknowledged(t *testing.T) {
	b := newRawBackend(t)
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
	node := startPoolNode(t, b)
	ctl, _ := node.control.(*fakeControl)
	ctl.setEndErr(errors.New("no quorum"))
	if code := node.deregister(t, "i-1"); code != http.StatusServiceUnavailable {
		t.Errorf("deregistration that is not kept: status %d", code)
	}
	n := len(b.requests())
	if resp := sendRequest(t, node, "POST", "/book/1", "", nil); resp.StatusCode != http.StatusServiceUnavailable || len(b.requests()) != n {
		t.Errorf("status %d, %d requests after the deregistration", resp.StatusCode, len(b.requests())-n)
	}
	node.stopAndWait(t)
	node = startNode(t, ctl, node.settings)
	if code := node.sendHeartbeat(t, "i-2", b, "ready", 1); code != http.StatusServiceUnavailable {
		t.Errorf("heartbeat of an instance without history: status %d", code)
	}
	ctl.setEndErr(nil)
	if code := node.sendHeartbeat(t, "i-2", b, "ready", 2); code != http.StatusOK {
		t.Errorf("heartbeat after the control processes are back: status %d", code)
	}
}
