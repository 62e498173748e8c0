package admission

import "time"

// Some back ends slow down when they are nearly full, so that their last slots cost more than they bring; others do
// not. Both kinds are told apart by the time of requests that started with many and with few others at work.

const (
	kneeShare   = 0.8  // share of the slots above which a back end counts as nearly full
	kneeRatio   = 1.3  // slowdown at which the last slots are left free: a fifth of the slots brings no more than that
	kneeSamples = 40   // requests of each kind before they are compared
	kneeWeight  = 0.04 // of one request in the averages
	kneeHold    = 30 * time.Second
)

// knee decides how many slots of a back end are worth using.
type knee struct {
	few, many   float64 // average time over the usual one
	fews, manys int
	until       time.Time // the last slots are left free until then
}

// slots returns how many of the slots to use.
func (k *knee) slots(now time.Time, slots int) int {
	if now.Before(k.until) {
		return max(1, int(kneeShare*float64(slots)))
	}
	return slots
}

// learn takes the time of a request over its usual one, with the requests at work when it started.
func (k *knee) learn(now time.Time, ratio float64, busy, slots int) {
	if float64(busy) > kneeShare*float64(slots) {
		k.many = average(k.many, ratio, k.manys)
		k.manys++
	} else {
		k.few = average(k.few, ratio, k.fews)
		k.fews++
	}
	if k.manys >= kneeSamples && k.fews >= kneeSamples && k.many > kneeRatio*k.few {
		k.until = now.Add(kneeHold)
		k.manys = 0
	}
}

func average(old, v float64, n int) float64 {
	return old + max(kneeWeight, 1/float64(n+1))*(v-old)
}
