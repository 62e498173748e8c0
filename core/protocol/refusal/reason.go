package refusal

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Reason -linecomment

// Reason says why a request was refused; the name is sent in Proxy-Status (RFC 9209).
type Reason int

// Reasons for a refusal.
const (
	None        Reason = iota // none
	Full                      // full
	Late                      // late
	Cold                      // cold
	Draining                  // draining
	Leaving                   // leaving
	ZoneOut                   // zone-out
	BackendOut                // backend-out
	Absent                    // absent
	Incarnation               // incarnation
	Cancelled                 // cancelled
	Duplicate                 // duplicate
	Deep                      // deep
	Shed                      // shed
	Budget                    // budget
	NoQuorum                  // no-quorum
	Route                     // route
	Broken                    // broken
	Timeout                   // timeout
	Large                     // large
	Header                    // header
	Malformed                 // malformed
	Held                      // held
	Mismatch                  // mismatch
	Upgrade                   // upgrade
	Internal                  // internal
	Slow                      // slow
)
