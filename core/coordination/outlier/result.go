package outlier

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Result -linecomment

// Result is the result of one attempt as a Sample reports it.
type Result int

// Results of an attempt.
const (
	Good   Result = iota // good
	Full                 // full
	Failed               // failed
	Absent               // absent
)
