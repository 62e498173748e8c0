package retry

import (
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
)

// Failure describes a failed attempt.
type Failure struct {
	Outcome      attempt.Outcome
	Reason       refusal.Reason // refusal.None if it was not refused
	FailureDepth int            // depth in the call chain at which an attempt was refused or lost
	Depth        int            // depth of the attempts of this entry node
	Idempotent   bool
}

// ShouldRetry reports whether the request may be sent to another destination. Only the entry node whose own attempt failed
// retries: if every level of a call chain retried, the attempts would multiply.
func ShouldRetry(f Failure) bool {
	if f.FailureDepth != f.Depth || f.Outcome == attempt.Answered {
		return false
	}
	if f.Outcome == attempt.Unknown {
		return f.Idempotent
	}
	switch f.Reason {
	case refusal.Cancelled, refusal.DuplicateAttempt, refusal.CallTooDeep, refusal.MemoryBudget, refusal.NoQuorum, refusal.NoRoute:
		return false // another destination would give the same answer
	}
	return true
}

// IsOverload reports whether a refusal reason means that the destination has too many requests.
func IsOverload(reason refusal.Reason) bool {
	switch reason {
	case refusal.AtCapacity, refusal.TooLate, refusal.Shed, refusal.RequestLimit:
		return true
	}
	return false
}

// MayHedge reports whether a request may be hedged: only at the start of a call chain, because a hedge repeats all calls
// below it.
func MayHedge(depth int, idempotent bool) bool {
	return depth == 0 && idempotent
}
