package instance

import "time"

// Bounds of what an instance may say of itself. Values beyond them come from another writer, and some would overflow.
const (
	MaxIDLength      = 128            // of an ID, in bytes
	MaxSlots         = 100_000        // of an instance
	MaxColdStart     = 24 * time.Hour // remaining time of a cold start
	MaxVersionLength = 128            // of a version, in bytes
	MaxClockLead     = 24 * time.Hour // of the start of an instance over the clock of the node
)

// ValidID reports whether an ID can be sent in headers and to other processes: visible ASCII characters, MaxIDLength at most.
func ValidID(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= MaxIDLength
}
