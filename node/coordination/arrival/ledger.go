package arrival

import (
	"time"

	"pollenhill.example/core/protocol/attempt"
)

// Memory is how long the fate of an attempt is remembered at least.
const Memory = 10 * time.Minute

// fate is what became of an attempt.
type fate uint8

const (
	fresh     fate = iota // never seen
	waiting               // in the queue of admission
	running               // may have reached the back end
	finished              // reached the back end, ended
	refused               // refused or proven not run, ended
	cancelled             // cancelled before it started
)

// ledger remembers fates in two generations, so that forgetting needs no scan.
type ledger struct {
	origins map[origin]uint32
	young   map[entry]fate
	old     map[entry]fate
	turned  time.Time
}

type origin struct {
	node        string
	incarnation uint64
}

// entry is a compact attempt.ID.
type entry struct {
	origin   uint32
	sequence uint64
}

func newLedger() *ledger {
	return &ledger{origins: map[origin]uint32{}, young: map[entry]fate{}, old: map[entry]fate{}}
}

func (l *ledger) key(id attempt.ID) entry {
	o := origin{node: id.Node, incarnation: id.Incarnation}
	n, ok := l.origins[o]
	if !ok {
		n = uint32(len(l.origins))
		l.origins[o] = n
	}
	return entry{origin: n, sequence: id.Sequence}
}

func (l *ledger) get(id attempt.ID) fate {
	k := l.key(id)
	if f, ok := l.young[k]; ok {
		return f
	}
	return l.old[k]
}

func (l *ledger) set(now time.Time, id attempt.ID, f fate) {
	if l.turned.IsZero() {
		l.turned = now
	}
	l.young[l.key(id)] = f
}

// expire forgets what has not changed for Memory; unfinished attempts stay.
func (l *ledger) expire(now time.Time) {
	if l.turned.IsZero() || now.Sub(l.turned) < Memory {
		return
	}
	l.turned = now
	kept := map[entry]fate{}
	for k, f := range l.old {
		if _, ok := l.young[k]; !ok && (f == waiting || f == running) {
			kept[k] = f
		}
	}
	l.old, l.young = l.young, kept
}
