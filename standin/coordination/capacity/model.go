package capacity

import "time"

// Model tracks the requests in flight at one back end and its cold start. It is not safe for concurrent use.
type Model struct {
	cfg       Config
	inflight  int
	completed int // requests completed since the last cold start began
	stats     Stats
}

// Config sets how many requests the back end can handle at the same time.
type Config struct {
	Slots          int // concurrency limit after the cold start
	ColdSlots      int // concurrency limit in cold start
	WarmupRequests int // completed requests that end a cold start; 0 for no cold start
}

// Stats holds counts since the process started.
type Stats struct {
	Started       int       // requests
	LastStart     time.Time `json:"Last"`     // start of the newest request
	PeakInflight  int       `json:"Peak"`     // most requests in flight at the same time
	OverSlots     int       `json:"Over"`     // requests started while all slots were in use
	OverColdSlots int       `json:"OverCold"` // requests started in cold start above Config.ColdSlots
}

// New returns the Model of a back end in cold start.
func New(cfg Config) *Model {
	return &Model{cfg: cfg}
}

// Begin counts the start of a request and returns its slowdown by overload: 1 up to the concurrency limit, above it the
// requests in flight divided by the limit.
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
	return max(1, float64(m.inflight)/float64(m.concurrencyLimit()))
}

// End counts the end of a request.
func (m *Model) End() {
	m.inflight--
	m.completed++
}

// EnterColdStart puts the back end into cold start again, as an unannounced restart does.
func (m *Model) EnterColdStart() {
	m.completed = 0
}

// InColdStart reports whether the back end is in cold start.
func (m *Model) InColdStart() bool {
	return m.completed < m.cfg.WarmupRequests
}

// Inflight returns the number of requests in flight.
func (m *Model) Inflight() int {
	return m.inflight
}

// Stats returns a copy of the counts.
func (m *Model) Stats() Stats {
	return m.stats
}

func (m *Model) concurrencyLimit() int {
	if m.InColdStart() {
		return m.cfg.ColdSlots
	}
	return m.cfg.Slots
}
