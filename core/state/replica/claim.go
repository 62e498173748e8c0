package replica

import (
	"time"

	"pollenhill.example/core/state/protofield"
)

// DefaultDedupWindow is how long a claim is kept: resends of a booking come within a day.
const DefaultDedupWindow = 24 * time.Hour

// DefaultMaxClaims is how many claims are kept at once; a further claim is refused, which is safe, while dropping one is not.
const DefaultMaxClaims = 100_000

// DefaultMaxClaimBytes bounds the keys and answer bodies of all claims, and with them the time that a snapshot holds up
// the group, which must stay well under an election timeout.
const DefaultMaxClaimBytes = 32 << 20

// MaxResponseBody is the longest answer body that Finish keeps, in bytes.
const MaxResponseBody = 16 << 10

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
	answer  Response
}

func (c *claim) size() int {
	return len(c.service) + len(c.key) + len(c.attempt) + len(c.answer.ContentType) + len(c.answer.Body)
}

func (r *Replica) claim(c Command) Result {
	id := claimKey{c.Service, c.IdempotencyKey}
	held, ok := r.claims[id]
	switch {
	case !ok && (len(r.claims) >= r.cfg.MaxClaims || r.bytes >= r.cfg.MaxClaimBytes):
		return Result{Verdict: VerdictFull}
	case !ok:
		r.insert(&claim{claimKey: id, attempt: c.AttemptID, print: c.Fingerprint, since: r.now})
		return Result{Verdict: VerdictGranted}
	case held.print != c.Fingerprint:
		return Result{Verdict: VerdictMismatch}
	case held.done:
		return Result{Verdict: VerdictDone, Response: held.answer}
	case held.attempt == c.AttemptID:
		return Result{Verdict: VerdictGranted}
	}
	return Result{Verdict: VerdictHeld}
}

// finish keeps the first answer; an answer too long to keep leaves the claim held, so that resends get unknown.
func (r *Replica) finish(c Command) Result {
	held, ok := r.claims[claimKey{c.Service, c.IdempotencyKey}]
	if !ok || held.attempt != c.AttemptID || held.done || len(c.Response.Body) > MaxResponseBody {
		return Result{Verdict: VerdictIgnored}
	}
	r.bytes -= held.size()
	held.done = true
	held.answer = c.Response
	r.bytes += held.size()
	return Result{Verdict: VerdictStored}
}

func (r *Replica) release(c Command) Result {
	id := claimKey{c.Service, c.IdempotencyKey}
	held, ok := r.claims[id]
	if !ok || held.attempt != c.AttemptID || held.done {
		return Result{Verdict: VerdictIgnored}
	}
	r.remove(held)
	return Result{Verdict: VerdictStored}
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
	limit := r.now - r.cfg.DedupWindow.Milliseconds()
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

func (c *claim) write(w *protofield.Writer) {
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
	return protofield.ForEach(b, func(f protofield.Field) error {
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
