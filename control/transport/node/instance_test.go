package node_test

import (
	"context"
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"

	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/core/protocol/control"
)

// Guards against the end of an instance that is acknowledged without a commit, and against an answer that misses an
// acknowledged end because this process is behind.
func TestEndedInstances(t *testing.T) {
	ctx := context.Background()
	end := connect.NewRequest(&control.EndRequest{Node: "n", Name: "i", Start: 7})
	ask := connect.NewRequest(&control.EndedRequest{Node: "n", Name: "i"})
	h := newHandler(&fakeGroup{})
	if _, err := h.End(ctx, end); err != nil {
		t.Fatal(err)
	}
	resp, err := h.Ended(ctx, ask)
	if err != nil || !resp.Msg.GetEnded() || resp.Msg.GetStart() != 7 {
		t.Errorf("ended: %v, %v", resp, err)
	}
	if _, err := h.End(ctx, connect.NewRequest(&control.EndRequest{Node: "n"})); connect.CodeOf(err) != connect.CodeInvalidArgument {
		t.Errorf("end without an ID: %v", err)
	}
	synctest.Test(t, func(t *testing.T) {
		isolated := newHandler(&fakeGroup{failures: 1000, err: &raftgroup.NotLeaderError{}})
		if _, err := isolated.End(ctx, end); connect.CodeOf(err) != connect.CodeUnavailable {
			t.Errorf("end without a leader: %v", err)
		}
		if _, err := isolated.Ended(ctx, ask); connect.CodeOf(err) != connect.CodeUnavailable {
			t.Errorf("question without a leader: %v", err)
		}
	})
}
