package raft_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/wal"
)

// singleMember is the model of member a. The test plays the other members, and writes are durable immediately.
type singleMember struct {
	t        *testing.T
	now      time.Time
	model    *raft.Model
	lastCmds []raft.Cmd // of the last input
}

func newSingleMember(t *testing.T, set raft.Membership, c wal.Content) *singleMember {
	t.Helper()
	now := time.UnixMilli(1_700_000_000_000)
	model, err := raft.New(raft.Config{
		ID: "a", InitialMembership: set, ElectionTimeout: electionTimeout, HeartbeatInterval: electionTimeout / 5,
		Rand: rand.New(rand.NewPCG(1, 1)),
	}, now, c)
	if err != nil {
		t.Fatal(err)
	}
	return &singleMember{t: t, now: now, model: model}
}

func (s *singleMember) update(msg raft.Msg) {
	s.lastCmds = nil
	queue := s.model.Update(s.now, msg)
	for len(queue) > 0 {
		c := queue[0]
		queue = queue[1:]
		s.lastCmds = append(s.lastCmds, c)
		switch c := c.(type) {
		case raft.Save:
			queue = append(queue, s.model.Update(s.now, raft.Persisted{Sequence: c.Sequence})...)
		case raft.Rewrite:
			queue = append(queue, s.model.Update(s.now, raft.Persisted{Sequence: c.Sequence})...)
		}
	}
}

func (s *singleMember) receive(msg raft.Message) {
	msg.To = "a"
	s.update(raft.Receive{Message: msg})
}

func (s *singleMember) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(electionTimeout / 20)
		s.update(raft.Tick{})
	}
}

func (s *singleMember) view() raft.View { return s.model.View(s.now) }

// becomeLeader makes the member the leader with the votes of b.
func (s *singleMember) becomeLeader() {
	s.t.Helper()
	term := s.view().Term + 1
	s.now = s.now.Add(2 * electionTimeout)
	s.update(raft.Tick{})
	s.receive(raft.Message{Kind: raft.PreVoteResponse, From: "b", Term: term})
	s.receive(raft.Message{Kind: raft.VoteResponse, From: "b", Term: term})
	if s.view().Role != raft.Leader {
		s.t.Fatalf("not the leader: %+v", s.view())
	}
}

func (s *singleMember) ack(from string, index uint64) {
	s.receive(raft.Message{Kind: raft.AppendResponse, From: from, Term: s.view().Term, Index: index})
}

func (s *singleMember) sent(kind raft.MessageKind) []raft.Message {
	var list []raft.Message
	for _, c := range s.lastCmds {
		if c, ok := c.(raft.Send); ok && c.Message.Kind == kind {
			list = append(list, c.Message)
		}
	}
	return list
}

var threeVoters = raft.Membership{Voters: []string{"a", "b", "c"}}

func logContent(term uint64, terms ...uint64) wal.Content {
	c := wal.Content{HardState: wal.HardState{Term: term}}
	for i, entryTerm := range terms {
		c.Entries = append(c.Entries, wal.Entry{Index: uint64(i + 1), Term: entryTerm, Data: fmt.Append(nil, i)})
	}
	return c
}

// Guards against committing an entry of an earlier term because a quorum has it: a later leader could still replace it.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(3, 2))
	s.becomeLeader()
	s.ack("b", 1)
	if got := s.view().Commit; got != 0 {
		t.Errorf("commit index %d after a quorum has the entry of term 2, want 0", got)
	}
	s.ack("b", 2)
	if got := s.view().Commit; got != 2 {
		t.Errorf("commit index %d after a quorum has an entry of the current term, want 2", got)
	}
}

// Guards against counting the acknowledgements of learners towards a commit.
func TestLearnerDoesNotCommit(t *testing.T) {
	s := newSingleMember(t, raft.Membership{Voters: threeVoters.Voters, Learners: []string{"d", "e"}}, logContent(0))
	s.becomeLeader()
	s.ack("d", 1)
	s.ack("e", 1)
	if got := s.view().Commit; got != 0 {
		t.Errorf("commit index %d with the entry on the leader and two learners, want 0", got)
	}
}

