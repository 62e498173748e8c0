package raft_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/wal"
)

// single is one model whose other members are played by the test; its saves are durable at once.
type single struct {
	t     *testing.T
	now   time.Time
	model *raft.Model
	cmds  []raft.Cmd // of the last message
}

func newSingle(t *testing.T, set raft.Membership, c wal.Content) *single {
	t.Helper()
	now := time.UnixMilli(1_700_000_000_000)
	model, err := raft.New(raft.Config{
		ID: "a", InitialMembership: set, ElectionTimeout: election, HeartbeatInterval: election / 5, Rand: rand.New(rand.NewPCG(1, 1)),
	}, now, c)
	if err != nil {
		t.Fatal(err)
	}
	return &single{t: t, now: now, model: model}
}

func (s *single) update(msg raft.Msg) {
	s.cmds = nil
	queue := s.model.Update(s.now, msg)
	for len(queue) > 0 {
		c := queue[0]
		queue = queue[1:]
		s.cmds = append(s.cmds, c)
		switch c := c.(type) {
		case raft.Save:
			queue = append(queue, s.model.Update(s.now, raft.Persisted{Sequence: c.Sequence})...)
		case raft.Rewrite:
			queue = append(queue, s.model.Update(s.now, raft.Persisted{Sequence: c.Sequence})...)
		}
	}
}

func (s *single) receive(msg raft.Message) {
	msg.To = "a"
	s.update(raft.Receive{Message: msg})
}

func (s *single) sleep(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(election / 20)
		s.update(raft.Tick{})
	}
}

func (s *single) view() raft.View { return s.model.View(s.now) }

// lead makes the model the leader by the votes of b.
func (s *single) lead() {
	s.t.Helper()
	term := s.view().Term + 1
	s.now = s.now.Add(2 * election)
	s.update(raft.Tick{})
	s.receive(raft.Message{Kind: raft.PreVoteResponse, From: "b", Term: term})
	s.receive(raft.Message{Kind: raft.VoteResponse, From: "b", Term: term})
	if s.view().Role != raft.Leader {
		s.t.Fatalf("not the leader: %+v", s.view())
	}
}

func (s *single) ack(from string, index uint64) {
	s.receive(raft.Message{Kind: raft.AppendResponse, From: from, Term: s.view().Term, Index: index})
}

func (s *single) sent(kind raft.Kind) []raft.Message {
	var list []raft.Message
	for _, c := range s.cmds {
		if c, ok := c.(raft.Send); ok && c.Message.Kind == kind {
			list = append(list, c.Message)
		}
	}
	return list
}

var three = raft.Membership{Voters: []string{"a", "b", "c"}}

func content(term uint64, terms ...uint64) wal.Content {
	c := wal.Content{State: wal.State{Term: term}}
	for i, entryTerm := range terms {
		c.Entries = append(c.Entries, wal.Entry{Index: uint64(i + 1), Term: entryTerm, Data: fmt.Append(nil, i)})
	}
	return c
}

// Guards against an entry of an earlier term that counts as committed and is then replaced.
func TestEarlierTermIsNotCommittedByCounting(t *testing.T) {
	s := newSingle(t, three, content(3, 2))
	s.lead()
	s.ack("b", 1)
	if got := s.view().Commit; got != 0 {
		t.Errorf("commit %d after a quorum has the entry of term 2", got)
	}
	s.ack("b", 2)
	if got := s.view().Commit; got != 2 {
		t.Errorf("commit %d after a quorum has an entry of this term, want 2", got)
	}
}

// Guards against learners that count for a commit.
func TestLearnerDoesNotCommit(t *testing.T) {
	s := newSingle(t, raft.Membership{Voters: three.Voters, Learners: []string{"d", "e"}}, content(0))
	s.lead()
	s.ack("d", 1)
	s.ack("e", 1)
	if got := s.view().Commit; got != 0 {
		t.Errorf("commit %d by the leader and two learners", got)
	}
}

// Guards against learners that count in an election.
func TestLearnerDoesNotElect(t *testing.T) {
	s := newSingle(t, raft.Membership{Voters: three.Voters, Learners: []string{"d", "e"}}, content(0))
	s.now = s.now.Add(2 * election)
	s.update(raft.Tick{})
	for _, id := range []string{"d", "e"} {
		s.receive(raft.Message{Kind: raft.PreVoteResponse, From: id, Term: 1})
	}
	if got := s.view(); got.Term != 0 || got.Role != raft.PreCandidate {
		t.Errorf("pre-votes of learners made the member %v in term %d", got.Role, got.Term)
	}
	s.receive(raft.Message{Kind: raft.PreVoteResponse, From: "b", Term: 1})
	for _, id := range []string{"d", "e"} {
		s.receive(raft.Message{Kind: raft.VoteResponse, From: id, Term: 1})
	}
	if got := s.view(); got.Term != 1 || got.Role != raft.Candidate {
		t.Errorf("votes of learners made the candidate %v in term %d", got.Role, got.Term)
	}
}

