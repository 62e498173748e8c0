package caller

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/standin/coordination/capacity"
	"pollenhill.example/standin/state/fault"
)

// Server answers lookups, reservations and downloads as one back end.
type Server struct {
	cfg     Config
	mu      sync.Mutex
	work    *capacity.Model
	faults  fault.Set
	runs    map[string]int // reservations run, by ID
	probing time.Duration  // time spent on health and load probes
	drain   bool
	changed chan struct{}
}

// Config describes the back end.
type Config struct {
	Name            string
	Capacity        capacity.Config
	MeanServiceTime time.Duration // mean service time of lookups and reservations
	ProbeTime       time.Duration // time a health or load probe takes
	Faults          fault.Set
}

// New returns a Server in cold start.
func New(cfg Config) *Server {
	return &Server{
		cfg:     cfg,
		work:    capacity.New(cfg.Capacity),
		faults:  cfg.Faults,
		runs:    map[string]int{},
		changed: make(chan struct{}, 1),
	}
}

// App returns the routes that the node may use.
func (s *Server) App() *fiber.App {
	app := fiber.New()
	app.Get("/health", s.health)
	app.Get("/load", s.load)
	app.Get("/free/:id", s.lookup)
	app.Post("/reserve/:id", s.reserve)
	app.Get("/book/:size", s.download)
	return app
}

// State returns the state to announce.
func (s *Server) State() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.drain:
		return "draining"
	case s.work.InColdStart():
		return "cold"
	}
	return "ready"
}

// StateChanged delivers when the state to announce may have changed.
func (s *Server) StateChanged() <-chan struct{} {
	return s.changed
}

// Inflight returns the requests at work.
func (s *Server) Inflight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.work.Inflight()
}

var errReset = errors.New("connection closed on purpose")

// run does the work of one request: it takes a slot, sleeps for the service time and calls effect first.
func (s *Server) run(c fiber.Ctx, effect func()) error {
	s.mu.Lock()
	faults, cold := s.faults, s.work.InColdStart()
	if rand.Float64() < faults.ShedRatio {
		s.mu.Unlock()
		c.Set(attempt.HeaderOutcome, attempt.NotRun.String())
		c.Set(fiber.HeaderRetryAfter, "1")
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	slow := s.work.Begin(time.Now())
	effect()
	s.mu.Unlock()
	if rand.Float64() >= faults.ErrorRatio {
		time.Sleep(s.serviceTime(slow * max(1, faults.SlowdownFactor)))
	}
	s.mu.Lock()
	s.work.End()
	turned := cold != s.work.InColdStart()
	s.mu.Unlock()
	if turned {
		s.notify()
	}
	switch p := rand.Float64(); {
	case p < faults.ErrorRatio:
		return c.SendStatus(fiber.StatusInternalServerError)
	case p < faults.ErrorRatio+faults.ResetRatio:
		return c.RequestCtx().Conn().Close()
	}
	return nil
}

// serviceTime draws a log-normal-like time around the mean, scaled by factor.
func (s *Server) serviceTime(factor float64) time.Duration {
	noise := 0.5 + rand.ExpFloat64()/2
	return time.Duration(float64(s.cfg.MeanServiceTime) * noise * factor)
}

func (s *Server) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