// Guards against counting the pre-votes and votes of learners in an election.
func TestLearnerDoesNotElect(t *testing.T) {
	s := newSingleMember(t, raft.Membership{Voters: threeVoters.Voters, Learners: []string{"d", "e"}}, logContent(0))
	s.now = s.now.Add(2 * electionTimeout)
	s.update(raft.Tick{})
	for _, id := range []string{"d", "e"} {
		s.receive(raft.Message{Kind: raft.PreVoteResponse, From: id, Term: 1})
	}
	if got := s.view(); got.Term != 0 || got.Role != raft.PreCandidate {
		t.Errorf("%v in term %d after pre-votes of learners, want pre-candidate in term 0", got.Role, got.Term)
	}
	s.receive(raft.Message{Kind: raft.PreVoteResponse, From: "b", Term: 1})
	for _, id := range []string{"d", "e"} {
		s.receive(raft.Message{Kind: raft.VoteResponse, From: id, Term: 1})
	}
	if got := s.view(); got.Term != 1 || got.Role != raft.Candidate {
		t.Errorf("%v in term %d after votes of learners, want candidate in term 1", got.Role, got.Term)
	}
}

// Guards against two quorums that don't overlap. They arise if a membership change is accepted before an entry of the
// leader's term is committed, or while another change is uncommitted.
func TestMembershipChangeNeedsCommittedState(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(3, 2))
	rejected := func() bool {
		_, ok := s.lastCmds[0].(raft.Rejected)
		return ok
	}
	s.becomeLeader()
	s.update(raft.ChangeMembership{Token: 1, Member: "d"})
	if !rejected() {
		t.Error("change accepted before an entry of the leader's term is committed")
	}
	s.ack("b", 2)
	s.update(raft.ChangeMembership{Token: 2, Member: "d"})
	if rejected() {
		t.Error("change rejected although everything is committed")
	}
	s.update(raft.ChangeMembership{Token: 3, Member: "c", Remove: true})
	if !rejected() {
		t.Error("change accepted while another one is uncommitted")
	}
	s.ack("b", 3)
	s.update(raft.ChangeMembership{Token: 4, Member: "c", Remove: true})
	if rejected() {
		t.Error("change rejected although the first one is committed")
	}
}

// Guards against promoting a learner to voter before it has everything that is committed.
func TestLearnerIsPromotedOnceCaughtUp(t *testing.T) {
	s := newSingleMember(t, raft.Membership{Voters: threeVoters.Voters, Learners: []string{"d"}}, logContent(0))
	s.becomeLeader()
	s.ack("b", 1)
	heartbeat := func(learnerMatch uint64) {
		s.now = s.now.Add(electionTimeout / 4)
		s.update(raft.Tick{})
		for _, msg := range s.sent(raft.Append) {
			if msg.To == "b" {
				s.receive(raft.Message{Kind: raft.AppendResponse, From: "b", Term: msg.Term, Index: s.view().LastIndex, Round: msg.Round})
				s.receive(raft.Message{Kind: raft.AppendResponse, From: "d", Term: msg.Term, Index: learnerMatch, Round: msg.Round})
			}
		}
	}
	heartbeat(0)
	heartbeat(0)
	if got := s.view().Membership.Learners; len(got) != 1 {
		t.Fatal("learner without entries was promoted")
	}
	heartbeat(1)
	heartbeat(1)
	if got := s.view().Membership.Voters; len(got) != 4 {
		t.Fatalf("voters %v after the learner caught up, want 4", got)
	}
}

// Guards against a snapshot that removes acknowledged entries after its index.
func TestSnapshotKeepsLaterEntries(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(1, 1, 1, 1, 1, 1))
	s.receive(raft.Message{
		Kind: raft.InstallSnapshot, From: "b", Term: 1, Index: 3, LogTerm: 1, Membership: threeVoters.Encode(), SnapshotSize: 5, Chunk: []byte("state"),
	})
	if got := s.view(); got.LastIndex != 5 || got.Commit != 3 {
		t.Errorf("last index %d, commit index %d after the snapshot, want 5 and 3", got.LastIndex, got.Commit)
	}
}

