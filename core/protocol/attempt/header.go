package attempt

// Names of the HTTP headers between callers and nodes and between nodes.
const (
	HeaderAttempt     = "Pollenhill-Attempt"
	HeaderIncarnation = "Pollenhill-Incarnation"
	HeaderDeadline    = "Pollenhill-Deadline" // remaining milliseconds
	HeaderDepth       = "Pollenhill-Depth"
	HeaderRevision    = "Pollenhill-Revision"
	HeaderPriority    = "Pollenhill-Priority"
	HeaderService     = "Pollenhill-Service"
	HeaderRoute       = "Pollenhill-Route"
	HeaderObjective   = "Pollenhill-Aim"     // milliseconds, may be negative
	HeaderMovable     = "Pollenhill-Movable" // present if the entry node knows a faster back end with room
	HeaderRerun       = "Pollenhill-Rerun"   // present if an earlier attempt of the request may run or have run
	HeaderOutcome     = "Pollenhill-Outcome"
	HeaderHint        = "Pollenhill-Hint"
	HeaderClock       = "Pollenhill-Clock" // hybrid logical clock of the sender
)

// MaxCallDepth is the deepest call chain that nodes accept.
const MaxCallDepth = 25
