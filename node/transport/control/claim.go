package control

import (
	"context"
	"math/rand/v2"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/core/protocol/control"
)

// ErrUnavailable reports that no control process carried out a claim call before its context ended. The outcome of the
// call is unknown; repeating it with the same attempt is safe.
var ErrUnavailable = errors.New("no control process available")

// Claim asks for the right to run a request that carries an Idempotency-Key; the same attempt may ask again. It returns
// ErrUnavailable if no control process answers before ctx ends.
func (c *Client) Claim(ctx context.Context, req *control.ClaimRequest) (*control.ClaimResponse, error) {
	return callWithFailover(ctx, c, "claim", func(ctx context.Context, r *remote) (*connect.Response[control.ClaimResponse], error) {
		return r.rpc.Claim(ctx, connect.NewRequest(req))
	})
}

// Finish records the answer to a claimed request; its errors are those of Claim.
func (c *Client) Finish(ctx context.Context, req *control.FinishRequest) error {
	_, err := callWithFailover(ctx, c, "finish", func(ctx context.Context, r *remote) (*connect.Response[control.FinishResponse], error) {
		return r.rpc.Finish(ctx, connect.NewRequest(req))
	})
	return err
}

// Release ends a claim whose request was proven not to have run; its errors are those of Claim.
func (c *Client) Release(ctx context.Context, req *control.ReleaseRequest) error {
	_, err := callWithFailover(ctx, c, "release", func(ctx context.Context, r *remote) (*connect.Response[control.ReleaseResponse], error) {
		return r.rpc.Release(ctx, connect.NewRequest(req))
	})
	return err
}

// remotesInOrder returns the control process named first, if it is known, and then the others in random order.
func (c *Client) remotesInOrder(first string) []*remote {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*remote, 0, len(c.remotes))
	if r, ok := c.remotes[first]; ok {
		list = append(list, r)
	}
	for _, i := range rand.Perm(len(c.servers)) {
		if name := c.servers[i].Name; name != first {
			list = append(list, c.remotes[name])
		}
	}
	return list
}

// callWithFailover tries the control processes, the followed one first, until one carries out the call, one returns a
// permanent error, or ctx ends. The operation is named in errors.
func callWithFailover[T any](ctx context.Context, c *Client, operation string, f func(context.Context, *remote) (*connect.Response[T], error)) (*T, error) {
	lastErr := errors.New("no control process configured")
	for ctx.Err() == nil && len(c.remotesInOrder("")) > 0 {
		for _, r := range c.remotesInOrder(c.State().Server) {
			resp, err := callOnce(ctx, r, f)
			if err == nil {
				return resp.Msg, nil
			}
			lastErr = errors.Wrapf(err, "%s at %s", operation, r.server.Name)
			if isPermanent(err) {
				return nil, lastErr
			}
			pause.For(ctx, claimRetryPause)
		}
	}
	return nil, errors.Mark(lastErr, ErrUnavailable)
}

func callOnce[T any](ctx context.Context, r *remote, f func(context.Context, *remote) (*connect.Response[T], error)) (*connect.Response[T], error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	return f(ctx, r)
}

// isPermanent reports whether every control process would return the same error.
func isPermanent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnimplemented, connect.CodeResourceExhausted:
		return true
	}
	return false
}
