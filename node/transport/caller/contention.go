package caller

import (
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/protocol/message"
)

// isUrgent reports whether the extra attempts of a request take precedence over those of others.
func isUrgent(req *message.Request) bool {
	if req.ByCost {
		return req.Inherited || req.Rank == 0 || req.RouteRank == 0
	}
	return req.Priority == rule.PriorityHigh
}
