package tally

import "fmt"

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

// ID returns an ID for request n of a load with the given seed.
func (k Kind) ID(seed uint64, n int) string {
	return fmt.Sprintf("%d-%d-%d", k, seed, n)
}
