package attempt

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Outcome -linecomment

// Outcome says what is known about the execution of an attempt at the back end.
type Outcome int

// Outcomes of an attempt. The line comments are the values of HeaderOutcome.
const (
	// Unknown means that the back end may run the request or have run it.
	Unknown Outcome = iota // unknown
	// NotRun means that the back end did not run the request and will not.
	NotRun // not-run
	// Answered means that the response comes from the back end.
	Answered // answered
)
