package localapi

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"pollenhill.example/core/state/settings"
	"pollenhill.example/node/coordination/instance"
	"pollenhill.example/node/transport/backend"
)

// Server serves the local listener.
type Server struct {
	cfg Config
	app *fiber.App

	ready *fiber.App
}

// Config connects a Server with the rest of the node.
type Config struct {
	Zone         string
	OnAnnounce   func(backend.Announcement)
	OnHeartbeat  func(instance.Heartbeat)
	OnDeregister func(id string)
	Ready        func() bool
	Status       func() any // encoded as JSON
	Metrics      prometheus.Gatherer
	ReadTimeout  time.Duration // longest time for receiving a request
	IdleTimeout  time.Duration // after which an unused connection is closed
}

// bodyLimit bounds an announcement, in bytes.
const bodyLimit = 16 << 10

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, app: fiber.New(fiber.Config{
		ReadTimeout: cfg.ReadTimeout,
		IdleTimeout: cfg.IdleTimeout,
		BodyLimit:   bodyLimit,
	})}
	s.ready = fiber.New(fiber.Config{ReadTimeout: cfg.ReadTimeout, IdleTimeout: cfg.IdleTimeout, BodyLimit: bodyLimit})
	s.ready.Get("/ready", s.isReady)
	s.app.Post("/announce", s.announce)
	s.app.Put("/backends/:id", s.beat)
	s.app.Delete("/backends/:id", s.leave)
	s.app.Get("/status", func(c fiber.Ctx) error { return c.JSON(cfg.Status()) })
	s.app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(cfg.Metrics, promhttp.HandlerOpts{})))
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops accepting and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.app.ShutdownWithContext(ctx)
	return errors.CombineErrors(err, s.ready.ShutdownWithContext(ctx))
}

// ServeReady tells whether the node takes callers, until Shutdown.
func (s *Server) ServeReady(ln net.Listener) error {
	return s.ready.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
}

func (s *Server) isReady(c fiber.Ctx) error {
	if !s.cfg.Ready() {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.SendStatus(fiber.StatusOK)
}

func (s *Server) announce(c fiber.Ctx) error {
	a, err := settings.Parse[backend.Announcement](c.Body())
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error() + "\n")
	}
	if a.Zone != "" && a.Zone != s.cfg.Zone {
		return c.Status(fiber.StatusBadRequest).SendString("field zone: this node is in zone " + s.cfg.Zone + "\n")
	}
	s.cfg.OnAnnounce(a)
	return c.SendStatus(fiber.StatusNoContent)
}
