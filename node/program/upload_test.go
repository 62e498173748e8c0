package program_test

import (
	"net/http"
	"strings"
	"testing"
)

const uploadRules = `format 1
change 2 # test: a pool behind routes
pool desk health=/health connections=20 cold=1s rate=100 # test: one service
route send host=desk.example path=/send/ kind=upload within=5s aim=4s rank=1 tries=2 to=desk # test: uploads
`

// Guards against an upload that is lost, cut or run twice between two nodes, and against one that runs at a back end which has
// left while its body waited.
func TestUploadPassesThroughTwoNodes(t *testing.T) {
	b := newRawBackend(t)
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, r.URL.Path), false })
	ctl := newFakeControl()
	ctl.state.RulesText, ctl.state.Revision = uploadRules, 2
	destination := startNode(t, ctl, poolSettings(t, "desk-node", b))
	destination.sendHeartbeat(t, "i-1", b, "ready", 1)
	cfg := testSettings(t, "entry")
	cfg.Headers = testHeaders
	entry := startNode(t, ctl, cfg)
	send := func(path string, length int) response {
		return sendRequest(t, entry, "POST", path, strings.Repeat("b", length), map[string]string{"Test-Request": path, "Test-Deadline": "4000"})
	}
	eventually(t, "the entry node knows the back end", func() bool { return send("/send/warm", 1).StatusCode == http.StatusOK })
	for path, length := range map[string]int{"/send/small": 100, "/send/mean": 60_000, "/send/largest": 360_000, "/send/limit": 1 << 20} {
		if resp := send(path, length); resp.StatusCode != http.StatusOK || resp.body != path {
			t.Errorf("%s: status %d, body %q", path, resp.StatusCode, resp.body)
		}
		runs := 0
		for _, r := range b.requests() {
			if r.URL.Path != path {
				continue
			}
			runs++
			if r.ContentLength != int64(length) || r.Header.Get("Expect") != "" {
				t.Errorf("%s: the back end got %d bytes, Expect %q", path, r.ContentLength, r.Header.Get("Expect"))
			}
		}
		if runs != 1 {
			t.Errorf("%s: %d runs", path, runs)
		}
	}
	destination.sendHeartbeat(t, "i-1", b, "draining", 2)
	before := len(b.requests())
	if resp := send("/send/late", 60_000); resp.StatusCode != http.StatusServiceUnavailable || len(b.requests()) != before {
		t.Errorf("to a back end that drains: status %d, %d requests more", resp.StatusCode, len(b.requests())-before)
	}
}
