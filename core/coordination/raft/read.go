package raft

// pendingRead waits until a quorum acknowledges a round that started after the read arrived.
type pendingRead struct {
	round uint64
	index uint64
	from  string // member that asked, empty for this one
	token uint64
}

func (m *Model) read(from string, tokens []uint64) {
	switch {
	case m.role == Leader:
		for _, token := range tokens {
			m.lead.reads = append(m.lead.reads, pendingRead{from: from, token: token})
		}
		m.startReads()
	case from != "" || m.leader == "":
		m.rejectReads(from, tokens)
	default:
		for _, token := range tokens {
			m.send(Message{Kind: ReadIndex, To: m.leader, Round: token})
		}
	}
}

// startReads gives waiting reads a new round, once an entry of this term is committed: before that, the leader
// may not know everything that was committed. It returns whether it started a round.
func (m *Model) startReads() bool {
	term, _ := m.log.term(m.commit)
	if term != m.state.Term {
		return false
	}
	started := false
	for i := range m.lead.reads {
		if r := &m.lead.reads[i]; r.round == 0 {
			r.round = m.lead.round + 1
			r.index = m.commit
			started = true
		}
	}
	if started {
		m.beat()
	}
	return started
}

// finishReads answers the reads whose round a quorum acknowledged.
func (m *Model) finishReads() {
	set := m.members()
	var open []pendingRead
	for _, r := range m.lead.reads {
		n := 0
		for _, id := range set.Voters {
			if p := m.lead.peers[id]; id == m.cfg.ID || p != nil && p.round >= r.round {
				n++
			}
		}
		switch {
		case r.round == 0 || !set.quorum(n):
			open = append(open, r)
		case r.from == "":
			m.emit(ReadReady{r.token, r.index})
		default:
			m.send(Message{Kind: ReadIndexResponse, To: r.from, Index: r.index, Round: r.token})
		}
	}
	m.lead.reads = open
}

func (m *Model) dropReads() {
	for _, r := range m.lead.reads {
		m.rejectReads(r.from, []uint64{r.token})
	}
	m.lead.reads = nil
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

func (m *Model) onReadIndexed(msg Message) {
	if msg.Reject {
		m.emit(Rejected{msg.Round, NotLeader})
		return
	}
	m.emit(ReadReady{msg.Round, msg.Index})
}
