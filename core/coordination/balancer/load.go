package balancer

import (
	"math"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/rule"
)

const (
	turnover = 10 * time.Millisecond // service time assumed before the first hint
	// A report of speed fades towards the peers in this time: longer would keep a back end that was slow
	// for a moment without work and so without a newer report. Lasting slowness is left to outlier.
	speedMemory = 250 * time.Millisecond
	// Reported service times that differ less than this from the peers count as equal: they are means
	// of few requests, and following their noise unbalances the load.
	sameSpeed   = 1.5
	limitMemory = time.Second // a report of a limit fades towards the slots in this time
	// What several reports agree on outlasts one report: it shows a lasting imbalance even when every
	// single report is too old to say how many requests there are now.
	usualMemory = 100 * time.Millisecond
	usualWeight = 0.05
	ownWeight   = 0.1
	ownSamples  = 8
	// A report of less than this share of the latency seen here is not believed: a full queue at the
	// destination explains a latency of three service times, not of more.
	ownTrust  = 0.25
	useWeight = 0.02
)

// load is what the entry node knows of one back end.
type load struct {
	inflight int // sent from here and not ended
	others   float64
	usual    float64 // average of others
	reports  int
	hint     hint.Hint
	at       time.Time // of the hint, zero while there is none
	own      float64   // average latency of good attempts from here, seconds
	samples  int
	bounced  time.Time // last refusal or failure seen here
}

// reported stores a hint that was true at the given time; what it says about others' requests excludes
// those sent from here.
func (l *load) reported(at time.Time, h hint.Hint) {
	l.hint = h
	l.at = at
	l.others = max(0, float64(h.Inflight+h.Queued-l.inflight))
	l.reports++
	l.usual += max(usualWeight, 1/float64(l.reports)) * (l.others - l.usual)
}

func (l *load) observed(latency time.Duration) {
	l.samples++
	l.own += max(ownWeight, 1/float64(l.samples)) * (latency.Seconds() - l.own)
}

// service is what the entry node knows of all back ends of one service.
type service struct {
	use   float64 // usual load of others per slot
	total float64 // usual load of all per slot
	speed float64 // usual service time, seconds
}

func (s *service) learn(l *load) {
	if l.hint.Limit > 0 {
		s.use += useWeight * (l.others/float64(l.hint.Limit) - s.use)
		s.total += useWeight * (float64(l.hint.Inflight+l.hint.Queued)/float64(l.hint.Limit) - s.total)
	}
	if l.hint.Latency <= 0 {
		return
	}
	if s.speed == 0 {
		s.speed = l.hint.Latency.Seconds()
	}
	// Moves by steps of fixed size, like a running median, so that one straggler hardly shifts it.
	s.speed *= 1 + useWeight*float64(sign(l.hint.Latency.Seconds()-s.speed))
}

func sign(v float64) int {
	switch {
	case v > 0:
		return 1
	case v < 0:
		return -1
	}
	return 0
}

// guess is the estimate for one back end at the time of a pick.
type guess struct {
	load  float64 // requests at the back end or waiting for it
	limit float64
	speed float64 // seconds
	doubt float64 // 0 for a fresh report, 1 for one that says nothing any more
}

// guess ages the last report: load turns over within a service time, speed and limit last longer.
func (s *service) guess(now time.Time, t Target, l *load, rules rule.Service) guess {
	speed := s.speed
	if speed == 0 {
		speed = turnover.Seconds()
	}
	limit := slots(t, rules)
	if l.at.IsZero() {
		return guess{load: s.unknown(t, limit) + float64(l.inflight), limit: limit, speed: speed, doubt: 1}
	}
	if l.lies() {
		return guess{load: s.unknown(t, limit) + float64(l.inflight), limit: limit, speed: max(speed, l.own/sameSpeed), doubt: 1}
	}
	age := now.Sub(l.at)
	fresh := math.Exp(-age.Seconds() / speed)
	lasting := math.Exp(-age.Seconds() / limitMemory.Seconds())
	limit += lasting * (float64(l.hint.Limit) - limit)
	unknown := s.unknown(t, limit)
	usual := unknown + math.Exp(-age.Seconds()/usualMemory.Seconds())*(l.usual-unknown)
	others := usual + fresh*(l.others-usual)
	if slow := l.hint.Latency.Seconds() / sameSpeed; slow > speed {
		speed += math.Exp(-age.Seconds()/speedMemory.Seconds()) * (slow - speed)
	}
	return guess{load: others + float64(l.inflight), limit: limit, speed: speed, doubt: 1 - fresh}
}

// unknown is the load assumed for a back end without a recent report. A cold one is not as loaded as its
// peers: assuming so would keep every first request from it, and it would never warm up.
func (s *service) unknown(t Target, limit float64) float64 {
	if t.State == admission.Cold {
		return min(s.use, 0.5) * limit
	}
	return s.use * limit
}

// lies says that the report cannot be true for the latency seen here.
func (l *load) lies() bool {
	return l.samples >= ownSamples && l.hint.Latency.Seconds() < ownTrust*l.own
}

func slots(t Target, rules rule.Service) float64 {
	if t.State == admission.Cold {
		return float64(or(rules.Cold, rule.DefaultCold))
	}
	return float64(or(t.Slots, or(rules.Slots, rule.DefaultSlots)))
}

func or(n, other int) int {
	if n > 0 {
		return n
	}
	return other
}

// cost is the expected time to finish one more request, in seconds.
func (g guess) cost() float64 {
	limit := max(g.limit, 0.5)
	over := g.load + 1 - limit
	// The count of requests is uncertain by about its square root once the report has aged.
	width := 0.5 + g.doubt*math.Sqrt(limit)
	wait := width * softplus(over/width) / limit
	return g.speed * (1 + wait + lean*g.load/limit)
}

// softplus is a smooth form of max(0, x).
func softplus(x float64) float64 {
	if x > 30 {
		return x // the exponential would overflow, and the difference is below 1e-13
	}
	return math.Log1p(math.Exp(x))
}

// lean prefers the less loaded of two back ends that both have free slots.
const lean = 0.2

// use is the share of the limit that one more request would take.
func (g guess) use() float64 {
	return (g.load + 1) / max(g.limit, 0.5)
}
