package caller

import (
	"maps"
	"time"

	"github.com/gofiber/fiber/v3"

	"pollenhill.example/standin/coordination/capacity"
	"pollenhill.example/standin/state/fault"
)

// Stats is the body of GET /stats on the admin listener.
type Stats struct {
	Name            string         `json:"name"`
	Requests        capacity.Stats `json:"work"`
	ReservationRuns map[string]int `json:"runs"`    // number of runs by reservation ID
	ProbeTime       time.Duration  `json:"probing"` // spent on health and load checks, in nanoseconds
}

// AdminApp returns the routes for tests and the demo. They have a listener of their own, which the node does not use.
func (s *Server) AdminApp() *fiber.App {
	app := fiber.New()
	app.Get("/stats", func(c fiber.Ctx) error { return c.JSON(s.Stats()) })
	app.Post("/fault", s.setFaults)
	app.Post("/cold", func(c fiber.Ctx) error { return s.enterColdStart(c) })
	app.Post("/drain", func(c fiber.Ctx) error { return s.setDraining(c, true) })
	app.Post("/undrain", func(c fiber.Ctx) error { return s.setDraining(c, false) })
	return app
}

// Stats returns a copy of the counts since the process started.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Name: s.cfg.Name, Requests: s.capacity.Stats(), ReservationRuns: maps.Clone(s.reservationRuns), ProbeTime: s.probeTime}
}

func (s *Server) setFaults(c fiber.Ctx) error {
	var faults fault.Set
	if err := c.Bind().JSON(&faults); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	return c.SendStatus(fiber.StatusNoContent)
}

// enterColdStart starts a cold start without waking the announcer, as a restart does that the node does not notice.
func (s *Server) enterColdStart(c fiber.Ctx) error {
	s.mu.Lock()
	s.capacity.EnterColdStart()
	s.mu.Unlock()
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) setDraining(c fiber.Ctx, draining bool) error {
	s.mu.Lock()
	s.draining = draining
	s.mu.Unlock()
	s.notifyStateChanged()
	return c.SendStatus(fiber.StatusNoContent)
}
