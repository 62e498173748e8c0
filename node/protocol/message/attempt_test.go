package message_test

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/requestlimit"
	"pollenhill.example/node/protocol/message"
)

// Guards against a known request limit that does not reach the node beside the back end, which may have restarted and know
// none, and against an attempt that is refused because that header cannot be read.
func TestKnownLimitReachesDestination(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for value, want := range map[string]requestlimit.Limit{"": {}, "-": {}, "7.25": requestlimit.New(7.25), "many": {}} {
		limit, _ := requestlimit.Parse(value)
		sent := message.Attempt{ID: attempt.ID{Node: "e", Incarnation: 1, Sequence: 2}, Deadline: now.Add(time.Second), KnownLimit: limit}
		var h fasthttp.RequestHeader
		sent.Write(&h, now)
		if value == "many" {
			h.Set(attempt.HeaderRequestLimit, value)
		}
		got, err := message.ReadAttempt(&h, now)
		if err != nil || got.KnownLimit != want {
			t.Errorf("%q: %v, %v", value, got.KnownLimit, err)
		}
	}
}
