package control

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/control"
)

// Observe sends what this node saw of the back end beside it to the followed control process, or to another one if that fails.
// A lost observation does no harm, since the counts of the next one include it.
func (c *Client) Observe(ctx context.Context, o *control.Observation) error {
	o.Node, o.Sequence = c.cfg.Node, c.sequence.Add(1)
	var err error
	for _, r := range c.remotesInOrder(c.State().Server) {
		_, err = callOnce(ctx, r, instanceTryTimeout, func(ctx context.Context, r *remote) (*connect.Response[control.ObserveResponse], error) {
			return r.rpc.Observe(ctx, connect.NewRequest(&control.ObserveRequest{Observations: []*control.Observation{o}}))
		})
		if err == nil || ctx.Err() != nil || isPermanent(err) {
			break
		}
	}
	return errors.Wrap(err, "observe")
}