// Guards against a leader that lost contact with a quorum but keeps leading, reports a quorum or accepts proposals.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(0))
	s.becomeLeader()
	s.ack("b", 1)
	s.advance(electionTimeout / 2)
	if got := s.view(); got.Role != raft.Leader || got.HasQuorum {
		t.Errorf("%v, has quorum %v before the timeout without any acknowledged heartbeat, want leader without quorum", got.Role, got.HasQuorum)
	}
	s.advance(electionTimeout)
	if got := s.view(); got.Role != raft.Follower || got.HasQuorum || got.Leader != "" {
		t.Errorf("%v of leader %q, has quorum %v after the timeout, want follower without leader and quorum", got.Role, got.Leader, got.HasQuorum)
	}
	s.update(raft.Propose{Proposals: []raft.Proposal{{Token: 9}}})
	if c, ok := s.lastCmds[0].(raft.Rejected); !ok || c.Reason != raft.NotLeader {
		t.Errorf("proposal was answered with %+v, want NotLeader", s.lastCmds[0])
	}
}

// Guards against a follower that reports a quorum although its leader has none or has not been heard from within the
// election timeout.
func TestFollowerHasQuorumThroughLeader(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(0))
	s.receive(raft.Message{Kind: raft.Append, From: "b", Term: 1})
	if s.view().HasQuorum {
		t.Error("follower of a leader without quorum reports a quorum")
	}
	s.receive(raft.Message{Kind: raft.Append, From: "b", Term: 1, HasQuorum: true})
	if !s.view().HasQuorum {
		t.Error("follower of a leader with quorum reports none")
	}
	s.now = s.now.Add(electionTimeout)
	if s.view().HasQuorum {
		t.Error("quorum still reported after an election timeout without a message")
	}
}

// Guards against an isolated member that raises its term and deposes a healthy leader when it returns.
func TestIsolatedMemberKeepsItsTerm(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(3, 3))
	s.advance(50 * electionTimeout)
	if got := s.view().Term; got != 3 {
		t.Errorf("term %d after a long isolation, want 3", got)
	}
}

// Guards against an election while members still hear from a leader.
func TestVoteIsRefusedWhileLeaderIsHeard(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(0))
	s.receive(raft.Message{Kind: raft.Append, From: "b", Term: 1, HasQuorum: true})
	s.receive(raft.Message{Kind: raft.PreVote, From: "c", Term: 2})
	if got := s.sent(raft.PreVoteResponse); len(got) != 1 || !got[0].Reject {
		t.Errorf("pre-vote was answered with %+v, want a rejection", got)
	}
	s.receive(raft.Message{Kind: raft.Vote, From: "c", Term: 2})
	if got := s.view(); got.Term != 1 || got.Leader != "b" {
		t.Errorf("term %d of leader %q after the vote request, want term 1 of leader b", got.Term, got.Leader)
	}
	s.now = s.now.Add(electionTimeout)
	s.receive(raft.Message{Kind: raft.Vote, From: "c", Term: 2})
	if got := s.sent(raft.VoteResponse); len(got) != 1 || got[0].Reject {
		t.Errorf("vote request after the timeout was answered with %+v, want a vote", got)
	}
}

// Guards against sending a vote or an acknowledgement before it is durable: a crash would revoke it.
func TestResponsesWaitForSync(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(0))
	for _, msg := range []raft.Message{
		{Kind: raft.Vote, From: "c", To: "a", Term: 1},
		{Kind: raft.Append, From: "c", To: "a", Term: 1, Entries: []wal.Entry{{Index: 1, Term: 1}}},
	} {
		cmds := s.model.Update(s.now, raft.Receive{Message: msg})
		save, ok := cmds[len(cmds)-1].(raft.Save)
		if !ok || len(cmds) != 1 {
			t.Fatalf("%v: effects before the sync %+v, want one Save", msg.Kind, cmds)
		}
		s.lastCmds = s.model.Update(s.now, raft.Persisted{Sequence: save.Sequence})
		if len(s.sent(raft.VoteResponse))+len(s.sent(raft.AppendResponse)) != 1 {
			t.Errorf("%v: effects after the sync %+v, want one response", msg.Kind, s.lastCmds)
		}
	}
}

