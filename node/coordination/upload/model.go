package upload

import (
	"slices"
	"time"

	"pollenhill.example/core/protocol/refusal"
)

const (
	// overlapBytes is how much of the admitted bodies may still be missing when the next one is admitted. It covers the time
	// until that one begins to arrive: about 20 ms at 6 Mbit/s, where the answer to the entry node takes 8 ms there and back.
	overlapBytes = 16 << 10
	// movableBytes is how many bytes may be ahead of a body that could go to another back end: about 80 ms at 6 Mbit/s, ten
	// times what asking another node takes.
	movableBytes = 64 << 10
	// stallTimeout is the time without a byte after which a body does not hold up the next one: a slow sender leaves the link
	// idle.
	stallTimeout = 100 * time.Millisecond
	// maxReceiving bounds the bodies that arrive at once, stalled ones included.
	maxReceiving = 16
	// maxWaiting bounds the requests that wait to send their bodies.
	maxWaiting = 64
)

// Model admits large request bodies one after the other; it is not safe for concurrent use.
type Model struct {
	waiting   []Ask // oldest first
	receiving map[ID]*transfer
	leaving   bool
}

// transfer is a body that was admitted and is not complete.
type transfer struct {
	missing  int       // bytes
	activeAt time.Time // when it was admitted or its last byte arrived
}

// New returns a Model without bodies.
func New() *Model {
	return &Model{receiving: map[ID]*transfer{}}
}

// Update applies one message at the given time and returns the effects to carry out.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	cmds := m.expire(now)
	switch msg := msg.(type) {
	case Ask:
		cmds = append(cmds, m.ask(now, msg)...)
	case Received:
		if t, ok := m.receiving[msg.ID]; ok {
			t.missing = max(0, t.missing-msg.Bytes)
			t.activeAt = now
		}
	case End:
		delete(m.receiving, msg.ID)
		m.waiting = slices.DeleteFunc(m.waiting, func(a Ask) bool { return a.ID == msg.ID })
	case Leave:
		m.leaving = true
		cmds = append(cmds, m.refuseWaiting()...)
	case Tick:
	}
	return append(cmds, m.admit(now)...)
}

// Waiting returns the number of requests that wait to send their bodies.
func (m *Model) Waiting() int { return len(m.waiting) }

// Receiving returns the number of bodies that were admitted and are not complete.
func (m *Model) Receiving() int { return len(m.receiving) }

func (m *Model) ask(now time.Time, a Ask) []Cmd {
	switch {
	case m.leaving:
		return []Cmd{Refuse{ID: a.ID, Reason: refusal.Leaving}}
	case !now.Before(a.Deadline):
		return []Cmd{Refuse{ID: a.ID, Reason: refusal.TooLate}}
	case len(m.waiting) >= maxWaiting:
		return []Cmd{Refuse{ID: a.ID, Reason: refusal.AtCapacity}}
	case a.Movable && m.missing(now)+m.announced() > movableBytes:
		return []Cmd{Refuse{ID: a.ID, Reason: refusal.BackendSlow}}
	}
	m.waiting = append(m.waiting, a)
	return nil
}

func (m *Model) refuseWaiting() []Cmd {
	var cmds []Cmd
	for _, a := range m.waiting {
		cmds = append(cmds, Refuse{ID: a.ID, Reason: refusal.Leaving})
	}
	m.waiting = nil
	return cmds
}

// expire refuses waiting requests whose deadline has passed.
func (m *Model) expire(now time.Time) []Cmd {
	var cmds []Cmd
	m.waiting = slices.DeleteFunc(m.waiting, func(a Ask) bool {
		late := !now.Before(a.Deadline)
		if late {
			cmds = append(cmds, Refuse{ID: a.ID, Reason: refusal.TooLate})
		}
		return late
	})
	return cmds
}

// admit lets the next bodies be sent while few bytes of the earlier ones are missing.
func (m *Model) admit(now time.Time) []Cmd {
	var cmds []Cmd
	for len(m.waiting) > 0 && len(m.receiving) < maxReceiving && m.missing(now) <= overlapBytes {
		next := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.receiving[next.ID] = &transfer{missing: next.Length, activeAt: now}
		cmds = append(cmds, Admit{ID: next.ID})
	}
	return cmds
}

// missing returns the bytes of admitted bodies that are on their way; those of stalled bodies are not.
func (m *Model) missing(now time.Time) int {
	n := 0
	for _, t := range m.receiving {
		if now.Sub(t.activeAt) < stallTimeout {
			n += t.missing
		}
	}
	return n
}

// announced returns the bytes of the bodies that wait.
func (m *Model) announced() int {
	n := 0
	for _, a := range m.waiting {
		n += a.Length
	}
	return n
}
