package node_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/control/transport/node"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/replica"
)

// fakeGroup is a group of one member, and a directory, whose first proposals fail before or after they are committed.
type fakeGroup struct {
	mu            sync.Mutex
	replica       *replica.Replica
	index         uint64 // of the last committed command
	failures      int    // number of proposals that fail
	err           error  // of failing proposals
	commitsFailed bool   // failing proposals are committed nevertheless
	calls         int    // number of proposals so far
}

func (f *fakeGroup) Propose(ctx context.Context, cmd replica.Command) (replica.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	fails := f.calls <= f.failures
	if fails && !f.commitsFailed {
		return replica.Result{}, f.err
	}
	f.index++
	res := f.replica.Apply(f.index, cmd)
	if fails {
		return replica.Result{}, f.err
	}
	return res, ctx.Err()
}

// Barrier fails as long as proposals do.
func (f *fakeGroup) Barrier(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls < f.failures {
		return f.err
	}
	return nil
}

func (f *fakeGroup) View() raftgroup.View { return raftgroup.View{Current: true} }

func (f *fakeGroup) ReadReplica(read func(*replica.Replica)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f.replica)
}

// Announce accepts every announcement.
func (f *fakeGroup) Announce(context.Context, *control.Member) error { return nil }

// Members returns no members.
func (f *fakeGroup) Members(context.Context) ([]*control.Member, error) { return nil, nil }

func newHandler(f *fakeGroup) *node.Handler {
	f.replica = replica.New(replica.Config{MaxClaims: 1})
	return &node.Handler{Group: f, Directory: f}
}

func requestClaim(h *node.Handler, key, attempt string) (*control.ClaimResponse, error) {
	req := &control.ClaimRequest{Service: "s", Key: key, Attempt: attempt, Print: 1}
	resp, err := h.Claim(context.Background(), connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Guards against a claim that is lost when the leader changes, granted to two attempts, or retried without end.
func TestClaimWithoutLeader(t *testing.T) {
	tests := []struct {
		name     string
		failures int
		err      error
		commits  bool         // failing proposals are committed nevertheless
		code     connect.Code // 0: granted
	}{
		{"leader", 0, nil, false, 0},
		{"no leader at first", 3, &raftgroup.NotLeaderError{}, false, 0},
		{"committed, but the result is lost", 2, raftgroup.ErrOutcomeUnknown, true, 0},
		{"no leader", 1000, &raftgroup.NotLeaderError{}, false, connect.CodeUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeGroup{failures: tt.failures, err: tt.err, commitsFailed: tt.commits}
				h := newHandler(f)
				begin := time.Now()
				got, err := requestClaim(h, "k", "a")
				if d := time.Since(begin); d > time.Second {
					t.Errorf("took %v", d)
				}
				if tt.code != 0 {
					if connect.CodeOf(err) != tt.code {
						t.Errorf("error %v, want %v", err, tt.code)
					}
					return
				}
				if err != nil || got.GetVerdict() != control.Verdict_VERDICT_GRANTED {
					t.Fatalf("got %v, %v", got, err)
				}
				other, err := requestClaim(h, "k", "b")
				if err != nil || other.GetVerdict() != control.Verdict_VERDICT_HELD {
					t.Errorf("second attempt: %v, %v", other, err)
				}
			})
		})
	}
}

// Guards against a verdict that is translated wrongly, and against a repeated request that does not get the first response.
func TestClaimLifecycle(t *testing.T) {
	h := newHandler(&fakeGroup{})
	ctx := context.Background()
	if _, err := requestClaim(h, "k", "a"); err != nil {
		t.Fatal(err)
	}
	_, err := requestClaim(h, "other", "b")
	if connect.CodeOf(err) != connect.CodeResourceExhausted {
		t.Errorf("claim beyond the limit: %v", err)
	}
	release := &control.ReleaseRequest{Service: "s", Key: "k", Attempt: "a"}
	for range 2 {
		if _, err := h.Release(ctx, connect.NewRequest(release)); err != nil {
			t.Fatal(err)
		}
	}
	if got, err := requestClaim(h, "k", "c"); err != nil || got.GetVerdict() != control.Verdict_VERDICT_GRANTED {
		t.Fatalf("claim after the release: %v, %v", got, err)
	}
	answer := &control.Answer{Status: 201, Type: "text/plain", Body: []byte("booked")}
	for range 2 {
		if _, err := h.Finish(ctx, connect.NewRequest(&control.FinishRequest{Service: "s", Key: "k", Attempt: "c", Answer: answer})); err != nil {
			t.Fatal(err)
		}
	}
	got, err := requestClaim(h, "k", "d")
	if err != nil || got.GetVerdict() != control.Verdict_VERDICT_DONE || string(got.GetAnswer().GetBody()) != "booked" || got.GetAnswer().GetStatus() != 201 {
		t.Errorf("repeated request: %v, %v", got, err)
	}
	req := &control.ClaimRequest{Service: "s", Key: "k", Attempt: "e", Print: 2}
	resp, err := h.Claim(ctx, connect.NewRequest(req))
	if err != nil || resp.Msg.GetVerdict() != control.Verdict_VERDICT_MISMATCH {
		t.Errorf("other request with the same key: %v, %v", resp, err)
	}
}

// Guards against announcements without node, incarnation or sequence, and claims without a key, that are accepted.
func TestIncompleteRequests(t *testing.T) {
	h := newHandler(&fakeGroup{})
	for _, m := range []*control.Member{{}, {Node: "n", Sequence: 1}, {Node: "n", Incarnation: 1}} {
		_, err := h.Announce(context.Background(), connect.NewRequest(&control.AnnounceRequest{Member: m}))
		if connect.CodeOf(err) != connect.CodeInvalidArgument {
			t.Errorf("announce %v: %v", m, err)
		}
	}
	if _, err := requestClaim(h, "", "a"); connect.CodeOf(err) != connect.CodeInvalidArgument {
		t.Errorf("claim without a key: %v", err)
	}
	var connectErr *connect.Error
	if _, err := h.Announce(context.Background(), connect.NewRequest(&control.AnnounceRequest{})); errors.As(err, &connectErr) {
		t.Errorf("probe: %v", err)
	}
}