// Guards against a leader that keeps leading after the change that removes it is committed.
func TestRemovedLeaderStepsDown(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(0))
	s.becomeLeader()
	s.ack("b", 1)
	s.update(raft.ChangeMembership{Token: 1, Member: "a", Remove: true})
	s.ack("b", 2)
	if s.view().Role != raft.Leader {
		t.Error("stepped down before a quorum of the remaining voters has the change")
	}
	s.ack("c", 2)
	if got := s.view(); got.Role != raft.Follower || got.Commit != 2 {
		t.Errorf("%v with commit index %d after the change is committed, want follower with 2", got.Role, got.Commit)
	}
	s.advance(10 * electionTimeout)
	if got := s.view(); got.Role != raft.Follower {
		t.Errorf("removed member became %v", got.Role)
	}
}

// Guards against a group without leader that waits for the election backoff of the only member with the newest log, as
// after a power loss of all members. That member must refuse the pre-votes of the others, but could win at once itself.
func TestMemberWithNewestLogStartsElectionWhenAsked(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(3, 3, 3))
	s.advance(3 * electionTimeout / 2) // alone, so that the backoff of the next try is long
	s.update(raft.Tick{})
	s.receive(raft.Message{Kind: raft.PreVote, From: "b", Term: 4, Index: 1, LogTerm: 3})
	if got := s.sent(raft.PreVoteResponse); len(got) != 1 || !got[0].Reject {
		t.Fatalf("pre-vote for an older log was answered with %+v, want a rejection", got)
	}
	s.update(raft.Tick{})
	if got := s.sent(raft.PreVote); len(got) != 2 {
		t.Errorf("requested %d pre-votes, want 2", len(got))
	}
}

// Guards against a member that counts as current before it has applied what was committed while it was away (review/14), and against
// one that counts as behind once it has.
func TestFollowerIsCurrentOnceCaughtUp(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(1, 1, 1))
	heartbeat := raft.Message{Kind: raft.Append, From: "b", Term: 1, Index: 2, LogTerm: 1, HasQuorum: true, Commit: 4}
	s.receive(heartbeat)
	if got := s.view(); got.Current || got.Missing != 4 {
		t.Errorf("current %v, missing up to %d with two of four committed entries, want not current, 4", got.Current, got.Missing)
	}
	more := heartbeat
	more.Entries = []wal.Entry{{Index: 3, Term: 1}, {Index: 4, Term: 1}, {Index: 5, Term: 1}}
	s.receive(more)
	if got := s.view(); !got.Current || got.Missing != 0 {
		t.Errorf("current %v, missing up to %d with all committed entries, want current, 0", got.Current, got.Missing)
	}
	heartbeat.Commit = 9 // under load a follower lacks the newest entries all the time
	s.receive(heartbeat)
	if !s.view().Current {
		t.Error("not current although the contact has lasted")
	}
	s.now = s.now.Add(electionTimeout)
	s.receive(heartbeat)
	if !s.view().Current {
		t.Error("not current after a gap as long as a leader needs to apply a large entry")
	}
	s.now = s.now.Add(raft.UnresponsiveVoterTimeout)
	s.receive(heartbeat)
	if got := s.view(); got.Current || got.Missing != 9 {
		t.Errorf("current %v, missing up to %d after a time without contact, want not current, 9", got.Current, got.Missing)
	}
}

// Guards against a new leader that counts as current, for itself and for its followers, before it knows which entries of earlier
// terms are committed.
func TestLeaderIsCurrentOnceItCommits(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(1, 1, 1))
	s.becomeLeader()
	s.receive(raft.Message{Kind: raft.AppendResponse, From: "b", Term: s.view().Term, Index: 2, Round: 1})
	s.advance(electionTimeout / 4)
	if got := s.view(); !got.HasQuorum || got.Current {
		t.Errorf("has quorum %v, current %v before an entry of the term is committed, want quorum only", got.HasQuorum, got.Current)
	}
	for _, msg := range s.sent(raft.Append) {
		if msg.HasQuorum {
			t.Errorf("message to %s says that the leader knows what is committed", msg.To)
		}
	}
	s.ack("b", 3)
	if got := s.view(); !got.Current || got.Applied != 3 {
		t.Errorf("current %v, applied %d after the commit, want current, 3", got.Current, got.Applied)
	}
}
