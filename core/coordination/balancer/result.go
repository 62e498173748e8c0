package balancer

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Result -linecomment

// Result is how an attempt ended at the entry node.
type Result int

// Results of an attempt.
const (
	Succeeded   Result = iota // good
	Refused                   // refused
	Failed                    // failed
	Lost                      // lost
	Cancelled                 // cancelled
	Unreachable               // unreached
)
