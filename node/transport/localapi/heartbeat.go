package localapi

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"pollenhill.example/core/state/jsonerror"
	"pollenhill.example/node/coordination/instance"
)

// heartbeat is the body of PUT /backends/ID; unknown fields are ignored.
type heartbeat struct {
	Service         string         `json:"service"`
	Address         netip.AddrPort `json:"address"`
	Zone            string         `json:"zone"`
	Slots           int            `json:"slots"`
	State           string         `json:"state"`
	ColdStartMillis float64        `json:"warming"` // duration of the cold start, 0 for none
	Sequence        uint64         `json:"sequence"`
	StartMillis     int64          `json:"born"` // Unix time of the start of the instance, 0 if unknown
}

// Values of heartbeat.State.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

func (s *Server) handleHeartbeat(c fiber.Ctx) error {
	var h heartbeat
	if err := json.Unmarshal(c.Body(), &h); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(jsonerror.WithTypeNames(err, typeNames).Error() + "\n")
	}
	if problem := h.validate(s.cfg.Zone); problem != "" {
		return c.Status(fiber.StatusBadRequest).SendString(problem + "\n")
	}
	err := s.cfg.OnHeartbeat(c.Context(), instance.Heartbeat{
		ID:          c.Params("id"),
		StartMillis: h.StartMillis,
		Sequence:    h.Sequence,
		Service:     h.Service,
		Address:     h.Address,
		Slots:       h.Slots,
		Draining:    h.State == stateDraining,
		ColdStart:   time.Duration(h.ColdStartMillis * float64(time.Millisecond)),
	})
	return acknowledge(c, err)
}

// acknowledge responds with an empty object, or with 503 if the call could not be carried out and may be repeated.
func acknowledge(c fiber.Ctx, err error) error {
	if err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.JSON(struct{}{})
}

// typeNames maps the name of the Go type in decoding errors to the one that back ends know.
var typeNames = strings.NewReplacer("localapi.heartbeat", "local.beat", "struct field heartbeat.", "struct field beat.")

// validate returns the first invalid field and what is wrong with it, or "" for a valid heartbeat; zone is that of the node.
func (h heartbeat) validate(zone string) string {
	switch {
	case h.Service == "":
		return "field service: missing"
	case !h.Address.IsValid():
		return "field address: missing"
	case h.Zone != "" && h.Zone != zone:
		return "field zone: this node is in zone " + zone
	case h.Slots <= 0:
		return "field slots: want a number above 0"
	case h.State != stateReady && h.State != stateDraining:
		return "field state: want ready or draining"
	case h.ColdStartMillis < 0:
		return "field warming: want a number from 0"
	}
	return ""
}

func (s *Server) handleDeregister(c fiber.Ctx) error {
	return acknowledge(c, s.cfg.OnDeregister(c.Context(), c.Params("id")))
}
