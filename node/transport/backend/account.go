package backend

import (
	"github.com/valyala/fasthttp"

	"pollenhill.example/node/coordination/parent"
	"pollenhill.example/node/protocol/message"
)

// accountsInForce reports whether the rules in force have accounts.
func (b *Backend) accountsInForce() bool {
	return b.cfg.AccountsInForce != nil && b.cfg.AccountsInForce()
}

// ranksByCost reports whether the rules in force decide by rank and account which requests give way under overload.
func (b *Backend) ranksByCost() bool {
	return b.cfg.RanksByCost != nil && b.cfg.RanksByCost()
}

// startParent stores an attempt that the back end begins to run, so that calls which the back end makes for it inherit its
// account and rank. The returned function ends that.
func (b *Backend) startParent(a message.Attempt, req *message.Request) (end func()) {
	if b.cfg.Parents == nil || b.cfg.Headers.RequestID == "" || a.Route == "" || !b.ranksByCost() {
		return func() {}
	}
	id := string(req.Header.Peek(b.cfg.Headers.RequestID))
	return b.cfg.Parents.Start(id, parent.Request{Account: a.Account, Rank: a.Rank})
}

// removeForeignIdentity removes a key, and the name of another account than that of the attempt, from the header of a request to
// the back end. The entry node has done so unless its rules are older than those of this node and have no accounts.
func (b *Backend) removeForeignIdentity(h *fasthttp.RequestHeader, a message.Attempt) {
	if !b.accountsInForce() {
		return
	}
	h.Del(fasthttp.HeaderAuthorization)
	if name := b.cfg.Headers.Account; name != "" && string(h.Peek(name)) != a.Account {
		h.Del(name)
	}
}
