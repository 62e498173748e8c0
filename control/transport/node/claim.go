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

// Bounds of the tries to reach a leader; a node tries another control process after a second.
const (
	tries    = 8
	tryPause = 50 * time.Millisecond
	patience = time.Second
)

// errFull reports that the group keeps as many claims as it may; the request must not run.
var errFull = errors.New("too many claims are kept")

// Claim asks the group for the right to run a keyed request; the same attempt may ask again.
func (h *Handler) Claim(ctx context.Context, req *connect.Request[control.ClaimRequest]) (*connect.Response[control.ClaimResponse], error) {
	m := req.Msg
	cmd := replica.Command{Kind: replica.CommandClaim, Service: m.GetService(), IdempotencyKey: m.GetKey(), AttemptID: m.GetAttempt(), Fingerprint: m.GetPrint()}
	res, err := h.propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	resp := &control.ClaimResponse{Verdict: verdict(res.Verdict)}
	if resp.Verdict == control.Verdict_VERDICT_UNSPECIFIED {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.Wrapf(errFull, "claim: %s", res.Verdict))
	}
	if res.Verdict == replica.VerdictDone {
		resp.Answer = &control.Answer{Status: uint32(res.Response.Status), Type: res.Response.ContentType, Body: res.Response.Body}
	}
	return connect.NewResponse(resp), nil
}

func verdict(v replica.Verdict) control.Verdict {
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

// Finish records the first answer of a claimed request.
func (h *Handler) Finish(ctx context.Context, req *connect.Request[control.FinishRequest]) (*connect.Response[control.FinishResponse], error) {
	m, a := req.Msg, req.Msg.GetAnswer()
	cmd := replica.Command{
		Kind: replica.CommandFinishClaim, Service: m.GetService(), IdempotencyKey: m.GetKey(), AttemptID: m.GetAttempt(),
		Response: replica.Response{Status: int(a.GetStatus()), ContentType: a.GetType(), Body: a.GetBody()},
	}
	if _, err := h.propose(ctx, cmd); err != nil {
		return nil, err
	}
	return connect.NewResponse(&control.FinishResponse{}), nil
}

// Release gives up a claim whose request was proven not run.
func (h *Handler) Release(ctx context.Context, req *connect.Request[control.ReleaseRequest]) (*connect.Response[control.ReleaseResponse], error) {
	m := req.Msg
	cmd := replica.Command{Kind: replica.CommandReleaseClaim, Service: m.GetService(), IdempotencyKey: m.GetKey(), AttemptID: m.GetAttempt()}
	if _, err := h.propose(ctx, cmd); err != nil {
		return nil, err
	}
	return connect.NewResponse(&control.ReleaseResponse{}), nil
}

// propose tries until a leader commits the command; every claim command may be repeated.
func (h *Handler) propose(ctx context.Context, cmd replica.Command) (replica.Result, error) {
	if cmd.Service == "" || cmd.IdempotencyKey == "" || cmd.AttemptID == "" {
		err := errors.Newf("%s: service, key and attempt are required", cmd.Kind)
		return replica.Result{}, connect.NewError(connect.CodeInvalidArgument, err)
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var last error
	for range tries {
		cmd.ProposedAt = time.Now()
		res, err := h.Group.Propose(ctx, cmd)
		if err == nil {
			return res, nil
		}
		last = errors.Wrapf(err, "%s", cmd.Kind)
		if ctx.Err() != nil {
			break
		}
		pause.For(ctx, tryPause)
	}
	return replica.Result{}, connect.NewError(connect.CodeUnavailable, last)
}
