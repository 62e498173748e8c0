package admission

import "time"

const (
	connectionCost        = time.Millisecond // back-end time that a new connection takes
	connectionBudgetShare = 0.02             // share of slot time that opening connections may take
	maxConnectionBurst    = 4                // connections opened at once
)

// connectionOpener requests connections ahead of the concurrency limit, within a token bucket of back-end time.
type connectionOpener struct {
	requested  int // open or requested
	budget     time.Duration
	refilledAt time.Time
}

// setOpen corrects the count after requested connections could not be opened.
func (o *connectionOpener) setOpen(n int) { o.requested = n }

func (o *connectionOpener) removeClosed(n int) { o.requested = max(0, o.requested-n) }

// request asks for connections up to twice the concurrency limit, so that they are open before the limit doubles.
func (o *connectionOpener) request(now time.Time, limits Limits, limit int) []Cmd {
	o.refill(now, limits.Slots)
	missing := min(2*limit, limits.Slots, limits.Connections) - o.requested
	n := min(missing, int(o.budget/connectionCost))
	if n <= 0 {
		return nil
	}
	o.budget -= time.Duration(n) * connectionCost
	o.requested += n
	return []Cmd{OpenConnections{Count: n}}
}

func (o *connectionOpener) refill(now time.Time, slots int) {
	if !o.refilledAt.IsZero() {
		elapsed := min(now.Sub(o.refilledAt), time.Second)
		o.budget += time.Duration(connectionBudgetShare * float64(slots) * float64(elapsed))
	}
	o.budget = min(o.budget, maxConnectionBurst*connectionCost)
	o.refilledAt = now
}
