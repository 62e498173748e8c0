package outlier

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Result -linecomment

// Result is the result of one attempt as a Sample reports it.
type Result int

// Results of an attempt. Full means that the destination refused it, Failed that it failed or got no usable response, and
// Absent that nothing listens at the address of the destination.
const (
	Good   Result = iota // good
	Full                 // full
	Failed               // failed
	Absent               // absent
)
