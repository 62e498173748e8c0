package tally

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -linecomment

// Kind is the kind of a request.
type Kind int

// Kinds of requests.
const (
	Lookup      Kind = iota // lookup
	Reservation             // reservation
	Keyed                   // keyed reservation
	Download                // download
)
