package admission

import "time"

const (
	openCost  = time.Millisecond // back-end time that a new connection takes
	openShare = 0.02             // share of slot time that opening connections may take
	openBurst = 4                // connections opened at once
)

// warmer asks for connections ahead of the cap, within a budget of back-end time.
type warmer struct {
	open   int // opened or asked for
	tokens time.Duration
	last   time.Time
}

// opened corrects the count after connections that were asked for could not be opened.
func (w *warmer) opened(n int) { w.open = n }

func (w *warmer) closed(n int) { w.open = max(0, w.open-n) }

// grow asks for connections up to twice the cap, so that they are warm before the cap doubles.
func (w *warmer) grow(now time.Time, limits Limits, limit int) []Cmd {
	w.earn(now, limits.Slots)
	want := min(2*limit, limits.Slots, limits.Connections) - w.open
	n := min(want, int(w.tokens/openCost))
	if n <= 0 {
		return nil
	}
	w.tokens -= time.Duration(n) * openCost
	w.open += n
	return []Cmd{OpenConnections{Count: n}}
}

func (w *warmer) earn(now time.Time, slots int) {
	if !w.last.IsZero() {
		elapsed := min(now.Sub(w.last), time.Second)
		w.tokens += time.Duration(openShare * float64(slots) * float64(elapsed))
	}
	w.tokens = min(w.tokens, openBurst*openCost)
	w.last = now
}
