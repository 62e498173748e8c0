package balancer

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Result -linecomment

// Result is how an attempt ended at the entry node.
type Result int

// Results of an attempt. Refused means that the destination did not run it, Failed that the back end answered with a server
// error, Lost that the exchange broke off or its response was not usable, Cancelled that the entry node gave it up, and
// Unreachable that no connection to the destination could be made.
const (
	Succeeded   Result = iota // good
	Refused                   // refused
	Failed                    // failed
	Lost                      // lost
	Cancelled                 // cancelled
	Unreachable               // unreached
)
