package choice

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Result -linecomment

// Result is how an attempt ended at the entry node.
type Result int

// Results of an attempt.
const (
	Good      Result = iota // good
	Refused                 // refused
	Failed                  // failed
	Lost                    // lost
	Cancelled               // cancelled
	Unreached               // unreached
)
