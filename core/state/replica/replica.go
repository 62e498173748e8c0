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
	changes  []AcceptedChange // consecutive numbers, oldest first
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

// MaxDepartedMembers is how many members that left are remembered.
const MaxDepartedMembers = 1024

// Config holds the limits of a Replica, which must be equal on all members, and the check of a rule file.
type Config struct {
	ValidateRules func(text string) error // nil accepts every text; must give the same answer on all members
	DedupWindow   time.Duration           // 0: DefaultExpiry
	MaxClaims     int                     // 0: DefaultClaims
	MaxClaimBytes int                     // 0: DefaultBytes
}

func (c Config) withDefaults() Config {
	if c.ValidateRules == nil {
		c.ValidateRules = func(string) error { return nil }
	}
	if c.DedupWindow == 0 {
		c.DedupWindow = DefaultDedupWindow
	}
	if c.MaxClaims == 0 {
		c.MaxClaims = DefaultMaxClaims
	}
	if c.MaxClaimBytes == 0 {
		c.MaxClaimBytes = DefaultMaxClaimBytes
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
		return Result{Verdict: VerdictIgnored, Index: index}
	}
	r.applied = index
	r.now = max(r.now, millis(c.ProposedAt))
	r.expire()
	res := r.run(index, c)
	res.Index = index
	return res
}

func (r *Replica) run(index uint64, c Command) Result {
	switch c.Kind {
	case CommandChangeRules:
		return r.change(index, c)
	case CommandClaim:
		return r.claim(c)
	case CommandFinishClaim:
		return r.finish(c)
	case CommandReleaseClaim:
		return r.release(c)
	case CommandJoin:
		return r.join(c.Member)
	case CommandLeave:
		return r.leave(c.Member)
	case CommandChangeTable:
		return r.edit(index, c)
	case CommandSetZoneEvacuated:
		return r.zone(index, c)
	}
	return Result{}
}

func (r *Replica) join(m Member) Result {
	at, ok := r.member(m.ID)
	if ok {
		r.members[at] = m
		return Result{Verdict: VerdictStored}
	}
	r.members = slices.Insert(r.members, at, m)
	return Result{Verdict: VerdictStored}
}

// leave also notes founding members, which never joined.
func (r *Replica) leave(m Member) Result {
	if r.HasLeft(m.ID) {
		return Result{Verdict: VerdictIgnored}
	}
	if at, ok := r.member(m.ID); ok {
		r.members = slices.Delete(r.members, at, at+1)
	}
	r.left = append(r.left, m.ID)
	if len(r.left) > MaxDepartedMembers {
		r.left = r.left[1:]
	}
	return Result{Verdict: VerdictStored}
}

// HasLeft returns whether a member left; its ID must not join again.
func (r *Replica) HasLeft(id string) bool { return slices.Contains(r.left, id) }

func (r *Replica) member(id string) (int, bool) {
	return slices.BinarySearchFunc(r.members, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
}

// AppliedIndex returns the index of the last command applied.
func (r *Replica) AppliedIndex() uint64 { return r.applied }

// Rules returns the rules in force.
func (r *Replica) Rules() Rules { return r.rules }

// AcceptedChanges returns the remembered accepted changes, newest last.
func (r *Replica) AcceptedChanges() []AcceptedChange { return slices.Clone(r.changes) }

// ClaimCount returns the number of claims kept.
func (r *Replica) ClaimCount() int { return len(r.claims) }

// Members returns the members that joined, by ID.
func (r *Replica) Members() []Member { return slices.Clone(r.members) }
