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
	minSamples  = 10               // samples before a back end is compared
	weight      = 1.0 / 10         // of one sample in the averages
	trials      = 3                // good trials in a row that end an eviction
	longestHold = 30 * time.Second // between trials of a back end that keeps failing
	calm        = time.Minute      // after a return, the hold starts again from Config.Hold
)

// Config sets the limits of a Model; zero values mean the defaults.
type Config struct {
	MaxEjectedShare  float64       // largest share of the back ends evicted at once
	LatencyRatio     float64       // latency over the median of the peers that evicts
	FailureExcess    float64       // failure ratio above the median of the peers that evicts
	BaseEjectionTime time.Duration // first wait before a trial
}

// Model compares the back ends of one service; it is not safe for concurrent use.
type Model struct {
	cfg   Config
	peers map[string]*peer
}

type peer struct {
	latency float64 // average of good samples in seconds
	failure float64 // average of failures, 0 to 1
	good    int
	total   int
	evicted bool
	absent  bool      // evicted because nothing listens there; not part of the share that may be evicted
	until   time.Time // start of the trials
	hold    time.Duration
	back    time.Time // last return
	trial   time.Time // start of the open trial, zero if none is open
	passed  int
}

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Backends replaces the back ends that are compared.
type Backends struct{ Names []string }

// Sample reports one attempt; Latency counts only for Good. A full server is not a failed one:
// samples of the kind Full change nothing but end a trial. One sample of the kind Absent evicts.
type Sample struct {
	Backend string
	Result  Result
	Latency time.Duration
}

// TrialSent reports that an attempt was sent to an evicted back end.
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
	return &Model{cfg: cfg, peers: map[string]*peer{}}
}

// Update applies one message at the given time.
func (m *Model) Update(now time.Time, msg Msg) {
	switch msg := msg.(type) {
	case Backends:
		m.members(msg.Names)
	case TrialSent:
		if p, ok := m.peers[msg.Backend]; ok && p.evicted {
			p.trial = now
		}
	case Sample:
		if p, ok := m.peers[msg.Backend]; ok {
			m.sample(now, p, msg)
		}
	}
}

// Available says whether a back end may get an attempt: it is not evicted, or it is due for a trial.
func (m *Model) Available(now time.Time, backend string) bool {
	p, ok := m.peers[backend]
	if !ok || !p.evicted {
		return true
	}
	// A trial that never ends must not keep the back end out for ever.
	pending := !p.trial.IsZero() && now.Sub(p.trial) < p.hold
	return !now.Before(p.until) && !pending
}

// Ejected says whether a back end is evicted, also while it is on trial.
func (m *Model) Ejected(backend string) bool {
	p, ok := m.peers[backend]
	return ok && p.evicted
}

func (m *Model) members(backends []string) {
	next := make(map[string]*peer, len(backends))
	for _, b := range backends {
		next[b] = m.peers[b]
		if next[b] == nil {
			next[b] = &peer{}
		}
	}
	m.peers = next
	// Fewer members allow fewer evictions.
	for _, b := range backends {
		if m.count() <= m.allowed() {
			return
		}
		if !m.peers[b].absent {
			m.peers[b].evicted = false
		}
	}
}

func (m *Model) sample(now time.Time, p *peer, msg Sample) {
	p.trial = time.Time{}
	if msg.Result == Full {
		return
	}
	if p.evicted {
		m.judge(now, p, msg)
		return
	}
	if msg.Result == Absent {
		// Nothing listens there; a comparison with peers would cost ten attempts and tell no more.
		p.absent = true
		m.evict(now, p)
		return
	}
	p.add(msg)
	if m.bad(p) && m.count() < m.allowed() {
		m.evict(now, p)
	}
}

func (p *peer) add(msg Sample) {
	p.total++
	failure := 0.0
	if msg.Result == Failed {
		failure = 1
	}
	p.failure += weight * (failure - p.failure)
	if msg.Result != Good {
		return
	}
	p.good++
	p.latency += max(weight, 1/float64(p.good)) * (msg.Latency.Seconds() - p.latency)
}

// bad compares a back end with the medians of its peers.
func (m *Model) bad(p *peer) bool {
	if p.total < minSamples {
		return false
	}
	latency, failure, ok := m.medians(p)
	if !ok {
		return false
	}
	if p.failure > failure+m.cfg.FailureExcess {
		return true
	}
	return p.good >= minSamples && latency > 0 && p.latency > m.cfg.LatencyRatio*latency
}

func (m *Model) medians(self *peer) (latency, failure float64, ok bool) {
	var ls, fs []float64
	for _, p := range m.peers {
		if p == self || p.evicted || p.total < minSamples {
			continue
		}
		fs = append(fs, p.failure)
		if p.good >= minSamples {
			ls = append(ls, p.latency)
		}
	}
	return median(ls), median(fs), len(fs) > 0
}

func (m *Model) evict(now time.Time, p *peer) {
	if p.hold == 0 || !p.evicted && now.Sub(p.back) > calm {
		p.hold = m.cfg.BaseEjectionTime
	}
	p.evicted = true
	p.passed = 0
	p.until = now.Add(p.hold)
	p.hold = min(2*p.hold, longestHold)
}

// judge handles the result of a trial.
func (m *Model) judge(now time.Time, p *peer, msg Sample) {
	if now.Before(p.until) {
		return // sent before the eviction
	}
	latency, _, ok := m.medians(p)
	slow := ok && latency > 0 && msg.Latency.Seconds() > m.cfg.LatencyRatio*latency
	if msg.Result != Good || slow {
		m.evict(now, p)
		return
	}
	p.passed++
	if p.passed < trials {
		return
	}
	p.evicted, p.absent = false, false
	p.back = now
	p.good, p.total, p.failure = 0, 0, 0
}

func (m *Model) count() int {
	n := 0
	for _, p := range m.peers {
		if p.evicted && !p.absent {
			n++
		}
	}
	return n
}

func (m *Model) allowed() int {
	return int(m.cfg.MaxEjectedShare * float64(len(m.peers)))
}

func median(vs []float64) float64 {
	if len(vs) == 0 {
		return 0
	}
	slices.Sort(vs)
	return vs[len(vs)/2]
}
