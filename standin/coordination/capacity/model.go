package capacity

import "time"

// Model counts the work of one back end; it is not safe for concurrent use.
type Model struct {
	cfg      Config
	inflight int
	done     int // requests completed since the last cold start
	stats    Stats
}

// Config sets what the back end can handle.
type Config struct {
	Slots int // requests at once when warm
	Cold  int // requests at once in cold start
	Warm  int // completed requests that end a cold start
}

// Stats counts since the process started.
type Stats struct {
	Started  int       // requests started
	Last     time.Time // start of the newest request
	Peak     int       // most requests at once
	Over     int       // requests started above the slots
	OverCold int       // requests started in cold start above the cold limit
}

// New returns the Model of a back end in cold start.
func New(cfg Config) *Model {
	return &Model{cfg: cfg}
}

// Begin counts the start of a request and returns the factor by which overload slows it down.
func (m *Model) Begin(now time.Time) float64 {
	m.inflight++
	m.stats.Started++
	m.stats.Last = now
	m.stats.Peak = max(m.stats.Peak, m.inflight)
	if m.inflight > m.cfg.Slots {
		m.stats.Over++
	}
	if m.Cold() && m.inflight > m.cfg.Cold {
		m.stats.OverCold++
	}
	return max(1, float64(m.inflight)/float64(m.limit()))
}

// End counts the end of a request.
func (m *Model) End() {
	m.inflight--
	m.done++
}

// TurnCold puts the back end back into cold start, as a restart without warning does.
func (m *Model) TurnCold() {
	m.done = 0
}

// Cold reports whether the back end is in cold start.
func (m *Model) Cold() bool {
	return m.done < m.cfg.Warm
}

// Inflight returns the requests at work.
func (m *Model) Inflight() int {
	return m.inflight
}

// Stats returns a copy of the counts.
func (m *Model) Stats() Stats {
	return m.stats
}

func (m *Model) limit() int {
	if m.Cold() {
		return m.cfg.Cold
	}
	return m.cfg.Slots
}
