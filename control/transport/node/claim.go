package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/replica"
)

// Bounds of the tries to commit a command.
const (
	maxTries       = 8
	retryDelay     = 50 * time.Millisecond
	proposeTimeout = time.Second // of all tries; a node tries another control process after a second
)

// errTooManyClaims reports that the group stores its maximum number of claims; the request must not run.
var errTooManyClaims = errors.New("too many claims are kept")

// Claim asks the group for the right to run a request with an idempotency key; the same attempt may ask again. It returns
// ResourceExhausted if the group stores its maximum number of claims, and Unavailable if the group gave no result.
func (h *Handler) Claim(ctx context.Context, req *connect.Request[control.ClaimRequest]) (*connect.Response[control.ClaimResponse], error) {
	m := req.Msg
	cmd := replica.Command{Kind: replica.CommandClaim, Service: m.GetService(), IdempotencyKey: m.GetKey(), AttemptID: m.GetAttempt(), Fingerprint: m.GetPrint()}
	res, err := h.proposeClaim(ctx, cmd)
	if err != nil {
		return nil, err
	}
	resp := &control.ClaimResponse{Verdict: verdictMessage(res.Verdict)}
	if resp.Verdict == control.Verdict_VERDICT_UNSPECIFIED {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.Wrapf(errTooManyClaims, "claim: %s", res.Verdict))
	}
	if res.Verdict == replica.VerdictDone {
		resp.Answer = &control.Answer{Status: uint32(res.Response.Status), Type: res.Response.ContentType, Body: res.Response.Body}
	}
	return connect.NewResponse(resp), nil
}

// verdictMessage returns the protocol's verdict on a claim, or unspecified for any other verdict.
func verdictMessage(v replica.Verdict) control.Verdict {
	switch v {
	case replica.VerdictGranted:
		return control.Verdict_VERDICT_GRANTED
	case replica.VerdictHeld:
		return control.Verdict_VERDICT_HELD
	case replica.VerdictDone:
		return control.Verdict_VERDICT_DONE
	case replica.VerdictMismatch:
		return control.Verdict_VERDICT_MISMATCH
	}
	return control.Verdict_VERDICT_UNSPECIFIED
}

// Finish stores the response to a claimed request; only the first response counts.
func (h *Handler) Finish(ctx context.Context, req *connect.Request[control.FinishRequest]) (*connect.Response[control.FinishResponse], error) {
	m, a := req.Msg, req.Msg.GetAnswer()
	cmd := replica.Command{
		Kind: replica.CommandFinishClaim, Service: m.GetService(), IdempotencyKey: m.GetKey(), AttemptID: m.GetAttempt(),
		Response: replica.Response{Status: int(a.GetStatus()), ContentType: a.GetType(), Body: a.GetBody()},
	}
	if _, err := h.proposeClaim(ctx, cmd); err != nil {
		return nil, err
	}
	return connect.NewResponse(&control.FinishResponse{}), nil
}

// Release gives up a claim whose request is proven not to have run.
func (h *Handler) Release(ctx context.Context, req *connect.Request[control.ReleaseRequest]) (*connect.Response[control.ReleaseResponse], error) {
	m := req.Msg
	cmd := replica.Command{Kind: replica.CommandReleaseClaim, Service: m.GetService(), IdempotencyKey: m.GetKey(), AttemptID: m.GetAttempt()}
	if _, err := h.proposeClaim(ctx, cmd); err != nil {
		return nil, err
	}
	return connect.NewResponse(&control.ReleaseResponse{}), nil
}

// proposeClaim proposes a command about a claim that names the claim in full.
func (h *Handler) proposeClaim(ctx context.Context, cmd replica.Command) (replica.Result, error) {
	if cmd.Service == "" || cmd.IdempotencyKey == "" || cmd.AttemptID == "" {
		err := errors.Newf("%s: service, key and attempt are required", cmd.Kind)
		return replica.Result{}, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return h.propose(ctx, cmd)
}

// propose repeats the command until it is committed or the tries are used up; the command must be idempotent.
func (h *Handler) propose(ctx context.Context, cmd replica.Command) (replica.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var last error
	for range maxTries {
		cmd.ProposedAt = time.Now()
		res, err := h.Group.Propose(ctx, cmd)
		if err == nil {
			return res, nil
		}
		last = errors.Wrapf(err, "%s", cmd.Kind)
		if ctx.Err() != nil {
			break
		}
		pause.For(ctx, retryDelay)
	}
	return replica.Result{}, connect.NewError(connect.CodeUnavailable, last)
}
