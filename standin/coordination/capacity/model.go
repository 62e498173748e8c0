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
	Slots          int // requests at once when warm
	ColdSlots      int // requests at once in cold start
	WarmupRequests int // completed requests that end a cold start
}

// Stats counts since the process started.
type Stats struct {
	Started       int       // requests started
	LastStart     time.Time `json:"Last"`     // start of the newest request
	PeakInflight  int       `json:"Peak"`     // most requests at once
	OverSlots     int       `json:"Over"`     // requests started above the slots
	OverColdSlots int       `json:"OverCold"` // requests started in cold start above the cold limit
}

// New returns the Model of a back end in cold start.
func New(cfg Config) *Model {
	return &Model{cfg: cfg}
}

// Begin counts the start of a request and returns the factor by which overload slows it down.
func (m *Model) Begin(now time.Time) float64 {
	m.inflight++
	m.stats.Started++
	m.stats.LastStart = now
	m.stats.PeakInflight = max(m.stats.PeakInflight, m.inflight)
	if m.inflight > m.cfg.Slots {
		m.stats.OverSlots++
	}
	if m.InColdStart() && m.inflight > m.cfg.ColdSlots {
		m.stats.OverColdSlots++
	}
	return max(1, float64(m.inflight)/float64(m.limit()))
}

// End counts the end of a request.
func (m *Model) End() {
	m.inflight--
	m.done++
}

// EnterColdStart puts the back end back into cold start, as a restart without warning does.
func (m *Model) EnterColdStart() {
	m.done = 0
}

// InColdStart reports whether the back end is in cold start.
func (m *Model) InColdStart() bool {
	return m.done < m.cfg.WarmupRequests
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
	if m.InColdStart() {
		return m.cfg.ColdSlots
	}
	return m.cfg.Slots
}
