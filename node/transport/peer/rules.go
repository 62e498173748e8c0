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

// Bounds of a request for rules.
const (
	rulesTimeout  = 2 * time.Second
	rulesInterval = 50 * time.Millisecond // between two checks whether a control process still sends the rules
	maxRulesBytes = 8 << 20
)

// observeRevisionHeader reads the revision header of a response from a peer and passes it to ObserveRevision.
func (c *Client) observeRevisionHeader(peer netip.AddrPort, header []byte) {
	revision, err := strconv.ParseUint(string(header), 10, 64)
	if err != nil {
		return
	}
	c.ObserveRevision(peer, revision)
}

// HearRevision stores a revision that a peer has named.
func (c *Client) HearRevision(revision uint64) {
	for {
		newest := c.newestHeard.Load()
		if revision <= newest || c.newestHeard.CompareAndSwap(newest, revision) {
			return
		}
	}
}

// RulesOutdated reports whether a peer has named a newer revision than that of the rules in force.
func (c *Client) RulesOutdated() bool {
	return c.newestHeard.Load() > c.cfg.RulesRevision()
}

// ObserveRevision fetches the rules of a peer in the background if its revision is newer than that of the rules in
// force and no fetch is running. While a control process keeps the rules up to date, it waits for that: peers send the whole
// text, which would take the links of both nodes from requests.
func (c *Client) ObserveRevision(peer netip.AddrPort, revision uint64) {
	c.HearRevision(revision)
	if revision <= c.cfg.RulesRevision() || !c.fetchingRules.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.fetchingRules.Store(false)
		if !c.awaitUnconfirmed(revision) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), rulesTimeout)
		defer cancel()
		// After a failure, the next message with a newer revision starts another fetch.
		if revision, text, err := c.requestRules(ctx, peer); err == nil && revision > 0 {
			c.cfg.OfferRules(revision, text)
		}
	}()
}

// awaitUnconfirmed waits until no control process keeps the rules up to date, or returns false once the rules in force have the
// revision or rulesTimeout has passed.
func (c *Client) awaitUnconfirmed(revision uint64) bool {
	ticker := time.NewTicker(rulesInterval)
	defer ticker.Stop()
	for start := time.Now(); c.cfg.RulesConfirmed(); <-ticker.C {
		if revision <= c.cfg.RulesRevision() || time.Since(start) >= rulesTimeout {
			return false
		}
	}
	return revision > c.cfg.RulesRevision()
}

// requestRules requests rules newer than those in force from a peer; the revision is 0 if it has none.
func (c *Client) requestRules(ctx context.Context, peer netip.AddrPort) (revision uint64, text string, err error) {
	var h fasthttp.RequestHeader
	h.SetMethod(fasthttp.MethodGet)
	h.SetRequestURI(pathRules + "?after=" + strconv.FormatUint(c.cfg.RulesRevision(), 10))
	h.SetHost(peer.String())
	resp, err := c.poolFor(peer).Exchange(ctx, &h, nil)
	if err != nil {
		return 0, "", errors.Wrapf(err, "fetch rules from %s", peer)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.StatusCode() != fasthttp.StatusOK {
		return 0, "", nil
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxRulesBytes+1))
	if err != nil {
		return 0, "", errors.Wrapf(err, "read rules from %s", peer)
	}
	if len(raw) > maxRulesBytes {
		return 0, "", errors.Newf("rules from %s are longer than %d bytes", peer, maxRulesBytes)
	}
	revision, err = strconv.ParseUint(string(resp.Header.Peek(attempt.HeaderRevision)), 10, 64)
	return revision, string(raw), errors.Wrapf(err, "read revision of rules from %s", peer)
}
