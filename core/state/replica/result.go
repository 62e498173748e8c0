package replica

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/protofield"
)

// Verdict is the outcome of a Command; the numbers are part of the snapshot format.
type Verdict int

// Verdicts of commands.
const (
	VerdictIgnored    Verdict = iota // ignored
	VerdictAccepted                  // accepted
	VerdictRejected                  // rejected
	VerdictOutOfOrder                // out of order
	VerdictInvalid                   // invalid
	VerdictGranted                   // granted
	VerdictHeld                      // held
	VerdictDone                      // done
	VerdictMismatch                  // mismatch
	VerdictFull                      // full
	VerdictStored                    // stored
	VerdictStale                     // stale
)

// Result is what Apply returns for one command.
type Result struct {
	Verdict  Verdict
	Index    uint64         // log index of the command
	Change   AcceptedChange // Accepted: this change; Rejected: the accepted change of that number
	Expected uint64         // OutOfOrder: number that would have been accepted; Stale: version of the table
	Problem  string         // Invalid: what Check found
	Response Response       // Done
}

// Encode returns the bytes of the result for forwarding.
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

// DecodeResult reads bytes written by Encode.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	err := protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			r.Verdict = Verdict(f.Uint)
		case 2:
			r.Index = f.Uint
		case 3:
			return r.Change.read(f.Bytes)
		case 4:
			r.Expected = f.Uint
		case 5:
			r.Problem = f.Text()
		case 6:
			return r.Response.read(f.Bytes)
		}
		return nil
	})
	return r, errors.Wrap(err, "decode result")
}
