package instance

import "time"

// SelfEvidentPeriod is the time over which an instance must send heartbeats to be believed without its history. One that has
// left sends none, and those that the network holds up are seconds late.
const SelfEvidentPeriod = 10 * time.Second

// candidate is an instance that sends heartbeats while its history is not known.
type candidate struct {
	id            string
	startMillis   int64
	firstSeen     time.Time
	firstSequence uint64
}

// HeartbeatNeedsHistory reports whether a heartbeat must wait for the HistoryLearned of its instance. The instance may have
// ended, and its end may have been acknowledged, before this node started.
func (m *Model) HeartbeatNeedsHistory(now time.Time, msg Heartbeat) bool {
	if msg.StartMillis > m.cfg.Started.UnixMilli() || !m.NeedsHistory(msg.ID) {
		return false
	}
	c := &m.candidate
	if c.id != msg.ID || c.startMillis != msg.StartMillis {
		*c = candidate{id: msg.ID, startMillis: msg.StartMillis, firstSeen: now, firstSequence: msg.Sequence}
	}
	return msg.Sequence <= c.firstSequence || now.Sub(c.firstSeen) < SelfEvidentPeriod
}

// NeedsHistory reports whether an instance whose start is not known must wait for its HistoryLearned.
func (m *Model) NeedsHistory(id string) bool {
	_, known := m.historyKnown[id]
	return !m.cfg.Started.IsZero() && !known && id != m.current.id
}

// historyLearned applies what has been kept about an ID from before the start of the node.
func (m *Model) historyLearned(msg HistoryLearned) {
	if msg.Ended {
		m.addReplaced(msg.ID, msg.StartMillis)
	}
	m.historyKnown[msg.ID] = struct{}{}
}

// EndOf returns the newest start that has ended under an ID, in Unix milliseconds, and false if none has. For an instance that
// ended without telling its start, that is the time of its end.
func (m *Model) EndOf(id string) (startMillis int64, ended bool) {
	startMillis, ended = m.replaced[id]
	if id == m.current.id && m.current.endMillis > 0 {
		return max(startMillis, m.current.endMillis), true
	}
	return startMillis, ended
}
