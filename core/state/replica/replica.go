package replica

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"pollenhill.example/core/state/rule"
)

// Replica is the state of the state machine after a prefix of the log. It is not safe for concurrent use.
type Replica struct {
	cfg             Config
	appliedIndex    uint64
	stateTime       int64 // latest ProposedAt of all commands, in Unix milliseconds; never goes back
	rules           Rules
	acceptedChanges []AcceptedChange // consecutive numbers, oldest first
	refusedChanges  []refusedChange  // oldest first
	claims          map[claimKey]*claim
	claimsByAge     []*claim                 // oldest first, released claims included until compactClaims
	releasedClaims  int                      // number of released claims in claimsByAge
	claimBytes      int                      // total size of claims
	members         []Member                 // sorted by ID
	departedIDs     []string                 // IDs of members that left, oldest first
	tableVersion    uint64                   // of the routing table, 0 before the first change
	tableChanges    []tableChange            // accepted changes of the routing table, sorted by version
	endedInstances  []endedInstance          // oldest first
	zoneOrders      []zoneOrder              // oldest first
	parsedRules     atomic.Pointer[rule.Set] // nil until needed; atomic because concurrent readers set it
}

// MaxDepartedMembers is the number of members that left whose IDs are remembered.
const MaxDepartedMembers = 1024

// Config configures a Replica. It must be equal on all members, because the results of commands depend on it.
type Config struct {
	ValidateRules func(text string) error // must be deterministic; nil accepts every text
	DedupWindow   time.Duration           // how long a claim is kept after its grant; 0: DefaultDedupWindow
	MaxClaims     int                     // claims kept at once; 0: DefaultMaxClaims
	MaxClaimBytes int                     // total size of the claims; 0: DefaultMaxClaimBytes
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

// Apply applies the command at a log index. For an index that was applied before it does nothing and returns VerdictIgnored.
func (r *Replica) Apply(index uint64, c Command) Result {
	if index <= r.appliedIndex {
		return Result{Verdict: VerdictIgnored, Index: index}
	}
	r.appliedIndex = index
	r.stateTime = max(r.stateTime, toMillis(c.ProposedAt))
	r.expireClaims()
	res := r.execute(index, c)
	res.Index = index
	return res
}

func (r *Replica) execute(index uint64, c Command) Result {
	switch c.Kind {
	case CommandChangeRules:
		return r.changeRules(index, c)
	case CommandClaim:
		return r.grantClaim(c)
	case CommandFinishClaim:
		return r.finishClaim(c)
	case CommandReleaseClaim:
		return r.releaseClaim(c)
	case CommandJoin:
		return r.addMember(c.Member)
	case CommandLeave:
		return r.removeMember(c.Member)
	case CommandChangeTable:
		return r.changeTable(index, c)
	case CommandSetZoneEvacuated:
		return r.setZoneEvacuated(index, c)
	case CommandEndInstance:
		return r.endInstance(c)
	case CommandOrderRollout:
		return r.orderRollout(index, c)
	case CommandAdvanceRollout:
		return r.advanceRollout(index, c)
	}
	return Result{}
}

func (r *Replica) addMember(m Member) Result {
	i, ok := r.findMember(m.ID)
	if ok {
		r.members[i] = m
		return Result{Verdict: VerdictStored}
	}
	r.members = slices.Insert(r.members, i, m)
	return Result{Verdict: VerdictStored}
}

// removeMember records the ID of any member that leaves, also of a founding member, which is not in members.
func (r *Replica) removeMember(m Member) Result {
	if r.HasLeft(m.ID) {
		return Result{Verdict: VerdictIgnored}
	}
	if i, ok := r.findMember(m.ID); ok {
		r.members = slices.Delete(r.members, i, i+1)
	}
	r.departedIDs = append(r.departedIDs, m.ID)
	if len(r.departedIDs) > MaxDepartedMembers {
		r.departedIDs = r.departedIDs[1:]
	}
	return Result{Verdict: VerdictStored}
}

// HasLeft reports whether the member with that ID left the group; the ID must not join again.
func (r *Replica) HasLeft(id string) bool { return slices.Contains(r.departedIDs, id) }

// findMember returns the index of a member, or the index to insert it at and false.
func (r *Replica) findMember(id string) (int, bool) {
	return slices.BinarySearchFunc(r.members, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
}

// AppliedIndex returns the log index of the last command applied.
func (r *Replica) AppliedIndex() uint64 { return r.appliedIndex }

// Rules returns the rule file in force.
func (r *Replica) Rules() Rules { return r.rules }

// AcceptedChanges returns the remembered changes of the rule file, oldest first.
func (r *Replica) AcceptedChanges() []AcceptedChange { return slices.Clone(r.acceptedChanges) }

// ClaimCount returns the number of claims that are kept, held and finished ones.
func (r *Replica) ClaimCount() int { return len(r.claims) }

// Members returns the members that joined and have not left, sorted by ID.
func (r *Replica) Members() []Member { return slices.Clone(r.members) }
