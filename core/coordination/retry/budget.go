package retry

import "time"

// Budget allows extra attempts as a share of the calls seen; it is not safe for concurrent use.
type Budget struct {
	cfg    Config
	tokens float64
}

// Config sets the share and the burst of a Budget.
type Config struct {
	Ratio float64 // extra attempts per call
	Burst float64 // extra attempts that may come at once
}

// New returns an empty Budget: extra attempts are earned by calls.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg}
}

// Call earns the share of one call.
func (b *Budget) Call(_ time.Time) {
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// Take spends one extra attempt, or returns false if none is left.
func (b *Budget) Take(_ time.Time) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
