package replica

import (
	"time"

	"pollenhill.example/core/state/protofield"
)

// DefaultDedupWindow is how long a claim is kept after its grant: resends of a booking come within a day.
const DefaultDedupWindow = 24 * time.Hour

// DefaultMaxClaims is the number of claims kept at once. A further claim is refused, which is safe; dropping a claim is not,
// because a resend could then run the request again.
const DefaultMaxClaims = 100_000

// DefaultMaxClaimBytes bounds the memory of the keys and responses of all claims, in bytes, and with it the time for which a
// snapshot blocks the control group; that must stay well under an election timeout.
const DefaultMaxClaimBytes = 32 << 20

// MaxResponseBody is the size in bytes of the longest response body that is kept with a claim.
const MaxResponseBody = 16 << 10

// claimKey identifies a claim: idempotency keys are unique within a service.
type claimKey struct {
	service        string
	idempotencyKey string
}

// claim is the right of one attempt to run a request, later the response that resends get.
type claim struct {
	claimKey
	attemptID   string
	fingerprint uint64
	grantedAt   int64 // Replica.stateTime of the grant, in Unix milliseconds
	finished    bool
	response    Response
}

// size returns what the claim counts towards Config.MaxClaimBytes.
func (c *claim) size() int {
	return len(c.service) + len(c.idempotencyKey) + len(c.attemptID) + len(c.response.ContentType) + len(c.response.Body)
}

// grantClaim grants the claim of a key that is free, again to the same attempt, or returns why it cannot.
func (r *Replica) grantClaim(c Command) Result {
	key := claimKey{c.Service, c.IdempotencyKey}
	held, ok := r.claims[key]
	switch {
	case !ok && (len(r.claims) >= r.cfg.MaxClaims || r.claimBytes >= r.cfg.MaxClaimBytes):
		return Result{Verdict: VerdictFull}
	case !ok:
		r.insertClaim(&claim{claimKey: key, attemptID: c.AttemptID, fingerprint: c.Fingerprint, grantedAt: r.stateTime})
		return Result{Verdict: VerdictGranted}
	case held.fingerprint != c.Fingerprint:
		return Result{Verdict: VerdictMismatch}
	case held.finished:
		return Result{Verdict: VerdictDone, Response: held.response}
	case held.attemptID == c.AttemptID:
		return Result{Verdict: VerdictGranted}
	}
	return Result{Verdict: VerdictHeld}
}

// finishClaim stores the first response of the attempt that holds the claim. If the body exceeds MaxResponseBody, the claim
// stays held, so that resends get an unknown outcome instead of running the request again.
func (r *Replica) finishClaim(c Command) Result {
	held, ok := r.claims[claimKey{c.Service, c.IdempotencyKey}]
	if !ok || held.attemptID != c.AttemptID || held.finished || len(c.Response.Body) > MaxResponseBody {
		return Result{Verdict: VerdictIgnored}
	}
	r.claimBytes -= held.size()
	held.finished = true
	held.response = c.Response
	r.claimBytes += held.size()
	return Result{Verdict: VerdictStored}
}

// releaseClaim frees a key whose attempt did not run the request.
func (r *Replica) releaseClaim(c Command) Result {
	key := claimKey{c.Service, c.IdempotencyKey}
	held, ok := r.claims[key]
	if !ok || held.attemptID != c.AttemptID || held.finished {
		return Result{Verdict: VerdictIgnored}
	}
	r.removeClaim(held)
	return Result{Verdict: VerdictStored}
}

func (r *Replica) insertClaim(c *claim) {
	r.claims[c.claimKey] = c
	r.claimsByAge = append(r.claimsByAge, c)
	r.claimBytes += c.size()
}

// removeClaim leaves the claim in claimsByAge, which is compacted once more than half of it is released.
func (r *Replica) removeClaim(c *claim) {
	delete(r.claims, c.claimKey)
	r.claimBytes -= c.size()
	r.releasedClaims++
	if r.releasedClaims > len(r.claimsByAge)/2 {
		r.compactClaims()
	}
}

// compactClaims removes released claims from claimsByAge.
func (r *Replica) compactClaims() {
	kept := make([]*claim, 0, len(r.claims))
	for _, c := range r.claimsByAge {
		if r.claims[c.claimKey] == c {
			kept = append(kept, c)
		}
	}
	r.claimsByAge = kept
	r.releasedClaims = 0
}

// expireClaims removes the claims that were granted a dedup window or longer before stateTime.
func (r *Replica) expireClaims() {
	newestExpired := r.stateTime - r.cfg.DedupWindow.Milliseconds()
	for len(r.claimsByAge) > 0 && r.claimsByAge[0].grantedAt <= newestExpired {
		c := r.claimsByAge[0]
		r.claimsByAge = r.claimsByAge[1:]
		if r.claims[c.claimKey] != c {
			r.releasedClaims--
			continue
		}
		delete(r.claims, c.claimKey)
		r.claimBytes -= c.size()
	}
}

func (c *claim) write(w *protofield.Writer) {
	w.String(1, c.service)
	w.String(2, c.idempotencyKey)
	w.String(3, c.attemptID)
	w.Uint(4, c.fingerprint)
	w.Int(5, c.grantedAt)
	if c.finished {
		w.Uint(6, 1)
	}
	w.Nested(7, c.response.write)
}

func (c *claim) parse(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			c.service = f.Text()
		case 2:
			c.idempotencyKey = f.Text()
		case 3:
			c.attemptID = f.Text()
		case 4:
			c.fingerprint = f.Uint
		case 5:
			c.grantedAt = f.Int()
		case 6:
			c.finished = f.Uint == 1
		case 7:
			return c.response.parse(f.Bytes)
		}
		return nil
	})
}
