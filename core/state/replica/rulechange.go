package replica

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenhill.example/core/state/protofield"
)

// MaxAcceptedChanges is the number of accepted changes that are remembered; a day at the target size has 14,000.
const MaxAcceptedChanges = 16384

// MaxRefusedChanges is the number of refused changes whose verdicts are remembered for resends.
const MaxRefusedChanges = 4096

// AcceptedChange describes one accepted change of the rule file, without its text.
type AcceptedChange struct {
	Revision   uint64    // log index at which the change was accepted
	Number     uint64    // change number
	TextHash   uint64    // xxhash64 of the rule file
	TextSize   int       // length of the rule file in bytes
	ProposedAt time.Time // by the clock of the proposing control process
	Origin     string    // control process that proposed the change
	Reason     string    // comment of the change line, "who: why"
}

// Rules is the rule file in force; the zero value means that no change was accepted yet.
type Rules struct {
	Revision     uint64 // log index at which it was accepted
	ChangeNumber uint64 // of the change line
	Text         string
}

// refusedChange is the verdict on a change that was not accepted. It is kept so that a resend gets the same verdict, even if
// another change was accepted meanwhile.
type refusedChange struct {
	number   uint64
	textHash uint64
	textSize int
	verdict  Verdict
	expected uint64 // see Result
	problem  string
}

// changeRules replaces the rule file if the change has the next number and a valid text. A resend gets the first result again.
func (r *Replica) changeRules(index uint64, c Command) Result {
	hash := xxhash.Sum64String(c.Text)
	if first, ok := r.firstResult(c, hash); ok {
		return first
	}
	if taken, ok := r.acceptedChange(c.ChangeNumber); ok {
		return r.rememberRefusal(c, hash, Result{Verdict: VerdictRejected, Change: taken})
	}
	if c.ChangeNumber != r.rules.ChangeNumber+1 {
		return r.rememberRefusal(c, hash, Result{Verdict: VerdictOutOfOrder, Expected: r.rules.ChangeNumber + 1})
	}
	if err := r.cfg.ValidateRules(c.Text); err != nil {
		return r.rememberRefusal(c, hash, Result{Verdict: VerdictInvalid, Problem: err.Error()})
	}
	before, rollouts := r.ruleSet().EvacuatedZones, r.ruleSet().Rollouts
	change := r.acceptRules(index, c)
	r.recordZoneChanges(index, before, r.ruleSet().EvacuatedZones)
	r.recordRolloutChanges(index, rollouts, r.ruleSet().Rollouts)
	return Result{Verdict: VerdictAccepted, Change: change}
}

// acceptRules puts the text of c in force and remembers the change.
func (r *Replica) acceptRules(index uint64, c Command) AcceptedChange {
	change := AcceptedChange{
		Revision: index, Number: c.ChangeNumber, TextHash: xxhash.Sum64String(c.Text), TextSize: len(c.Text),
		ProposedAt: c.ProposedAt, Origin: c.Origin, Reason: c.Reason,
	}
	r.rules = Rules{Revision: index, ChangeNumber: c.ChangeNumber, Text: c.Text}
	r.parsedRules.Store(nil)
	r.acceptedChanges = append(r.acceptedChanges, change)
	if len(r.acceptedChanges) > MaxAcceptedChanges {
		r.acceptedChanges = r.acceptedChanges[1:]
	}
	return change
}

// firstResult returns the result of an earlier change with the same number and text.
func (r *Replica) firstResult(c Command, hash uint64) (Result, bool) {
	if change, ok := r.acceptedChange(c.ChangeNumber); ok && change.TextHash == hash && change.TextSize == len(c.Text) {
		return Result{Verdict: VerdictAccepted, Change: change}, true
	}
	for _, refused := range r.refusedChanges {
		if refused.number != c.ChangeNumber || refused.textHash != hash || refused.textSize != len(c.Text) {
			continue
		}
		res := Result{Verdict: refused.verdict, Expected: refused.expected, Problem: refused.problem}
		if refused.verdict == VerdictRejected {
			res.Change, _ = r.acceptedChange(c.ChangeNumber)
		}
		return res, true
	}
	return Result{}, false
}

// acceptedChange returns the remembered change with the given number. Its index follows from the number, because the numbers
// of acceptedChanges are consecutive.
func (r *Replica) acceptedChange(number uint64) (AcceptedChange, bool) {
	if len(r.acceptedChanges) == 0 || number < r.acceptedChanges[0].Number {
		return AcceptedChange{}, false
	}
	i := number - r.acceptedChanges[0].Number
	if i >= uint64(len(r.acceptedChanges)) {
		return AcceptedChange{}, false
	}
	return r.acceptedChanges[i], true
}

// rememberRefusal returns res after it has stored it for resends of c.
func (r *Replica) rememberRefusal(c Command, hash uint64, res Result) Result {
	r.refusedChanges = append(r.refusedChanges, refusedChange{
		number: c.ChangeNumber, textHash: hash, textSize: len(c.Text),
		verdict: res.Verdict, expected: res.Expected, problem: res.Problem,
	})
	if len(r.refusedChanges) > MaxRefusedChanges {
		r.refusedChanges = r.refusedChanges[1:]
	}
	return res
}

func (c AcceptedChange) write(w *protofield.Writer) {
	w.Uint(1, c.Revision)
	w.Uint(2, c.Number)
	w.Uint(3, c.TextHash)
	w.Uint(4, uint64(c.TextSize))
	w.Int(5, toMillis(c.ProposedAt))
	w.String(6, c.Origin)
	w.String(7, c.Reason)
}

func (c *AcceptedChange) parse(b []byte) error {
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
			c.ProposedAt = fromMillis(f.Int())
		case 6:
			c.Origin = f.Text()
		case 7:
			c.Reason = f.Text()
		}
		return nil
	})
}

func (f refusedChange) write(w *protofield.Writer) {
	w.Uint(1, f.number)
	w.Uint(2, f.textHash)
	w.Uint(3, uint64(f.textSize))
	w.Uint(4, uint64(f.verdict))
	w.Uint(5, f.expected)
	w.String(6, f.problem)
}

func (f *refusedChange) parse(b []byte) error {
	return protofield.ForEach(b, func(v protofield.Field) error {
		switch v.Number {
		case 1:
			f.number = v.Uint
		case 2:
			f.textHash = v.Uint
		case 3:
			f.textSize = int(v.Uint)
		case 4:
			f.verdict = Verdict(v.Uint)
		case 5:
			f.expected = v.Uint
		case 6:
			f.problem = v.Text()
		}
		return nil
	})
}