// Guards against two quorums that do not meet, through a membership change before an entry of the own term is
// committed or while another one is not committed.
func TestOneMembershipChangeAtATime(t *testing.T) {
	s := newSingle(t, three, content(3, 2))
	rejected := func() bool {
		_, ok := s.cmds[0].(raft.Rejected)
		return ok
	}
	s.lead()
	s.update(raft.ChangeMembership{Token: 1, Member: "d"})
	if !rejected() {
		t.Error("accepted before an entry of the own term is committed")
	}
	s.ack("b", 2)
	s.update(raft.ChangeMembership{Token: 2, Member: "d"})
	if rejected() {
		t.Error("rejected although everything is committed")
	}
	s.update(raft.ChangeMembership{Token: 3, Member: "c", Remove: true})
	if !rejected() {
		t.Error("accepted while another change is not committed")
	}
	s.ack("b", 3)
	s.update(raft.ChangeMembership{Token: 4, Member: "c", Remove: true})
	if rejected() {
		t.Error("rejected although the first change is committed")
	}
}

// Guards against a learner that votes before it has everything committed.
func TestLearnerIsPromotedOnceCaughtUp(t *testing.T) {
	s := newSingle(t, raft.Membership{Voters: three.Voters, Learners: []string{"d"}}, content(0))
	s.lead()
	s.ack("b", 1)
	beat := func(match uint64) {
		s.now = s.now.Add(election / 4)
		s.update(raft.Tick{})
		for _, msg := range s.sent(raft.Append) {
			if msg.To == "b" {
				s.receive(raft.Message{Kind: raft.AppendResponse, From: "b", Term: msg.Term, Index: s.view().LastIndex, Round: msg.Round})
				s.receive(raft.Message{Kind: raft.AppendResponse, From: "d", Term: msg.Term, Index: match, Round: msg.Round})
			}
		}
	}
	beat(0)
	beat(0)
	if got := s.view().Membership.Learners; len(got) != 1 {
		t.Fatal("a learner without entries was promoted")
	}
	beat(1)
	beat(1)
	if got := s.view().Membership.Voters; len(got) != 4 {
		t.Fatalf("voters %v after the learner caught up", got)
	}
}

// Guards against acknowledged entries that a snapshot of an earlier index removes.
func TestSnapshotKeepsLaterEntries(t *testing.T) {
	s := newSingle(t, three, content(1, 1, 1, 1, 1, 1))
	s.receive(raft.Message{
		Kind: raft.InstallSnapshot, From: "b", Term: 1, Index: 3, LogTerm: 1, Membership: three.Encode(), SnapshotSize: 5, Chunk: []byte("state"),
	})
	if got := s.view(); got.LastIndex != 5 || got.Commit != 3 {
		t.Errorf("last %d, commit %d after the snapshot, want 5 and 3", got.LastIndex, got.Commit)
	}
}

// Guards against a leader without a quorum that goes on as if it were current.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	s := newSingle(t, three, content(0))
	s.lead()
	s.ack("b", 1)
	s.sleep(election / 2)
	if got := s.view(); got.Role != raft.Leader || got.HasQuorum {
		t.Errorf("%v, current %v before the timeout without any acknowledged heartbeat", got.Role, got.HasQuorum)
	}
	s.sleep(election)
	if got := s.view(); got.Role != raft.Follower || got.HasQuorum || got.Leader != "" {
		t.Errorf("%v of %q, current %v after the timeout", got.Role, got.Leader, got.HasQuorum)
	}
	s.update(raft.Propose{Proposals: []raft.Proposal{{Token: 9}}})
	if c, ok := s.cmds[0].(raft.Rejected); !ok || c.Reason != raft.NotLeader {
		t.Errorf("proposal was answered by %+v", s.cmds[0])
	}
}

