package rule

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -linecomment

// Kind says what may be repeated of the requests of a route.
type Kind int

// Kinds of requests.
const (
	Unsafe     Kind = iota // unsafe
	Idempotent             // idempotent
	Download               // download
)

// Repeatable says whether a request may run more than once.
func (k Kind) Repeatable() bool { return k != Unsafe }

// ParseKind reads the name of a Kind.
func ParseKind(name string) (Kind, bool) {
	for k := Unsafe; k <= Download; k++ {
		if k.String() == name {
			return k, true
		}
	}
	return Unsafe, false
}
