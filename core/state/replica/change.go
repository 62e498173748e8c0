package replica

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenhill.example/core/state/field"
)

// Changes is how many accepted changes are remembered; a day at target size has 14,000.
const Changes = 16384

// Refusals is how many verdicts other than accepted are remembered for resends.
const Refusals = 4096

// Record is one accepted change of the rule file, without its text.
type Record struct {
	Revision uint64 // log index at which the change came into force
	Number   uint64
	Hash     uint64 // xxhash64 of the text
	Size     int    // length of the text in bytes
	Time     time.Time
	Origin   string
	Reason   string
}

// Rules is the rule file in force.
type Rules struct {
	Revision uint64
	Number   uint64
	Text     string
}

// refusal is the first verdict on a change that was not accepted.
type refusal struct {
	number  uint64
	hash    uint64
	size    int
	verdict Verdict
	next    uint64
	problem string
}

func (r *Replica) change(index uint64, c Command) Result {
	hash := xxhash.Sum64String(c.Text)
	if first, ok := r.resend(c, hash); ok {
		return first
	}
	if taken, ok := r.record(c.Number); ok {
		return r.refuse(c, hash, Result{Verdict: Rejected, Change: taken})
	}
	if c.Number != r.rules.Number+1 {
		return r.refuse(c, hash, Result{Verdict: OutOfOrder, Next: r.rules.Number + 1})
	}
	if err := r.cfg.Check(c.Text); err != nil {
		return r.refuse(c, hash, Result{Verdict: Invalid, Problem: err.Error()})
	}
	return Result{Verdict: Accepted, Change: r.accept(index, c)}
}

// accept puts the text of c in force.
func (r *Replica) accept(index uint64, c Command) Record {
	rec := Record{
		Revision: index, Number: c.Number, Hash: xxhash.Sum64String(c.Text), Size: len(c.Text),
		Time: c.Time, Origin: c.Origin, Reason: c.Reason,
	}
	r.rules = Rules{Revision: index, Number: c.Number, Text: c.Text}
	r.set.Store(nil)
	r.changes = append(r.changes, rec)
	if len(r.changes) > Changes {
		r.changes = r.changes[1:]
	}
	return rec
}

// resend returns the first verdict on the same number and bytes.
func (r *Replica) resend(c Command, hash uint64) (Result, bool) {
	if rec, ok := r.record(c.Number); ok && rec.Hash == hash && rec.Size == len(c.Text) {
		return Result{Verdict: Accepted, Change: rec}, true
	}
	for _, f := range r.refusals {
		if f.number != c.Number || f.hash != hash || f.size != len(c.Text) {
			continue
		}
		res := Result{Verdict: f.verdict, Next: f.next, Problem: f.problem}
		if f.verdict == Rejected {
			res.Change, _ = r.record(c.Number)
		}
		return res, true
	}
	return Result{}, false
}

// record finds the accepted change of a number; numbers in the history are consecutive.
func (r *Replica) record(number uint64) (Record, bool) {
	if len(r.changes) == 0 || number < r.changes[0].Number {
		return Record{}, false
	}
	at := number - r.changes[0].Number
	if at >= uint64(len(r.changes)) {
		return Record{}, false
	}
	return r.changes[at], true
}

func (r *Replica) refuse(c Command, hash uint64, res Result) Result {
	r.refusals = append(r.refusals, refusal{
		number: c.Number, hash: hash, size: len(c.Text),
		verdict: res.Verdict, next: res.Next, problem: res.Problem,
	})
	if len(r.refusals) > Refusals {
		r.refusals = r.refusals[1:]
	}
	return res
}

func (c Record) write(w *field.Writer) {
	w.Uint(1, c.Revision)
	w.Uint(2, c.Number)
	w.Uint(3, c.Hash)
	w.Uint(4, uint64(c.Size))
	w.Int(5, millis(c.Time))
	w.String(6, c.Origin)
	w.String(7, c.Reason)
}

func (c *Record) read(b []byte) error {
	return field.Read(b, func(f field.Field) error {
		switch f.Number {
		case 1:
			c.Revision = f.Uint
		case 2:
			c.Number = f.Uint
		case 3:
			c.Hash = f.Uint
		case 4:
			c.Size = int(f.Uint)
		case 5:
			c.Time = instant(f.Int())
		case 6:
			c.Origin = f.Text()
		case 7:
			c.Reason = f.Text()
		}
		return nil
	})
}

func (f refusal) write(w *field.Writer) {
	w.Uint(1, f.number)
	w.Uint(2, f.hash)
	w.Uint(3, uint64(f.size))
	w.Uint(4, uint64(f.verdict))
	w.Uint(5, f.next)
	w.String(6, f.problem)
}

func (f *refusal) read(b []byte) error {
	return field.Read(b, func(v field.Field) error {
		switch v.Number {
		case 1:
			f.number = v.Uint
		case 2:
			f.hash = v.Uint
		case 3:
			f.size = int(v.Uint)
		case 4:
			f.verdict = Verdict(v.Uint)
		case 5:
			f.next = v.Uint
		case 6:
			f.problem = v.Text()
		}
		return nil
	})
}
