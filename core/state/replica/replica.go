package replica

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"pollenhill.example/core/state/rule"
)

// Replica is the state after a prefix of the log; it is not safe for concurrent use.
type Replica struct {
	cfg      Config
	applied  uint64
	now      int64 // newest command time in Unix milliseconds; never goes back
	rules    Rules
	changes  []Record // consecutive numbers, oldest first
	refusals []refusal
	claims   map[claimKey]*claim
	order    []*claim                 // by time of the grant, may hold released claims
	released int                      // released claims still in order
	bytes    int                      // size of all claims
	members  []Member                 // by ID
	left     []string                 // IDs that left, oldest first
	version  uint64                   // of the table, 0 before the first
	edits    []edit                   // accepted changes of the table, by version
	set      atomic.Pointer[rule.Set] // compiled on demand, also by concurrent readers
}

// Left is how many members that left are remembered.
const Left = 1024

// Config holds the limits of a Replica, which must be equal on all members, and the check of a rule file.
type Config struct {
	Check  func(text string) error // nil accepts every text; must give the same answer on all members
	Expiry time.Duration           // 0: DefaultExpiry
	Claims int                     // 0: DefaultClaims
	Bytes  int                     // 0: DefaultBytes
}

func (c Config) withDefaults() Config {
	if c.Check == nil {
		c.Check = func(string) error { return nil }
	}
	if c.Expiry == 0 {
		c.Expiry = DefaultExpiry
	}
	if c.Claims == 0 {
		c.Claims = DefaultClaims
	}
	if c.Bytes == 0 {
		c.Bytes = DefaultBytes
	}
	return c
}

// New returns an empty Replica.
func New(cfg Config) *Replica {
	return &Replica{cfg: cfg.withDefaults(), claims: map[claimKey]*claim{}}
}

// Apply runs the command at a log index; an index applied before returns Ignored without effect.
func (r *Replica) Apply(index uint64, c Command) Result {
	if index <= r.applied {
		return Result{Verdict: Ignored, Index: index}
	}
	r.applied = index
	r.now = max(r.now, millis(c.Time))
	r.expire()
	res := r.run(index, c)
	res.Index = index
	return res
}

func (r *Replica) run(index uint64, c Command) Result {
	switch c.Kind {
	case Change:
		return r.change(index, c)
	case Claim:
		return r.claim(c)
	case Finish:
		return r.finish(c)
	case Release:
		return r.release(c)
	case Join:
		return r.join(c.Member)
	case Leave:
		return r.leave(c.Member)
	case Edit:
		return r.edit(index, c)
	case Zone:
		return r.zone(index, c)
	}
	return Result{}
}

func (r *Replica) join(m Member) Result {
	at, ok := r.member(m.ID)
	if ok {
		r.members[at] = m
		return Result{Verdict: Stored}
	}
	r.members = slices.Insert(r.members, at, m)
	return Result{Verdict: Stored}
}

// leave also notes founding members, which never joined.
func (r *Replica) leave(m Member) Result {
	if r.HasLeft(m.ID) {
		return Result{Verdict: Ignored}
	}
	if at, ok := r.member(m.ID); ok {
		r.members = slices.Delete(r.members, at, at+1)
	}
	r.left = append(r.left, m.ID)
	if len(r.left) > Left {
		r.left = r.left[1:]
	}
	return Result{Verdict: Stored}
}

// HasLeft returns whether a member left; its ID must not join again.
func (r *Replica) HasLeft(id string) bool { return slices.Contains(r.left, id) }

func (r *Replica) member(id string) (int, bool) {
	return slices.BinarySearchFunc(r.members, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
}

// Applied returns the index of the last command applied.
func (r *Replica) Applied() uint64 { return r.applied }

// Rules returns the rules in force.
func (r *Replica) Rules() Rules { return r.rules }

// Changes returns the remembered accepted changes, newest last.
func (r *Replica) Changes() []Record { return slices.Clone(r.changes) }

// Claims returns the number of claims kept.
func (r *Replica) Claims() int { return len(r.claims) }

// Members returns the members that joined, by ID.
func (r *Replica) Members() []Member { return slices.Clone(r.members) }
