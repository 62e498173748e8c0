package requeststats

import "fmt"

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -linecomment

// Kind is the kind of request that a load sends.
type Kind int

// Kinds of requests.
const (
	Lookup           Kind = iota // lookup
	Reservation                  // reservation
	KeyedReservation             // keyed reservation
	Download                     // download
)

// RequestID returns the ID of request n of a load; loads with different seeds or kinds have different IDs.
func (k Kind) RequestID(seed uint64, n int) string {
	return fmt.Sprintf("%d-%d-%d", k, seed, n)
}
