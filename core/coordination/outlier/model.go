package outlier

import (
	"slices"
	"time"
)

// Defaults for a Config that leaves them out.
const (
	DefaultMaxEjectedShare  = 0.34 // one of three, one of four, two of six
	DefaultLatencyRatio     = 3.0
	DefaultFailureExcess    = 0.3
	DefaultBaseEjectionTime = time.Second
)

const (
	minSamples     = 10       // samples of a back end before it is compared to others
	sampleWeight   = 1.0 / 10 // of one sample in the moving averages
	requiredTrials = 3        // good trials in a row that end an ejection
	// maxEjectionTime is the longest time until the next trial of a back end that keeps failing.
	maxEjectionTime = 30 * time.Second
	// ejectionTimeResetAfter is the time after a return from which an ejection lasts Config.BaseEjectionTime again.
	ejectionTimeResetAfter = time.Minute
)

// Config sets the limits of a Model. Zero values mean the defaults.
type Config struct {
	MaxEjectedShare  float64       // largest share of the back ends ejected at once
	LatencyRatio     float64       // ratio to the median latency of the others above which a back end is ejected
	FailureExcess    float64       // failure ratio above the median of the others by which a back end is ejected
	BaseEjectionTime time.Duration // time before the first trial
}

// Model compares the back ends of one service and ejects outliers. It is not safe for concurrent use.
type Model struct {
	cfg      Config
	backends map[string]*backend
}

type backend struct {
	meanLatency      float64 // moving average of the good samples, in seconds
	failureRatio     float64 // moving average, 0 to 1
	goodSamples      int
	samples          int
	ejected          bool
	absent           bool          // ejected because nothing listens there; not counted in Config.MaxEjectedShare
	ejectedUntil     time.Time     // when trials may start
	nextEjectionTime time.Duration // length of the next ejection
	returnedAt       time.Time     // end of the last ejection
	trialSentAt      time.Time     // start of the pending trial, zero if none is pending
	goodTrials       int           // in a row
}

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Backends replaces the back ends that are compared.
type Backends struct{ Names []string }

// Sample reports the result of one attempt; Latency counts only for Good. A full server is not a failed one, so that Full
// has no effect but to end a pending trial. A single Absent ejects the back end.
type Sample struct {
	Backend string
	Result  Result
	Latency time.Duration
}

// TrialSent reports that a trial request was sent to an ejected back end.
type TrialSent struct{ Backend string }

func (Backends) msg()  {}
func (Sample) msg()    {}
func (TrialSent) msg() {}

// New returns a Model without back ends.
func New(cfg Config) *Model {
	if cfg.MaxEjectedShare == 0 {
		cfg.MaxEjectedShare = DefaultMaxEjectedShare
	}
	if cfg.LatencyRatio == 0 {
		cfg.LatencyRatio = DefaultLatencyRatio
	}
	if cfg.FailureExcess == 0 {
		cfg.FailureExcess = DefaultFailureExcess
	}
	if cfg.BaseEjectionTime == 0 {
		cfg.BaseEjectionTime = DefaultBaseEjectionTime
	}
	return &Model{cfg: cfg, backends: map[string]*backend{}}
}

// Update applies one message at the given time.
func (m *Model) Update(now time.Time, msg Msg) {
	switch msg := msg.(type) {
	case Backends:
		m.setBackends(msg.Names)
	case TrialSent:
		if b, ok := m.backends[msg.Backend]; ok && b.ejected {
			b.trialSentAt = now
		}
	case Sample:
		if b, ok := m.backends[msg.Backend]; ok {
			m.addSample(now, b, msg)
		}
	}
}

// Available reports whether a back end may get an attempt: it is not ejected, or a trial is due.
func (m *Model) Available(now time.Time, backend string) bool {
	b, ok := m.backends[backend]
	if !ok || !b.ejected {
		return true
	}
	// A trial that never ends must not keep the back end ejected forever.
	pending := !b.trialSentAt.IsZero() && now.Sub(b.trialSentAt) < b.nextEjectionTime
	return !now.Before(b.ejectedUntil) && !pending
}

// Ejected reports whether a back end is ejected, which includes the time of its trials.
func (m *Model) Ejected(backend string) bool {
	b, ok := m.backends[backend]
	return ok && b.ejected
}

