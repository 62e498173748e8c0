package caller

import (
	"time"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/inbound"
)

// Allowances decides which requests are within the allowance of their account over all nodes.
type Allowances interface {
	// Admit counts a request, or returns after which time another one may be admitted.
	Admit(account string) (retryAfter time.Duration, ok bool)
	// GiveBack takes back a request, admitted at a time, that no back end has run.
	GiveBack(account string, admittedAt time.Time)
}

// refuseOverAllowance returns the reply to a request that is beyond the allowance of its account, or nil. A request counts once,
// whatever its retries; calls of back ends run for a request that has been counted.
func (s *Server) refuseOverAllowance(in inbound.Request, req *message.Request) *message.Reply {
	if s.cfg.Allowances == nil || req.Account == "" || req.Inherited {
		return nil
	}
	wait, ok := s.cfg.Allowances.Admit(req.Account)
	if ok {
		return nil
	}
	f := refusal.Refusal{Reason: refusal.OverAllowance, Outcome: attempt.NotRun, RetryAfter: wait, Node: s.cfg.Node, Depth: req.Depth}
	reply := message.RefusalReply(s.withRetryAfter(f, req))
	s.log.logRefused(in.Header, reply)
	return reply
}

// giveBackAllowance takes back a request that was admitted and that no back end has run.
func (s *Server) giveBackAllowance(req *message.Request, reply *message.Reply) {
	if s.cfg.Allowances != nil && req.Account != "" && !req.Inherited && reply.Outcome == attempt.NotRun {
		s.cfg.Allowances.GiveBack(req.Account, req.Arrived)
	}
}
