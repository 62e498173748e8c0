package attempt

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Outcome -linecomment

// Outcome says what is known about an attempt.
type Outcome int

// Outcomes of an attempt; the names are the values of HeaderOutcome.
const (
	Unknown  Outcome = iota // unknown
	NotRun                  // not-run
	Answered                // answered
)
