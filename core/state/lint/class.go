package lint

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Class -linecomment

// Class is the kind of a Finding.
type Class int

// Classes of findings.
const (
	NeverMatches Class = iota // never matches
	Contradicts               // contradicts
)

// MarshalText returns the name of the class, for JSON.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
