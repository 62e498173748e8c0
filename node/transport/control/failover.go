package control

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/pause"
)

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
// permanent error, or ctx ends; each has tryTimeout. The operation is named in errors.
func callWithFailover[T any](ctx context.Context, c *Client, operation string, tryTimeout time.Duration, f func(context.Context, *remote) (*connect.Response[T], error)) (*T, error) {
	lastErr := errors.New("no control process configured")
	for ctx.Err() == nil && len(c.remotesInOrder("")) > 0 {
		for _, r := range c.remotesInOrder(c.State().Server) {
			resp, err := callOnce(ctx, r, tryTimeout, f)
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

func callOnce[T any](ctx context.Context, r *remote, timeout time.Duration, f func(context.Context, *remote) (*connect.Response[T], error)) (*connect.Response[T], error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
