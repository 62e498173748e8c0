package allowance

import "time"

// Slots of the counters.
const (
	slotWidth   = 250 * time.Millisecond
	windowSlots = int64(Window / slotWidth)
	demandSlots = int64(2) // slots before the current one from which demand is measured; short, so that a burst shows at once

	demandPeriod = time.Duration(demandSlots)*slotWidth + slotWidth/2 // the current slot is half over on average
)

// window counts requests by slot; the current slot comes on top of a whole Window, so that sums never fall short of it.
type window struct {
	counts [windowSlots + 1]uint32
	newest int64 // slot
}

// advance moves the window on to a slot and drops what is older than it.
func (w *window) advance(slot int64) {
	if slot-w.newest > windowSlots {
		clear(w.counts[:])
		w.newest = slot
	}
	for w.newest < slot {
		w.newest++
		w.counts[w.index(w.newest)] = 0
	}
}

func (w *window) index(slot int64) int64 { return slot % int64(len(w.counts)) }

// count adds one request at a slot.
func (w *window) count(slot int64) {
	w.advance(slot)
	w.counts[w.index(w.newest)]++
}

// uncount takes back a request that was counted at an earlier slot, unless that has left the window.
func (w *window) uncount(slot int64) {
	if i := w.index(slot); slot <= w.newest && w.newest-slot <= windowSlots && w.counts[i] > 0 {
		w.counts[i]--
	}
}

// sum returns the requests of the current slot and the given number before it.
func (w *window) sum(slots int64) uint32 {
	n := uint32(0)
	for i := range min(slots, w.newest) + 1 {
		n += w.counts[w.index(w.newest-i)]
	}
	return n
}

// oldest returns the number of slots until the oldest counted request leaves the window.
func (w *window) oldest() int64 {
	for i := min(windowSlots, w.newest); i > 0; i-- {
		if w.counts[w.index(w.newest-i)] > 0 {
			return windowSlots - i + 1
		}
	}
	return windowSlots + 1
}