// Guards against a follower that calls itself current by the word of a leader that has no quorum, or none at all.
func TestFollowerIsCurrentByItsLeader(t *testing.T) {
	s := newSingle(t, three, content(0))
	s.receive(raft.Message{Kind: raft.Append, From: "b", Term: 1})
	if s.view().HasQuorum {
		t.Error("current by a leader without a quorum")
	}
	s.receive(raft.Message{Kind: raft.Append, From: "b", Term: 1, HasQuorum: true})
	if !s.view().HasQuorum {
		t.Error("not current by a leader with a quorum")
	}
	s.now = s.now.Add(election)
	if s.view().HasQuorum {
		t.Error("current after an election timeout of silence")
	}
}

// Guards against a member that was cut off and on its return ends the work of a healthy leader.
func TestCutOffMemberKeepsItsTerm(t *testing.T) {
	s := newSingle(t, three, content(3, 3))
	s.sleep(50 * election)
	if got := s.view().Term; got != 3 {
		t.Errorf("term %d after a long time alone, want 3", got)
	}
}

// Guards against an election while a leader is heard.
func TestVoteIsRefusedWhileLeaderIsHeard(t *testing.T) {
	s := newSingle(t, three, content(0))
	s.receive(raft.Message{Kind: raft.Append, From: "b", Term: 1, HasQuorum: true})
	s.receive(raft.Message{Kind: raft.PreVote, From: "c", Term: 2})
	if got := s.sent(raft.PreVoteResponse); len(got) != 1 || !got[0].Reject {
		t.Errorf("pre-vote was answered by %+v", got)
	}
	s.receive(raft.Message{Kind: raft.Vote, From: "c", Term: 2})
	if got := s.view(); got.Term != 1 || got.Leader != "b" {
		t.Errorf("term %d of leader %q after the vote", got.Term, got.Leader)
	}
	s.now = s.now.Add(election)
	s.receive(raft.Message{Kind: raft.Vote, From: "c", Term: 2})
	if got := s.sent(raft.VoteResponse); len(got) != 1 || got[0].Reject {
		t.Errorf("vote after the timeout was answered by %+v", got)
	}
}

// Guards against a vote or an acknowledgement that a crash takes back.
func TestPromisesWaitForTheSync(t *testing.T) {
	s := newSingle(t, three, content(0))
	for _, msg := range []raft.Message{
		{Kind: raft.Vote, From: "c", To: "a", Term: 1},
		{Kind: raft.Append, From: "c", To: "a", Term: 1, Entries: []wal.Entry{{Index: 1, Term: 1}}},
	} {
		cmds := s.model.Update(s.now, raft.Receive{Message: msg})
		save, ok := cmds[len(cmds)-1].(raft.Save)
		if !ok || len(cmds) != 1 {
			t.Fatalf("%v: effects before the sync: %+v", msg.Kind, cmds)
		}
		s.cmds = s.model.Update(s.now, raft.Persisted{Sequence: save.Sequence})
		if len(s.sent(raft.VoteResponse))+len(s.sent(raft.AppendResponse)) != 1 {
			t.Errorf("%v: effects after the sync: %+v", msg.Kind, s.cmds)
		}
	}
}

// Guards against a leader that goes on after the change that removed it is committed.
func TestRemovedLeaderStepsDown(t *testing.T) {
	s := newSingle(t, three, content(0))
	s.lead()
	s.ack("b", 1)
	s.update(raft.ChangeMembership{Token: 1, Member: "a", Remove: true})
	s.ack("b", 2)
	if s.view().Role != raft.Leader {
		t.Error("stepped down before a quorum of the others has the change")
	}
	s.ack("c", 2)
	if got := s.view(); got.Role != raft.Follower || got.Commit != 2 {
		t.Errorf("%v with commit %d after the change is committed", got.Role, got.Commit)
	}
	s.sleep(10 * election)
	if got := s.view(); got.Role != raft.Follower {
		t.Errorf("a removed member became %v", got.Role)
	}
}

// Guards against a group that waits for the back-off of its only member with the newest log, as after a loss of power of
// all: the members that come back ask for pre-votes that this one must refuse, while it could win at once.
func TestNewestLogCampaignsWhenAsked(t *testing.T) {
	s := newSingle(t, three, content(3, 3, 3))
	s.sleep(3 * election / 2) // alone; by now the next try is far away
	s.update(raft.Tick{})
	s.receive(raft.Message{Kind: raft.PreVote, From: "b", Term: 4, Index: 1, LogTerm: 3})
	if got := s.sent(raft.PreVoteResponse); len(got) != 1 || !got[0].Reject {
		t.Fatalf("pre-vote for an older log was answered by %+v", got)
	}
	s.update(raft.Tick{})
	if got := s.sent(raft.PreVote); len(got) != 2 {
		t.Errorf("asked %d members for a pre-vote, want 2", len(got))
	}
}
