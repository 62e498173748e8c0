package rule

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Priority -linecomment

// Priority is the priority of a request under overload; requests of lower priority are shed first.
type Priority int

// Priorities in ascending order.
const (
	PriorityLow    Priority = iota // low
	PriorityNormal                 // normal
	PriorityHigh                   // high
)
