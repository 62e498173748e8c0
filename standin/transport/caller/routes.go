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
	maxDownloadBytes = 1 << 30
	patternBytes     = 1 << 16
)

// downloadPattern is repeated in the body of every download, so that callers can verify the content.
var downloadPattern = func() []byte {
	b := make([]byte, patternBytes)
	for i := range b {
		b[i] = byte(i * 7)
	}
	return b
}()

// ReservationReply is the body of the response to a lookup or reservation.
type ReservationReply struct {
	ID      string `json:"id"`
	Backend string `json:"backend"`
	Run     int    `json:"run"` // number of runs of this reservation at this back end, 0 for a lookup
}

func (s *Server) handleLookup(c fiber.Ctx) error {
	return s.handleLookupOrReservation(c, false)
}

func (s *Server) handleReserve(c fiber.Ctx) error {
	return s.handleLookupOrReservation(c, true)
}

// handleLookupOrReservation runs a lookup or a reservation and answers with a ReservationReply.
func (s *Server) handleLookupOrReservation(c fiber.Ctx, isReservation bool) error {
	// Cloned because the ID is kept as a map key and fiber reuses the memory of c.Params after the request.
	reply := ReservationReply{ID: strings.Clone(c.Params("id")), Backend: s.cfg.Name}
	err := s.runRequest(c, func() {
		if isReservation {
			s.reservationRuns[reply.ID]++
			reply.Run = s.reservationRuns[reply.ID]
		}
	})
	if err != nil || c.Response().StatusCode() != fiber.StatusOK {
		return err
	}
	return c.JSON(reply)
}

func (s *Server) handleDownload(c fiber.Ctx) error {
	size, err := strconv.Atoi(c.Params("size"))
	if err != nil || size < 0 || size > maxDownloadBytes {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	if err := s.runRequest(c, func() {}); err != nil || c.Response().StatusCode() != fiber.StatusOK {
		return err
	}
	s.mu.Lock()
	truncate := rand.Float64() < s.faults.TruncateRatio
	s.mu.Unlock()
	body := DownloadContent(size)
	if truncate {
		body = io.MultiReader(io.LimitReader(body, int64(size/2)), failingReader{})
	}
	c.Response().SetBodyStream(body, size)
	return nil
}

// DownloadContent returns the body of a download of size bytes.
func DownloadContent(size int) io.Reader {
	return io.LimitReader(&patternReader{}, int64(size))
}

// patternReader yields downloadPattern again and again, without end.
type patternReader struct{ remaining bytes.Reader }

func (r *patternReader) Read(p []byte) (int, error) {
	if r.remaining.Len() == 0 {
		r.remaining.Reset(downloadPattern)
	}
	return r.remaining.Read(p)
}

// failingReader fails every read. At the end of a response body this makes the server close the connection.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errTruncated }

// LoadReport is the body of GET /load.
type LoadReport struct {
	Inflight int     `json:"inflight"`
	Slots    int     `json:"slots"`
	Busy     float64 `json:"busy"` // share of slots in use; above 1 under overload
	Cold     bool    `json:"cold"` // in cold start
}

func (s *Server) handleHealth(c fiber.Ctx) error {
	s.spendProbeTime()
	return c.SendStatus(fiber.StatusOK)
}

func (s *Server) handleLoad(c fiber.Ctx) error {
	s.spendProbeTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	report := LoadReport{Slots: s.cfg.Capacity.Slots}
	if !s.faults.FalseLoadReports {
		report.Inflight = s.capacity.Inflight()
		report.Busy = float64(report.Inflight) / float64(report.Slots)
		report.Cold = s.capacity.InColdStart()
	}
	return c.JSON(report)
}

// spendProbeTime takes the time that a health or load check costs a real back end.
func (s *Server) spendProbeTime() {
	time.Sleep(s.cfg.ProbeTime)
	s.mu.Lock()
	s.probeTime += s.cfg.ProbeTime
	s.mu.Unlock()
}
