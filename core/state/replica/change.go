package replica

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenhill.example/core/state/protofield"
)

// MaxAcceptedChanges is how many accepted changes are remembered; a day at target size has 14,000.
const MaxAcceptedChanges = 16384

// MaxRefusedChanges is how many verdicts other than accepted are remembered for resends.
const MaxRefusedChanges = 4096

// AcceptedChange is one accepted change of the rule file, without its text.
type AcceptedChange struct {
	Revision   uint64 // log index at which the change came into force
	Number     uint64
	TextHash   uint64 // xxhash64 of the text
	TextSize   int    // length of the text in bytes
	ProposedAt time.Time
	Origin     string
	Reason     string
}

// Rules is the rule file in force.
type Rules struct {
	Revision     uint64
	ChangeNumber uint64
	Text         string
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
	if taken, ok := r.record(c.ChangeNumber); ok {
		return r.refuse(c, hash, Result{Verdict: VerdictRejected, Change: taken})
	}
	if c.ChangeNumber != r.rules.ChangeNumber+1 {
		return r.refuse(c, hash, Result{Verdict: VerdictOutOfOrder, Expected: r.rules.ChangeNumber + 1})
	}
	if err := r.cfg.ValidateRules(c.Text); err != nil {
		return r.refuse(c, hash, Result{Verdict: VerdictInvalid, Problem: err.Error()})
	}
	return Result{Verdict: VerdictAccepted, Change: r.accept(index, c)}
}

// accept puts the text of c in force.
func (r *Replica) accept(index uint64, c Command) AcceptedChange {
	rec := AcceptedChange{
		Revision: index, Number: c.ChangeNumber, TextHash: xxhash.Sum64String(c.Text), TextSize: len(c.Text),
		ProposedAt: c.ProposedAt, Origin: c.Origin, Reason: c.Reason,
	}
	r.rules = Rules{Revision: index, ChangeNumber: c.ChangeNumber, Text: c.Text}
	r.set.Store(nil)
	r.changes = append(r.changes, rec)
	if len(r.changes) > MaxAcceptedChanges {
		r.changes = r.changes[1:]
	}
	return rec
}

// resend returns the first verdict on the same number and bytes.
func (r *Replica) resend(c Command, hash uint64) (Result, bool) {
	if rec, ok := r.record(c.ChangeNumber); ok && rec.TextHash == hash && rec.TextSize == len(c.Text) {
		return Result{Verdict: VerdictAccepted, Change: rec}, true
	}
	for _, f := range r.refusals {
		if f.number != c.ChangeNumber || f.hash != hash || f.size != len(c.Text) {
			continue
		}
		res := Result{Verdict: f.verdict, Expected: f.next, Problem: f.problem}
		if f.verdict == VerdictRejected {
			res.Change, _ = r.record(c.ChangeNumber)
		}
		return res, true
	}
	return Result{}, false
}

// record finds the accepted change of a number; numbers in the history are consecutive.
func (r *Replica) record(number uint64) (AcceptedChange, bool) {
	if len(r.changes) == 0 || number < r.changes[0].Number {
		return AcceptedChange{}, false
	}
	at := number - r.changes[0].Number
	if at >= uint64(len(r.changes)) {
		return AcceptedChange{}, false
	}
	return r.changes[at], true
}

func (r *Replica) refuse(c Command, hash uint64, res Result) Result {
	r.refusals = append(r.refusals, refusal{
		number: c.ChangeNumber, hash: hash, size: len(c.Text),
		verdict: res.Verdict, next: res.Expected, problem: res.Problem,
	})
	if len(r.refusals) > MaxRefusedChanges {
		r.refusals = r.refusals[1:]
	}
	return res
}

func (c AcceptedChange) write(w *protofield.Writer) {
	w.Uint(1, c.Revision)
	w.Uint(2, c.Number)
	w.Uint(3, c.TextHash)
	w.Uint(4, uint64(c.TextSize))
	w.Int(5, millis(c.ProposedAt))
	w.String(6, c.Origin)
	w.String(7, c.Reason)
}

func (c *AcceptedChange) read(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			c.Revision = f.Uint
		case 2:
			c.Number = f.Uint
		case 3:
			c.TextHash = f.Uint
		case 4:
			c.TextSize = int(f.Uint)
		case 5:
			c.ProposedAt = instant(f.Int())
		case 6:
			c.Origin = f.Text()
		case 7:
			c.Reason = f.Text()
		}
		return nil
	})
}

func (f refusal) write(w *protofield.Writer) {
	w.Uint(1, f.number)
	w.Uint(2, f.hash)
	w.Uint(3, uint64(f.size))
	w.Uint(4, uint64(f.verdict))
	w.Uint(5, f.next)
	w.String(6, f.problem)
}

func (f *refusal) read(b []byte) error {
	return protofield.ForEach(b, func(v protofield.Field) error {
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
