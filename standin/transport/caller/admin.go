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
	ReservationRuns map[string]int `json:"runs"`    // reservations run, by ID
	ProbeTime       time.Duration  `json:"probing"` // nanoseconds spent on probes
}

// AdminApp returns the routes for tests and the demo; they listen apart from those of the node.
func (s *Server) AdminApp() *fiber.App {
	app := fiber.New()
	app.Get("/stats", func(c fiber.Ctx) error { return c.JSON(s.Stats()) })
	app.Post("/fault", s.setFaults)
	app.Post("/cold", func(c fiber.Ctx) error { return s.turnCold(c) })
	app.Post("/drain", func(c fiber.Ctx) error { return s.setDrain(c, true) })
	app.Post("/undrain", func(c fiber.Ctx) error { return s.setDrain(c, false) })
	return app
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Name: s.cfg.Name, Requests: s.work.Stats(), ReservationRuns: maps.Clone(s.runs), ProbeTime: s.probing}
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

// turnCold makes the back end cold without announcing it.
func (s *Server) turnCold(c fiber.Ctx) error {
	s.mu.Lock()
	s.work.EnterColdStart()
	s.mu.Unlock()
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) setDrain(c fiber.Ctx, drain bool) error {
	s.mu.Lock()
	s.drain = drain
	s.mu.Unlock()
	s.notify()
	return c.SendStatus(fiber.StatusNoContent)
}
