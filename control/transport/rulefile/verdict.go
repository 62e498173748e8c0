package rulefile

import (
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/replica"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -linecomment

// Kind is what the control group decided about a submitted change.
type Kind int

// Kinds of verdicts.
const (
	VerdictAccepted   Kind = iota // accepted
	VerdictRejected               // rejected
	VerdictOutOfOrder             // out of order
	VerdictInvalid                // invalid
)

// Verdict is the decision of the control group about one submission; a resend gets the first one again.
type Verdict struct {
	Kind     Kind
	Revision uint64    // Accept: consensus revision of the change
	Number   uint64    // Reject: number of the accepted change; Order: number in force
	Text     string    // Reject: accepted text of that number, empty if the group no longer has it
	Reason   string    // Reject: comment of its change line
	Origin   string    // Reject: control process whose file carried it
	Time     time.Time // Reject: when it was proposed
	Problem  string    // Invalid: what the group found
}

// VerdictFromResult returns the verdict that the replicated state machine gave.
func VerdictFromResult(r replica.Result) (Verdict, error) {
	switch r.Verdict {
	case replica.VerdictAccepted:
		return Verdict{Kind: VerdictAccepted, Revision: r.Change.Revision}, nil
	case replica.VerdictRejected:
		c := r.Change
		return Verdict{Kind: VerdictRejected, Number: c.Number, Reason: c.Reason, Origin: c.Origin, Time: c.ProposedAt}, nil
	case replica.VerdictOutOfOrder:
		return Verdict{Kind: VerdictOutOfOrder, Number: r.Expected - 1}, nil
	case replica.VerdictInvalid:
		return Verdict{Kind: VerdictInvalid, Problem: r.Problem}, nil
	}
	return Verdict{}, errors.Newf("verdict %v does not belong to a change", r.Verdict)
}
