package control

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/control"
)

// ErrUnavailable reports that no control process carried out a claim call before its context ended. The outcome of the
// call is unknown; repeating it with the same attempt is safe.
var ErrUnavailable = errors.New("no control process available")

// Claim asks for the right to run a request that carries an Idempotency-Key; the same attempt may ask again. It returns
// ErrUnavailable if no control process answers before ctx ends.
func (c *Client) Claim(ctx context.Context, req *control.ClaimRequest) (*control.ClaimResponse, error) {
	return callWithFailover(ctx, c, "claim", RequestTimeout, func(ctx context.Context, r *remote) (*connect.Response[control.ClaimResponse], error) {
		return r.rpc.Claim(ctx, connect.NewRequest(req))
	})
}

// Finish records the answer to a claimed request; its errors are those of Claim.
func (c *Client) Finish(ctx context.Context, req *control.FinishRequest) error {
	_, err := callWithFailover(ctx, c, "finish", RequestTimeout, func(ctx context.Context, r *remote) (*connect.Response[control.FinishResponse], error) {
		return r.rpc.Finish(ctx, connect.NewRequest(req))
	})
	return err
}

// Release ends a claim whose request was proven not to have run; its errors are those of Claim.
func (c *Client) Release(ctx context.Context, req *control.ReleaseRequest) error {
	_, err := callWithFailover(ctx, c, "release", RequestTimeout, func(ctx context.Context, r *remote) (*connect.Response[control.ReleaseResponse], error) {
		return r.rpc.Release(ctx, connect.NewRequest(req))
	})
	return err
}
