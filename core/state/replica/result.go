package replica

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/field"
)

// Verdict is the outcome of a Command; the numbers are part of the snapshot format.
type Verdict int

// Verdicts of commands.
const (
	Ignored    Verdict = iota // ignored
	Accepted                  // accepted
	Rejected                  // rejected
	OutOfOrder                // out of order
	Invalid                   // invalid
	Granted                   // granted
	Held                      // held
	Done                      // done
	Mismatch                  // mismatch
	Full                      // full
	Stored                    // stored
	Stale                     // stale
)

// Result is what Apply returns for one command.
type Result struct {
	Verdict Verdict
	Index   uint64 // log index of the command
	Change  Record // Accepted: this change; Rejected: the accepted change of that number
	Next    uint64 // OutOfOrder: number that would have been accepted; Stale: version of the table
	Problem string // Invalid: what Check found
	Answer  Answer // Done
}

// Encode returns the bytes of the result for forwarding.
func (r Result) Encode() []byte {
	var w field.Writer
	w.Uint(1, uint64(r.Verdict))
	w.Uint(2, r.Index)
	w.Nested(3, r.Change.write)
	w.Uint(4, r.Next)
	w.String(5, r.Problem)
	w.Nested(6, r.Answer.write)
	return w.Done()
}

// DecodeResult reads bytes written by Encode.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	err := field.Read(b, func(f field.Field) error {
		switch f.Number {
		case 1:
			r.Verdict = Verdict(f.Uint)
		case 2:
			r.Index = f.Uint
		case 3:
			return r.Change.read(f.Bytes)
		case 4:
			r.Next = f.Uint
		case 5:
			r.Problem = f.Text()
		case 6:
			return r.Answer.read(f.Bytes)
		}
		return nil
	})
	return r, errors.Wrap(err, "decode result")
}
