package operator

import (
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -linecomment

// Kind is what the control group decided about a submitted change.
type Kind int

// Kinds of verdicts.
const (
	Accept Kind = iota // accepted
	Reject             // rejected
	Order              // out of order
)

// Verdict is the decision of the control group about one submission; a resend gets the first one again.
type Verdict struct {
	Kind     Kind
	Revision uint64    // Accept: consensus revision of the change
	Number   uint64    // Reject: number of the accepted change; Order: number in force
	Text     string    // Reject: accepted text of that number
	Origin   string    // Reject: control process whose file carried it
	Time     time.Time // Reject: when it was proposed
}
