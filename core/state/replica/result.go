package replica

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/protofield"
)

// Verdict is the outcome of a Command. The numbers are part of the snapshot format.
type Verdict int

// Verdicts of commands.
const (
	// The command had no effect: its index was applied before, the attempt does not hold an unfinished claim, the response is too
	// long to keep, or the member has left already.
	VerdictIgnored Verdict = iota // ignored
	// The rule file or the table was replaced.
	VerdictAccepted // accepted
	// Another rule file was accepted under the change number.
	VerdictRejected // rejected
	// The change number is not the next one.
	VerdictOutOfOrder // out of order
	// The rule file, table or zone is not valid.
	VerdictInvalid // invalid
	// The attempt holds the claim and may run the request.
	VerdictGranted // granted
	// Another attempt holds the claim.
	VerdictHeld // held
	// The request was run; the result has its response.
	VerdictDone // done
	// The idempotency key was used for a different request.
	VerdictMismatch // mismatch
	// No further claim can be kept.
	VerdictFull // full
	// The claim, member, zone or instance has the state that the command asks for.
	VerdictStored // stored
	// The base version of the change is not the current version of the table, or a newer order about the zone was carried out.
	VerdictStale // stale
)

// Result is the result of one command. Fields other than Verdict and Index are set only for the verdicts listed.
type Result struct {
	Verdict  Verdict
	Index    uint64         // log index of the command
	Change   AcceptedChange // VerdictAccepted: this change; VerdictRejected: the accepted change of that number
	Expected uint64         // VerdictOutOfOrder: next change number; VerdictStale: current version of the table, or newest order about the zone
	Problem  string         // VerdictInvalid: error of the validation
	Response Response       // VerdictDone
}

// Encode returns the encoding of the result, for the control process that forwarded the command.
func (r Result) Encode() []byte {
	var w protofield.Writer
	w.Uint(1, uint64(r.Verdict))
	w.Uint(2, r.Index)
	w.Nested(3, r.Change.write)
	w.Uint(4, r.Expected)
	w.String(5, r.Problem)
	w.Nested(6, r.Response.write)
	return w.Encoded()
}

// DecodeResult decodes what Encode returns. Unknown fields are ignored.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	err := protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			r.Verdict = Verdict(f.Uint)
		case 2:
			r.Index = f.Uint
		case 3:
			return r.Change.parse(f.Bytes)
		case 4:
			r.Expected = f.Uint
		case 5:
			r.Problem = f.Text()
		case 6:
			return r.Response.parse(f.Bytes)
		}
		return nil
	})
	return r, errors.Wrap(err, "decode result")
}
