package control

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/control/controlconnect"
)

const requestTimeout = time.Second

// Status returns the local state of the control process at address, which may be older than that of the leader.
func Status(ctx context.Context, address netip.AddrPort) (*control.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client := controlconnect.NewControlClient(http.DefaultClient, "http://"+address.String())
	resp, err := client.Status(ctx, connect.NewRequest(&control.StatusRequest{}))
	if err != nil {
		return nil, errors.Wrapf(err, "read status of %s", address)
	}
	return resp.Msg, nil
}