func (m *Model) setBackends(names []string) {
	next := make(map[string]*backend, len(names))
	for _, name := range names {
		next[name] = m.backends[name]
		if next[name] == nil {
			next[name] = &backend{}
		}
	}
	m.backends = next
	// With fewer back ends fewer may be ejected, so some return early.
	for _, name := range names {
		if m.ejectedCount() <= m.maxEjected() {
			return
		}
		if !m.backends[name].absent {
			m.backends[name].ejected = false
		}
	}
}

func (m *Model) addSample(now time.Time, b *backend, msg Sample) {
	b.trialSentAt = time.Time{}
	if msg.Result == Full {
		return
	}
	if b.ejected {
		m.finishTrial(now, b, msg)
		return
	}
	if msg.Result == Absent {
		// Nothing listens there. A comparison to the others would cost minSamples attempts and show no more.
		b.absent = true
		m.eject(now, b)
		return
	}
	b.addSample(msg)
	if m.isOutlier(b) && m.ejectedCount() < m.maxEjected() {
		m.eject(now, b)
	}
}

func (b *backend) addSample(msg Sample) {
	b.samples++
	failure := 0.0
	if msg.Result == Failed {
		failure = 1
	}
	b.failureRatio += sampleWeight * (failure - b.failureRatio)
	if msg.Result != Good {
		return
	}
	b.goodSamples++
	b.meanLatency += max(sampleWeight, 1/float64(b.goodSamples)) * (msg.Latency.Seconds() - b.meanLatency)
}

// isOutlier compares a back end to the medians of the others.
func (m *Model) isOutlier(b *backend) bool {
	if b.samples < minSamples {
		return false
	}
	latency, failureRatio, ok := m.peerMedians(b)
	if !ok {
		return false
	}
	if b.failureRatio > failureRatio+m.cfg.FailureExcess {
		return true
	}
	return b.goodSamples >= minSamples && latency > 0 && b.meanLatency > m.cfg.LatencyRatio*latency
}

// peerMedians returns the median latency in seconds and the median failure ratio of the other back ends that are not
// ejected and have enough samples; ok is false if there are none.
func (m *Model) peerMedians(self *backend) (latency, failureRatio float64, ok bool) {
	var latencies, failureRatios []float64
	for _, b := range m.backends {
		if b == self || b.ejected || b.samples < minSamples {
			continue
		}
		failureRatios = append(failureRatios, b.failureRatio)
		if b.goodSamples >= minSamples {
			latencies = append(latencies, b.meanLatency)
		}
	}
	return median(latencies), median(failureRatios), len(failureRatios) > 0
}

// eject ejects a back end, or extends its ejection after a failed trial; the time doubles with each.
func (m *Model) eject(now time.Time, b *backend) {
	if b.nextEjectionTime == 0 || !b.ejected && now.Sub(b.returnedAt) > ejectionTimeResetAfter {
		b.nextEjectionTime = m.cfg.BaseEjectionTime
	}
	b.ejected = true
	b.goodTrials = 0
	b.ejectedUntil = now.Add(b.nextEjectionTime)
	b.nextEjectionTime = min(2*b.nextEjectionTime, maxEjectionTime)
}

// finishTrial handles the result of a trial request.
func (m *Model) finishTrial(now time.Time, b *backend, msg Sample) {
	if now.Before(b.ejectedUntil) {
		return // sent before the ejection
	}
	latency, _, ok := m.peerMedians(b)
	slow := ok && latency > 0 && msg.Latency.Seconds() > m.cfg.LatencyRatio*latency
	if msg.Result != Good || slow {
		m.eject(now, b)
		return
	}
	b.goodTrials++
	if b.goodTrials < requiredTrials {
		return
	}
	b.ejected, b.absent = false, false
	b.returnedAt = now
	b.goodSamples, b.samples, b.failureRatio = 0, 0, 0
}

// ejectedCount returns the number of ejected back ends without the absent ones.
func (m *Model) ejectedCount() int {
	n := 0
	for _, b := range m.backends {
		if b.ejected && !b.absent {
			n++
		}
	}
	return n
}

func (m *Model) maxEjected() int {
	return int(m.cfg.MaxEjectedShare * float64(len(m.backends)))
}

func median(vs []float64) float64 {
	if len(vs) == 0 {
		return 0
	}
	slices.Sort(vs)
	return vs[len(vs)/2]
}
