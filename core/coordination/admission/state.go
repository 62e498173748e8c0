package admission

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=State,Result -linecomment -output=state_string.go

// State is the announced state of the back end; it is Leaving while the node of the back end shuts down.
type State int

// States of a back end.
const (
	Absent   State = iota // absent
	Cold                  // cold
	Ready                 // ready
	Draining              // draining
	Leaving               // leaving
)

// Result is how a started attempt ended.
type Result int

// Results of a started attempt. Shed means that the back end refused it, Failed that the back end answered with an error or
// not before the deadline, Reset that the connection broke, and Aborted that the entry node gave it up or that it was not
// sent.
const (
	Good    Result = iota // good
	Shed                  // shed
	Failed                // failed
	Reset                 // reset
	Aborted               // aborted
)
