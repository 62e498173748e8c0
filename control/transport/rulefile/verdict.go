package rulefile

import (
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/replica"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -linecomment

// Kind is the kind of a Verdict.
type Kind int

// Kinds of verdicts.
const (
	VerdictAccepted   Kind = iota // accepted
	VerdictRejected               // rejected
	VerdictOutOfOrder             // out of order
	VerdictInvalid                // invalid
)

// Verdict is the decision of the control group about a submitted change; a repeated submission gets the first one again.
type Verdict struct {
	Kind     Kind
	Revision uint64    // accepted: consensus revision of the change
	Number   uint64    // rejected: number of the accepted change; out of order: number in force
	Text     string    // rejected: accepted text of that number, empty if the group no longer has it
	Reason   string    // rejected: comment on the change line of the accepted text
	Origin   string    // rejected: control process whose file held the accepted text
	Time     time.Time // rejected: when the accepted change was proposed
	Problem  string    // invalid: problems that the group found
}

// VerdictFromResult returns the verdict in a result of the replicated state machine, or an error if the result is not
// about a change.
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
