package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"pollenhill.example/core/protocol/control"
)

// instanceTryTimeout limits one try of an instance call, so that a silent control process leaves time for another one: a back
// end waits a second for the response to its report.
const instanceTryTimeout = 300 * time.Millisecond

// RecordEnd makes the control group keep that the instances beside this node with an ID and a start, in Unix milliseconds, up to
// the given one have ended. It returns ErrUnavailable if no control process answers before ctx ends.
func (c *Client) RecordEnd(ctx context.Context, id string, startMillis int64) error {
	req := &control.EndRequest{Node: c.cfg.Node, Name: id, Start: startMillis}
	_, err := callWithFailover(ctx, c, "end", instanceTryTimeout, func(ctx context.Context, r *remote) (*connect.Response[control.EndResponse], error) {
		return r.rpc.End(ctx, connect.NewRequest(req))
	})
	return err
}

// EndOf returns the newest start, in Unix milliseconds, of the instances beside this node that have ended under an ID, and false if none has.
// Ends that were acknowledged before the call are known. It returns ErrUnavailable if no control process answers before ctx
// ends.
func (c *Client) EndOf(ctx context.Context, id string) (startMillis int64, ended bool, err error) {
	req := &control.EndedRequest{Node: c.cfg.Node, Name: id}
	resp, err := callWithFailover(ctx, c, "ended", instanceTryTimeout, func(ctx context.Context, r *remote) (*connect.Response[control.EndedResponse], error) {
		return r.rpc.Ended(ctx, connect.NewRequest(req))
	})
	if err != nil {
		return 0, false, err
	}
	return resp.GetStart(), resp.GetEnded(), nil
}
