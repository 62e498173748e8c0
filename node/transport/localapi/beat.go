package localapi

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/gofiber/fiber/v3"

	"pollenhill.example/node/coordination/instance"
)

// beat is the body of PUT /backends/ID; fields that it does not list are ignored.
type beat struct {
	Service  string         `json:"service"`
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	Slots    int            `json:"slots"`
	State    string         `json:"state"`
	Warming  float64        `json:"warming"` // milliseconds that the instance stays cold
	Sequence uint64         `json:"sequence"`
	Born     int64          `json:"born"` // Unix milliseconds of its start, 0 if it does not say
}

// States of a beat.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

func (s *Server) beat(c fiber.Ctx) error {
	var b beat
	if err := json.Unmarshal(c.Body(), &b); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error() + "\n")
	}
	if problem := b.problem(s.cfg.Zone); problem != "" {
		return c.Status(fiber.StatusBadRequest).SendString(problem + "\n")
	}
	s.cfg.OnHeartbeat(instance.Heartbeat{
		ID:          c.Params("id"),
		StartMillis: b.Born,
		Sequence:    b.Sequence,
		Service:     b.Service,
		Address:     b.Address,
		Slots:       b.Slots,
		Draining:    b.State == stateDraining,
		ColdStart:   time.Duration(b.Warming * float64(time.Millisecond)),
	})
	return c.JSON(struct{}{})
}

// problem says why a beat names no back end to use, or "".
func (b beat) problem(zone string) string {
	switch {
	case b.Service == "":
		return "field service: missing"
	case !b.Address.IsValid():
		return "field address: missing"
	case b.Zone != "" && b.Zone != zone:
		return "field zone: this node is in zone " + zone
	case b.Slots <= 0:
		return "field slots: want a number above 0"
	case b.State != stateReady && b.State != stateDraining:
		return "field state: want ready or draining"
	case b.Warming < 0:
		return "field warming: want a number from 0"
	}
	return ""
}

func (s *Server) leave(c fiber.Ctx) error {
	s.cfg.OnDeregister(c.Params("id"))
	return c.JSON(struct{}{})
}
