package message_test

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/node/protocol/message"
)

// Guards against a caller that sets the rank, the account or the mark of nested requests itself, and against an attempt
// that loses the mark on its way.
func TestNestedIsSetByNodesOnly(t *testing.T) {
	var h fasthttp.RequestHeader
	for _, name := range []string{attempt.HeaderNested, attempt.HeaderRank, attempt.HeaderAccount} {
		h.Set(name, "1")
	}
	message.StripHopByHop(&h)
	if left := h.Len(); left != 0 {
		t.Errorf("%d headers left: %s", left, h.Header())
	}
	now := time.Unix(1_000_000, 0)
	sent := message.Attempt{ID: attempt.ID{Node: "e", Incarnation: 1, Sequence: 2}, Deadline: now.Add(time.Second), Nested: true, Rank: 1, Route: "r"}
	sent.Write(&h, now)
	got, err := message.ReadAttempt(&h, now)
	if err != nil || !got.Nested || got.Rank != 1 {
		t.Errorf("%v: nested %v, rank %d", err, got.Nested, got.Rank)
	}
}
