package replica

import (
	"time"

	"pollenhill.example/core/state/field"
)

// DefaultExpiry is how long a claim is kept: resends of a booking come within a day.
const DefaultExpiry = 24 * time.Hour

// DefaultClaims is how many claims are kept at once; a further claim is refused, which is safe, while dropping one is not.
const DefaultClaims = 100_000

// DefaultBytes bounds the keys and answer bodies of all claims, and with them the time that a snapshot holds up
// the group, which must stay well under an election timeout.
const DefaultBytes = 32 << 20

// MaxBody is the longest answer body that Finish keeps, in bytes.
const MaxBody = 16 << 10

type claimKey struct {
	service string
	key     string
}

type claim struct {
	claimKey
	attempt string
	print   uint64
	since   int64 // state time of the grant in Unix milliseconds
	done    bool
	answer  Answer
}

func (c *claim) size() int {
	return len(c.service) + len(c.key) + len(c.attempt) + len(c.answer.Type) + len(c.answer.Body)
}

func (r *Replica) claim(c Command) Result {
	id := claimKey{c.Service, c.Key}
	held, ok := r.claims[id]
	switch {
	case !ok && (len(r.claims) >= r.cfg.Claims || r.bytes >= r.cfg.Bytes):
		return Result{Verdict: Full}
	case !ok:
		r.insert(&claim{claimKey: id, attempt: c.Attempt, print: c.Print, since: r.now})
		return Result{Verdict: Granted}
	case held.print != c.Print:
		return Result{Verdict: Mismatch}
	case held.done:
		return Result{Verdict: Done, Answer: held.answer}
	case held.attempt == c.Attempt:
		return Result{Verdict: Granted}
	}
	return Result{Verdict: Held}
}

// finish keeps the first answer; an answer too long to keep leaves the claim held, so that resends get unknown.
func (r *Replica) finish(c Command) Result {
	held, ok := r.claims[claimKey{c.Service, c.Key}]
	if !ok || held.attempt != c.Attempt || held.done || len(c.Answer.Body) > MaxBody {
		return Result{Verdict: Ignored}
	}
	r.bytes -= held.size()
	held.done = true
	held.answer = c.Answer
	r.bytes += held.size()
	return Result{Verdict: Stored}
}

func (r *Replica) release(c Command) Result {
	id := claimKey{c.Service, c.Key}
	held, ok := r.claims[id]
	if !ok || held.attempt != c.Attempt || held.done {
		return Result{Verdict: Ignored}
	}
	r.remove(held)
	return Result{Verdict: Stored}
}

func (r *Replica) insert(c *claim) {
	r.claims[c.claimKey] = c
	r.order = append(r.order, c)
	r.bytes += c.size()
}

func (r *Replica) remove(c *claim) {
	delete(r.claims, c.claimKey)
	r.bytes -= c.size()
	r.released++
	if r.released > len(r.order)/2 {
		r.compact()
	}
}

// compact drops released claims from the order of grants.
func (r *Replica) compact() {
	kept := make([]*claim, 0, len(r.claims))
	for _, c := range r.order {
		if r.claims[c.claimKey] == c {
			kept = append(kept, c)
		}
	}
	r.order = kept
	r.released = 0
}

// expire drops the claims whose age at state time has reached the expiry.
func (r *Replica) expire() {
	limit := r.now - r.cfg.Expiry.Milliseconds()
	for len(r.order) > 0 && r.order[0].since <= limit {
		c := r.order[0]
		r.order = r.order[1:]
		if r.claims[c.claimKey] != c {
			r.released--
			continue
		}
		delete(r.claims, c.claimKey)
		r.bytes -= c.size()
	}
}

func (c *claim) write(w *field.Writer) {
	w.String(1, c.service)
	w.String(2, c.key)
	w.String(3, c.attempt)
	w.Uint(4, c.print)
	w.Int(5, c.since)
	if c.done {
		w.Uint(6, 1)
	}
	w.Nested(7, c.answer.write)
}

func (c *claim) read(b []byte) error {
	return field.Read(b, func(f field.Field) error {
		switch f.Number {
		case 1:
			c.service = f.Text()
		case 2:
			c.key = f.Text()
		case 3:
			c.attempt = f.Text()
		case 4:
			c.print = f.Uint
		case 5:
			c.since = f.Int()
		case 6:
			c.done = f.Uint == 1
		case 7:
			return c.answer.read(f.Bytes)
		}
		return nil
	})
}
