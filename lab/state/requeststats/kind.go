package requeststats

import "fmt"

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -linecomment

// Kind is the kind of a request.
type Kind int

// Kinds of requests.
const (
	Lookup           Kind = iota // lookup
	Reservation                  // reservation
	KeyedReservation             // keyed reservation
	Download                     // download
)

// RequestID returns an ID for request n of a load with the given seed.
func (k Kind) RequestID(seed uint64, n int) string {
	return fmt.Sprintf("%d-%d-%d", k, seed, n)
}
