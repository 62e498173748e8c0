package outlier

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -linecomment

// Kind is what a sample says about a back end.
type Kind int

// Kinds of samples.
const (
	Good   Kind = iota // good
	Full               // full
	Failed             // failed
	Absent             // absent
)
