package peer

import (
	"context"
	"io"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/attempt"
)

// Bounds of fetching rules from a peer.
const (
	fetchTimeout = 2 * time.Second
	maxRules     = 8 << 20 // bytes
)

// compare fetches the rules of a peer whose revision is newer.
func (c *Client) compare(peer netip.AddrPort, revision []byte) {
	theirs, err := strconv.ParseUint(string(revision), 10, 64)
	if err != nil {
		return
	}
	c.ObserveRevision(peer, theirs)
}

// ObserveRevision reports the revision that a peer has; newer rules are fetched once in the background.
func (c *Client) ObserveRevision(peer netip.AddrPort, revision uint64) {
	if revision <= c.cfg.RulesRevision() || !c.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		// A failed fetch is repeated with the next message that shows the newer revision.
		if revision, text, err := c.rules(ctx, peer); err == nil && revision > 0 {
			c.cfg.OfferRules(revision, text)
		}
	}()
}

// rules asks a peer for rules newer than those in force; revision 0 if it has none.
func (c *Client) rules(ctx context.Context, peer netip.AddrPort) (revision uint64, text string, err error) {
	var h fasthttp.RequestHeader
	h.SetMethod(fasthttp.MethodGet)
	h.SetRequestURI(pathRules + "?after=" + strconv.FormatUint(c.cfg.RulesRevision(), 10))
	h.SetHost(peer.String())
	resp, err := c.pool(peer).Exchange(ctx, &h, nil)
	if err != nil {
		return 0, "", errors.Wrapf(err, "fetch rules from %s", peer)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.StatusCode() != fasthttp.StatusOK {
		return 0, "", nil
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxRules+1))
	if err != nil || len(raw) > maxRules {
		return 0, "", errors.Newf("read rules from %s: %d bytes: %v", peer, len(raw), err)
	}
	revision, err = strconv.ParseUint(string(resp.Header.Peek(attempt.HeaderRevision)), 10, 64)
	return revision, string(raw), errors.Wrapf(err, "read revision of %s", peer)
}
