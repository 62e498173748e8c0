package admission

import "time"

// usersPeriod is the time within which an entry node must send a request to count as a user of the request limit.
const usersPeriod = time.Second

// limitUsers counts the entry nodes that send requests to the back end, among which its request limit is shared.
type limitUsers struct {
	count       int // in the last full period, or in this one if it has more
	seen        map[string]bool
	periodStart time.Time
}

// record counts an entry node.
func (u *limitUsers) record(now time.Time, node string) {
	if now.Sub(u.periodStart) >= usersPeriod {
		u.count = len(u.seen)
		u.seen = map[string]bool{}
		u.periodStart = now
	}
	u.seen[node] = true
	u.count = max(u.count, len(u.seen))
}
