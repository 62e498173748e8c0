package raft_test

import (
	"testing"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/wal"
)

// largeEntry is the data of a large log entry.
var largeEntry = make([]byte, 1<<20)

// proposeLarge proposes n large entries one by one and returns how many were rejected.
func (s *singleMember) proposeLarge(n int) (rejected int) {
	for i := range n {
		s.update(raft.Propose{Proposals: []raft.Proposal{{Token: uint64(i), Data: largeEntry}}})
		for _, c := range s.lastCmds {
			if c, ok := c.(raft.Rejected); ok && c.Reason == raft.Busy {
				rejected++
			}
		}
	}
	return rejected
}

// dataSize returns the bytes of the entries in Append messages that were sent with the last input.
func (s *singleMember) dataSize(to string) (size int) {
	for _, msg := range s.sent(raft.Append) {
		for _, e := range msg.Entries {
			if msg.To == to {
				size += len(e.Data)
			}
		}
	}
	return size
}

// Guards against entries before a snapshot that stay in memory whatever their size (review/12): a follower that lacks them
// gets the snapshot.
func TestTrailingEntriesAreBoundedInBytes(t *testing.T) {
	const entries = 20
	for _, tt := range []struct {
		missing  uint64 // entries that the follower lacks
		snapshot bool
	}{{missing: 2}, {missing: 10, snapshot: true}} {
		s := newSingleMember(t, threeVoters, logContent(0))
		s.becomeLeader()
		held := s.view().LastIndex + entries - tt.missing // last entry that follower c has
		for range entries {
			s.proposeLarge(1)
			s.ack("b", s.view().LastIndex)
			s.ack("c", min(held, s.view().LastIndex))
		}
		s.update(raft.Compact{Index: s.view().Commit, Data: []byte("state")})
		s.receive(raft.Message{Kind: raft.AppendResponse, From: "c", Term: s.view().Term, Index: held + 1, Offset: held, Reject: true})
		if got := len(s.sent(raft.InstallSnapshot)) > 0; got != tt.snapshot {
			t.Errorf("follower that lacks %d large entries: snapshot sent %v, want %v", tt.missing, got, tt.snapshot)
		}
	}
}

// Guards against a follower that does not answer and is sent every large entry, which queues up on both sides.
func TestInflightEntriesAreBoundedInBytes(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(0))
	s.becomeLeader()
	s.ack("b", 1)
	s.ack("c", 1)
	sent := 0
	for range 30 {
		s.proposeLarge(1)
		sent += s.dataSize("c")
		s.ack("b", s.view().LastIndex)
	}
	if limit := 5 << 20; sent == 0 || sent > limit {
		t.Errorf("%d bytes were sent to a follower that acknowledges nothing, want at most %d", sent, limit)
	}
	for s.view().LastIndex > 0 {
		before := sent
		s.ack("c", 1+uint64(sent/len(largeEntry)))
		if sent += s.dataSize("c"); sent == before {
			break
		}
	}
	if sent != 30*len(largeEntry) {
		t.Errorf("%d bytes were sent to the follower once it acknowledged them, want all %d", sent, 30*len(largeEntry))
	}
}

// Guards against proposals that pile up in memory while no quorum stores them.
func TestUncommittedEntriesAreBoundedInBytes(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(0))
	s.becomeLeader()
	if rejected := s.proposeLarge(30); rejected < 10 {
		t.Errorf("%d of 30 large proposals were rejected without a quorum, want at least 10", rejected)
	}
	s.ack("b", s.view().LastIndex)
	if rejected := s.proposeLarge(1); rejected > 0 {
		t.Error("a proposal was rejected although all before it are committed")
	}
}

// Guards against a log whose byte counts go wrong when entries are replaced: the entries of a new leader take the place of
// uncommitted ones, and the follower that becomes leader then still sends all of them.
func TestReplacedEntriesAreNotCounted(t *testing.T) {
	s := newSingleMember(t, threeVoters, logContent(1, 1))
	entries := func(term uint64, n int) (list []wal.Entry) {
		for i := range n {
			list = append(list, wal.Entry{Index: uint64(i + 2), Term: term, Data: largeEntry})
		}
		return list
	}
	s.receive(raft.Message{Kind: raft.Append, From: "b", Term: 1, Index: 1, LogTerm: 1, Entries: entries(1, 20)})
	s.receive(raft.Message{Kind: raft.Append, From: "c", Term: 2, Index: 1, LogTerm: 1, Entries: entries(2, 2), Commit: 1})
	s.becomeLeader()
	if rejected := s.proposeLarge(10); rejected > 0 {
		t.Errorf("%d of 10 large proposals were rejected, as if replaced entries still counted", rejected)
	}
}
