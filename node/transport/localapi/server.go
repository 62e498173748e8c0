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

// Server serves the local API on one listener and the readiness check on another.
type Server struct {
	cfg      Config
	app      *fiber.App
	readyApp *fiber.App
}

// Config holds the callbacks and timeouts of a Server.
type Config struct {
	Zone       string                     // of the node; announcements and heartbeats that name another one are rejected
	OnAnnounce func(backend.Announcement) // receives valid announcements
	// OnHeartbeat receives valid heartbeats, OnDeregister the instance IDs of DELETE /backends/ID. After an error the call is
	// not acknowledged, and the back end repeats it.
	OnHeartbeat  func(context.Context, instance.Heartbeat) error
	OnDeregister func(ctx context.Context, id string) error
	Ready        func() bool         // reports whether the node accepts callers
	Status       func() any          // returns the body of GET /status, encoded as JSON
	Metrics      prometheus.Gatherer // source of GET /metrics
	ReadTimeout  time.Duration       // for receiving a whole request
	IdleTimeout  time.Duration       // after which an unused connection is closed
}

// maxBodyBytes limits a request body.
const maxBodyBytes = 16 << 10

// New returns a Server; Serve and ServeReady start its listeners.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, app: fiber.New(fiber.Config{
		ReadTimeout: cfg.ReadTimeout,
		IdleTimeout: cfg.IdleTimeout,
		BodyLimit:   maxBodyBytes,
	})}
	s.readyApp = fiber.New(fiber.Config{ReadTimeout: cfg.ReadTimeout, IdleTimeout: cfg.IdleTimeout, BodyLimit: maxBodyBytes})
	s.readyApp.Get("/ready", s.handleReady)
	s.app.Post("/announce", s.handleAnnounce)
	s.app.Put("/backends/:id", s.handleHeartbeat)
	s.app.Delete("/backends/:id", s.handleDeregister)
	s.app.Get("/status", func(c fiber.Ctx) error { return c.JSON(cfg.Status()) })
	s.app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(cfg.Metrics, promhttp.HandlerOpts{})))
	return s
}

// Serve serves the local API on ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown closes both listeners and waits for the requests in flight or the end of ctx; errors of both are combined.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.app.ShutdownWithContext(ctx)
	return errors.CombineErrors(err, s.readyApp.ShutdownWithContext(ctx))
}

// ServeReady serves GET /ready on ln until Shutdown: 200 if the node accepts callers, else 503.
func (s *Server) ServeReady(ln net.Listener) error {
	return s.readyApp.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
}

func (s *Server) handleReady(c fiber.Ctx) error {
	if !s.cfg.Ready() {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.SendStatus(fiber.StatusOK)
}

func (s *Server) handleAnnounce(c fiber.Ctx) error {
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
