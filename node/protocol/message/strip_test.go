package message_test

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/requestlimit"
	"pollenhill.example/node/protocol/message"
)

// Guards against a header between nodes that a caller can set: an attempt without a value of its own would be sent with the
// caller's, such as the account and the rank.
func TestNoHeaderOfAnAttemptComesFromACaller(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var h fasthttp.RequestHeader
	message.Attempt{
		ID: attempt.ID{Node: "e", Incarnation: 1, Sequence: 2}, Deadline: now.Add(time.Second), Rank: 1, Account: "harbour", Service: "desk",
		Route: "read", Rerun: true, Movable: true, KnownLimit: requestlimit.New(1),
	}.Write(&h, now)
	set := 0
	for name := range h.All() {
		set++
		h.Add(string(name), "again")
	}
	message.StripHopByHop(&h)
	for name, value := range h.All() {
		if strings.HasPrefix(string(name), "Pollenhill-") {
			t.Errorf("%s: %s is passed on", name, value)
		}
	}
	if set < 10 {
		t.Errorf("the attempt has only %d headers", set)
	}
}
