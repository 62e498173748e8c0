package outlier

import (
	"slices"
	"time"
)

// Defaults for a Config that leaves them out.
const (
	DefaultShare  = 0.34 // one of three, one of four, two of six
	DefaultSlow   = 3.0
	DefaultExcess = 0.3
	DefaultHold   = time.Second
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
	Share  float64       // largest share of the back ends evicted at once
	Slow   float64       // latency over the median of the peers that evicts
	Excess float64       // failure ratio above the median of the peers that evicts
	Hold   time.Duration // first wait before a trial
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

// Members replaces the back ends that are compared.
type Members struct{ Backends []string }

// Sample reports one attempt; Latency counts only for Good. A full server is not a failed one:
// samples of the kind Full change nothing but end a trial. One sample of the kind Absent evicts.
type Sample struct {
	Backend string
	Kind    Kind
	Latency time.Duration
}

// Trial reports that an attempt was sent to an evicted back end.
type Trial struct{ Backend string }

func (Members) msg() {}
func (Sample) msg()  {}
func (Trial) msg()   {}

// New returns a Model without back ends.
func New(cfg Config) *Model {
	if cfg.Share == 0 {
		cfg.Share = DefaultShare
	}
	if cfg.Slow == 0 {
		cfg.Slow = DefaultSlow
	}
	if cfg.Excess == 0 {
		cfg.Excess = DefaultExcess
	}
	if cfg.Hold == 0 {
		cfg.Hold = DefaultHold
	}
	return &Model{cfg: cfg, peers: map[string]*peer{}}
}

// Update applies one message at the given time.
func (m *Model) Update(now time.Time, msg Msg) {
	switch msg := msg.(type) {
	case Members:
		m.members(msg.Backends)
	case Trial:
		if p, ok := m.peers[msg.Backend]; ok && p.evicted {
			p.trial = now
		}
	case Sample:
		if p, ok := m.peers[msg.Backend]; ok {
			m.sample(now, p, msg)
		}
	}
}

// Open says whether a back end may get an attempt: it is not evicted, or it is due for a trial.
func (m *Model) Open(now time.Time, backend string) bool {
	p, ok := m.peers[backend]
	if !ok || !p.evicted {
		return true
	}
	// A trial that never ends must not keep the back end out for ever.
	pending := !p.trial.IsZero() && now.Sub(p.trial) < p.hold
	return !now.Before(p.until) && !pending
}

// Evicted says whether a back end is evicted, also while it is on trial.
func (m *Model) Evicted(backend string) bool {
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
	if msg.Kind == Full {
		return
	}
	if p.evicted {
		m.judge(now, p, msg)
		return
	}
	if msg.Kind == Absent {
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
	if msg.Kind == Failed {
		failure = 1
	}
	p.failure += weight * (failure - p.failure)
	if msg.Kind != Good {
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
	if p.failure > failure+m.cfg.Excess {
		return true
	}
	return p.good >= minSamples && latency > 0 && p.latency > m.cfg.Slow*latency
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
		p.hold = m.cfg.Hold
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
	slow := ok && latency > 0 && msg.Latency.Seconds() > m.cfg.Slow*latency
	if msg.Kind != Good || slow {
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
	return int(m.cfg.Share * float64(len(m.peers)))
}

func median(vs []float64) float64 {
	if len(vs) == 0 {
		return 0
	}
	slices.Sort(vs)
	return vs[len(vs)/2]
}
