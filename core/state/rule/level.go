package rule

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Priority -linecomment

// Priority is the priority of a request under overload; lower levels are shed first.
type Priority int

// Levels of priority.
const (
	PriorityLow    Priority = iota // low
	PriorityNormal                 // normal
	PriorityHigh                   // high
)
