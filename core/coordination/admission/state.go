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

// Results of a started attempt.
const (
	Good    Result = iota // good
	Shed                  // shed
	Failed                // failed
	Reset                 // reset
	Aborted               // aborted
)
