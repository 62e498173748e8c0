package attempt

// Names of the HTTP headers between callers and nodes and between nodes.
const (
	HeaderAttempt      = "Pollenhill-Attempt"     // ID of the attempt
	HeaderIncarnation  = "Pollenhill-Incarnation" // incarnation of the destination node that the attempt is meant for
	HeaderDeadline     = "Pollenhill-Deadline"    // remaining milliseconds
	HeaderDepth        = "Pollenhill-Depth"       // number of calls above this one in the call chain
	HeaderRevision     = "Pollenhill-Revision"    // revision of the rules that the sender uses
	HeaderPriority     = "Pollenhill-Priority"
	HeaderAccount      = "Pollenhill-Account" // name of the client account of the request; absent for none
	HeaderNested       = "Pollenhill-Nested"  // present if a back end sent the request on behalf of another one
	HeaderRank         = "Pollenhill-Rank"    // priority number of the request, 0 for the most urgent
	HeaderService      = "Pollenhill-Service"
	HeaderRoute        = "Pollenhill-Route"
	HeaderObjective    = "Pollenhill-Aim"     // remaining time of the latency objective in milliseconds, may be negative
	HeaderMovable      = "Pollenhill-Movable" // present if the entry node knows a faster back end with free capacity
	HeaderRequestLimit = "Pollenhill-Limit"   // requests per second that the back end takes from all nodes, as the entry node has heard it
	HeaderRerun        = "Pollenhill-Rerun"   // present if an earlier attempt of the request may run or have run
	HeaderOutcome      = "Pollenhill-Outcome" // an Outcome
	HeaderHint         = "Pollenhill-Hint"    // load hint of the destination node
	HeaderClock        = "Pollenhill-Clock"   // hybrid logical clock of the sender
)

// MaxCallDepth is the deepest call chain that nodes accept, in calls; longer ones are taken for loops.
const MaxCallDepth = 25
