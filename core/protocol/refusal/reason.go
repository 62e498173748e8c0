package refusal

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Reason -linecomment

// Reason says why a request was refused; the name is sent in Proxy-Status (RFC 9209).
type Reason int

// Reasons for a refusal.
const (
	None                Reason = iota // none
	AtCapacity                        // full
	TooLate                           // late
	ColdStart                         // cold
	Draining                          // draining
	Leaving                           // leaving
	ZoneOutOfService                  // zone-out
	BackendOutOfService               // backend-out
	NoBackend                         // absent
	WrongIncarnation                  // incarnation
	Cancelled                         // cancelled
	DuplicateAttempt                  // duplicate
	CallTooDeep                       // deep
	Shed                              // shed
	MemoryBudget                      // budget
	NoQuorum                          // no-quorum
	NoRoute                           // route
	ConnectionBroken                  // broken
	Timeout                           // timeout
	BodyTooLarge                      // large
	HeaderTooLarge                    // header
	Malformed                         // malformed
	ClaimHeld                         // held
	FingerprintMismatch               // mismatch
	UpgradeUnsupported                // upgrade
	Internal                          // internal
	BackendSlow                       // slow
)
