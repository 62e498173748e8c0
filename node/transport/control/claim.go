package control

import (
	"context"
	"math/rand/v2"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/core/protocol/control"
)

// ErrUnavailable reports that no control process carried out a call before its deadline.
//
// The outcome of the call is unknown; repeating it with the same attempt is safe.
var ErrUnavailable = errors.New("no control process available")

// Claim asks for the right to run a keyed request; the same attempt may ask again.
func (c *Client) Claim(ctx context.Context, req *control.ClaimRequest) (*control.ClaimResponse, error) {
	return call(ctx, c, "claim", func(ctx context.Context, r *remote) (*connect.Response[control.ClaimResponse], error) {
		return r.rpc.Claim(ctx, connect.NewRequest(req))
	})
}

// Finish records the answer of a claimed request.
func (c *Client) Finish(ctx context.Context, req *control.FinishRequest) error {
	_, err := call(ctx, c, "finish", func(ctx context.Context, r *remote) (*connect.Response[control.FinishResponse], error) {
		return r.rpc.Finish(ctx, connect.NewRequest(req))
	})
	return err
}

// Release gives up a claim whose request was proven not run.
func (c *Client) Release(ctx context.Context, req *control.ReleaseRequest) error {
	_, err := call(ctx, c, "release", func(ctx context.Context, r *remote) (*connect.Response[control.ReleaseResponse], error) {
		return r.rpc.Release(ctx, connect.NewRequest(req))
	})
	return err
}

// order returns the control processes, first the preferred one, then the others in random order.
func (c *Client) order(first string) []*remote {
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

// call tries the control processes in turn until one carries out the call or ctx ends.
func call[T any](ctx context.Context, c *Client, step string, f func(context.Context, *remote) (*connect.Response[T], error)) (*T, error) {
	last := errors.New("none configured")
	for ctx.Err() == nil && len(c.order("")) > 0 {
		for _, r := range c.order(c.State().Server) {
			resp, err := try(ctx, r, f)
			if err == nil {
				return resp.Msg, nil
			}
			last = errors.Wrapf(err, "%s at %s", step, r.server.Name)
			if permanent(err) {
				return nil, last
			}
			pause.For(ctx, backoff)
		}
	}
	return nil, errors.Mark(last, ErrUnavailable)
}

func try[T any](ctx context.Context, r *remote, f func(context.Context, *remote) (*connect.Response[T], error)) (*connect.Response[T], error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	return f(ctx, r)
}

// permanent reports whether another control process would give the same answer.
func permanent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnimplemented, connect.CodeResourceExhausted:
		return true
	}
	return false
}
