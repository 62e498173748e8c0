package rule

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Level -linecomment

// Level is the priority of a request under overload; lower levels are shed first.
type Level int

// Levels of priority.
const (
	Low    Level = iota // low
	Normal              // normal
	High                // high
)
