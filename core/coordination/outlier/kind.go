package outlier

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Result -linecomment

// Result is what a sample says about a back end.
type Result int

// Kinds of samples.
const (
	Good   Result = iota // good
	Full                 // full
	Failed               // failed
	Absent               // absent
)
