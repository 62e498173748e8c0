package retry

import (
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
)

// Failure describes an attempt that did not answer.
type Failure struct {
	Outcome      attempt.Outcome
	Reason       refusal.Reason // None unless it was refused
	FailureDepth int            // depth of the attempt whose destination refused or lost it
	Depth        int            // depth of the attempts that this entry node sends
	Idempotent   bool
}

// ShouldRetry says whether another destination may get the request. Only the entry node next to the
// destination that produced the failure tries again, so that levels of a call chain do not multiply.
func ShouldRetry(f Failure) bool {
	if f.FailureDepth != f.Depth || f.Outcome == attempt.Answered {
		return false
	}
	if f.Outcome == attempt.Unknown {
		return f.Idempotent
	}
	switch f.Reason {
	case refusal.Cancelled, refusal.Duplicate, refusal.Deep, refusal.Budget, refusal.NoQuorum, refusal.Route:
		return false // another destination would give the same answer
	}
	return true
}

// IsOverload says whether a refusal means that a server has too much work.
func IsOverload(reason refusal.Reason) bool {
	switch reason {
	case refusal.Full, refusal.Late, refusal.Shed:
		return true
	}
	return false
}

// MayHedge says whether a request may be hedged: only where a call chain begins, because a hedge runs
// everything below it twice.
func MayHedge(depth int, idempotent bool) bool {
	return depth == 0 && idempotent
}
