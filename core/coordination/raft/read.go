package raft

// pendingRead is a read that waits until a quorum acknowledges a heartbeat round started after the read arrived.
type pendingRead struct {
	round uint64 // 0 until an entry of this term is committed
	index uint64 // commit index when the round started
	from  string // member that asked, empty for this one
	token uint64
}

func (m *Model) read(from string, tokens []uint64) {
	switch {
	case m.role == Leader:
		for _, token := range tokens {
			m.leaderState.reads = append(m.leaderState.reads, pendingRead{from: from, token: token})
		}
		m.startReadRound()
	case from != "" || m.leader == "":
		m.rejectReads(from, tokens)
	default:
		for _, token := range tokens {
			m.send(Message{Kind: ReadIndex, To: m.leader, Round: token})
		}
	}
}

// startReadRound assigns a new heartbeat round to the reads that have none and reports whether there were any. It waits
// until an entry of this term is committed, because before that the leader may not know of all committed entries.
func (m *Model) startReadRound() bool {
	if !m.isOfThisTerm(m.commitIndex) {
		return false
	}
	started := false
	for i := range m.leaderState.reads {
		if r := &m.leaderState.reads[i]; r.round == 0 {
			r.round = m.leaderState.round + 1
			r.index = m.commitIndex
			started = true
		}
	}
	if started {
		m.sendHeartbeats()
	}
	return started
}

// finishReads answers the reads whose round was acknowledged by a quorum.
func (m *Model) finishReads() {
	members := m.membership()
	var unanswered []pendingRead
	for _, r := range m.leaderState.reads {
		n := 0
		for _, id := range members.Voters {
			if p := m.leaderState.peers[id]; id == m.cfg.ID || p != nil && p.ackedRound >= r.round {
				n++
			}
		}
		switch {
		case r.round == 0 || !members.isQuorum(n):
			unanswered = append(unanswered, r)
		case r.from == "":
			m.emit(ReadReady{r.token, r.index})
		default:
			m.send(Message{Kind: ReadIndexResponse, To: r.from, Index: r.index, Round: r.token})
		}
	}
	m.leaderState.reads = unanswered
}

func (m *Model) rejectPendingReads() {
	for _, r := range m.leaderState.reads {
		m.rejectReads(r.from, []uint64{r.token})
	}
	m.leaderState.reads = nil
}

func (m *Model) rejectReads(from string, tokens []uint64) {
	for _, token := range tokens {
		if from == "" {
			m.emit(Rejected{token, NotLeader})
			continue
		}
		m.send(Message{Kind: ReadIndexResponse, To: from, Round: token, Reject: true})
	}
}

func (m *Model) onReadIndex(msg Message) { m.read(msg.From, []uint64{msg.Round}) }

func (m *Model) onReadIndexResponse(msg Message) {
	if msg.Reject {
		m.emit(Rejected{msg.Round, NotLeader})
		return
	}
	m.emit(ReadReady{msg.Round, msg.Index})
}
