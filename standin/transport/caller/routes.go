package caller

import (
	"bytes"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
)

const (
	maxDownload = 1 << 30 // bytes
	patternSize = 1 << 16 // bytes
)

// pattern is the repeating content of every download, so that callers can check it.
var pattern = func() []byte {
	b := make([]byte, patternSize)
	for i := range b {
		b[i] = byte(i * 7)
	}
	return b
}()

// ReservationReply is the body of a lookup or reservation.
type ReservationReply struct {
	ID      string `json:"id"`
	Backend string `json:"backend"`
	Run     int    `json:"run"` // how often this reservation has run here, 0 for a lookup
}

func (s *Server) lookup(c fiber.Ctx) error {
	return s.reply(c, false)
}

func (s *Server) reserve(c fiber.Ctx) error {
	return s.reply(c, true)
}

func (s *Server) reply(c fiber.Ctx, reserve bool) error {
	// fiber reuses the memory of c.Params after the request; the ID is kept as a map key.
	r := ReservationReply{ID: strings.Clone(c.Params("id")), Backend: s.cfg.Name}
	err := s.run(c, func() {
		if reserve {
			s.runs[r.ID]++
			r.Run = s.runs[r.ID]
		}
	})
	if err != nil || c.Response().StatusCode() != fiber.StatusOK {
		return err
	}
	return c.JSON(r)
}

func (s *Server) download(c fiber.Ctx) error {
	size, err := strconv.Atoi(c.Params("size"))
	if err != nil || size < 0 || size > maxDownload {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	if err := s.run(c, func() {}); err != nil || c.Response().StatusCode() != fiber.StatusOK {
		return err
	}
	s.mu.Lock()
	cut := rand.Float64() < s.faults.TruncateRatio
	s.mu.Unlock()
	body := DownloadContent(size)
	if cut {
		body = io.MultiReader(io.LimitReader(body, int64(size/2)), failing{})
	}
	c.Response().SetBodyStream(body, size)
	return nil
}

// DownloadContent returns the bytes of a download of the given size.
func DownloadContent(size int) io.Reader {
	return io.LimitReader(&repeat{}, int64(size))
}

// repeat yields the pattern without end.
type repeat struct{ rest bytes.Reader }

func (r *repeat) Read(p []byte) (int, error) {
	if r.rest.Len() == 0 {
		r.rest.Reset(pattern)
	}
	return r.rest.Read(p)
}

// failing ends a body stream with an error, which makes the server close the connection.
type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errReset }

// LoadReport is the body of GET /load.
type LoadReport struct {
	Inflight int     `json:"inflight"`
	Slots    int     `json:"slots"`
	Busy     float64 `json:"busy"` // share of slots in use
	Cold     bool    `json:"cold"`
}

func (s *Server) health(c fiber.Ctx) error {
	s.probe()
	return c.SendStatus(fiber.StatusOK)
}

func (s *Server) load(c fiber.Ctx) error {
	s.probe()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := LoadReport{Slots: s.cfg.Capacity.Slots}
	if !s.faults.FalseLoadReports {
		l.Inflight = s.work.Inflight()
		l.Busy = float64(l.Inflight) / float64(l.Slots)
		l.Cold = s.work.InColdStart()
	}
	return c.JSON(l)
}

// probe spends the time that measuring costs a real back end.
func (s *Server) probe() {
	time.Sleep(s.cfg.ProbeTime)
	s.mu.Lock()
	s.probing += s.cfg.ProbeTime
	s.mu.Unlock()
}
