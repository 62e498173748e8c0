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

// Server answers lookups, reservations and downloads as one back end does. It is safe for concurrent use.
type Server struct {
	cfg             Config
	mu              sync.Mutex
	capacity        *capacity.Model
	faults          fault.Set
	reservationRuns map[string]int // number of runs by reservation ID
	probeTime       time.Duration  // spent on health and load checks
	draining        bool
	stateChanged    chan struct{}
}

// Config sets the name, the capacity and the timing of the back end.
type Config struct {
	Name            string
	Capacity        capacity.Config
	MeanServiceTime time.Duration // of requests without overload and faults
	ProbeTime       time.Duration // duration of a health or load check
	Faults          fault.Set     // until they are changed at the admin listener
}

// New returns a Server in cold start.
func New(cfg Config) *Server {
	return &Server{
		cfg:             cfg,
		capacity:        capacity.New(cfg.Capacity),
		faults:          cfg.Faults,
		reservationRuns: map[string]int{},
		stateChanged:    make(chan struct{}, 1),
	}
}

// App returns the routes that the node uses.
func (s *Server) App() *fiber.App {
	app := fiber.New()
	app.Get("/health", s.handleHealth)
	app.Get("/load", s.handleLoad)
	app.Get("/free/:id", s.handleLookup)
	app.Post("/reserve/:id", s.handleReserve)
	app.Get("/book/:size", s.handleDownload)
	return app
}

// State returns the state to announce to the node: draining, cold or ready.
func (s *Server) State() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		return "draining"
	case s.capacity.InColdStart():
		return "cold"
	}
	return "ready"
}

// StateChanged returns a channel that receives a value when the state to announce may have changed.
func (s *Server) StateChanged() <-chan struct{} {
	return s.stateChanged
}

// Inflight returns the number of requests in flight.
func (s *Server) Inflight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity.Inflight()
}

// errTruncated breaks off the body of a download on purpose.
var errTruncated = errors.New("connection closed on purpose")

// runRequest runs one request with the faults in force at its start: it calls onStart with the mutex held, and sleeps for
// the service time. The caller must not write a response if it returns an error or sets a status other than 200.
func (s *Server) runRequest(c fiber.Ctx, onStart func()) error {
	s.mu.Lock()
	faults, wasCold := s.faults, s.capacity.InColdStart()
	if rand.Float64() < faults.ShedRatio {
		s.mu.Unlock()
		c.Set(attempt.HeaderOutcome, attempt.NotRun.String())
		c.Set(fiber.HeaderRetryAfter, "1")
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	slowdown := s.capacity.Begin(time.Now())
	onStart()
	s.mu.Unlock()
	if rand.Float64() >= faults.ErrorRatio {
		time.Sleep(s.drawServiceTime(slowdown * max(1, faults.SlowdownFactor)))
	}
	s.mu.Lock()
	s.capacity.End()
	coldStartChanged := wasCold != s.capacity.InColdStart()
	s.mu.Unlock()
	if coldStartChanged {
		s.notifyStateChanged()
	}
	switch draw := rand.Float64(); {
	case draw < faults.ErrorRatio:
		return c.SendStatus(fiber.StatusInternalServerError)
	case draw < faults.ErrorRatio+faults.ResetRatio:
		return c.RequestCtx().Conn().Close()
	}
	return nil
}

// drawServiceTime draws a service time with the mean Config.MeanServiceTime times slowdown: half of it is constant, the
// other half exponentially distributed.
func (s *Server) drawServiceTime(slowdown float64) time.Duration {
	noise := 0.5 + rand.ExpFloat64()/2
	return time.Duration(float64(s.cfg.MeanServiceTime) * noise * slowdown)
}

func (s *Server) notifyStateChanged() {
	select {
	case s.stateChanged <- struct{}{}:
	default:
	}
}
