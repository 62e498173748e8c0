package localapi

import (
	"cmp"
	"encoding/json"
	"fmt"
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
	Version         string         `json:"version"`
	Slots           int            `json:"slots"`
	State           string         `json:"state"`
	ColdStartMillis *float64       `json:"warming"` // duration of the cold start, 0 for none
	Sequence        *uint64        `json:"sequence"`
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
	id := strings.Clone(c.Params("id")) // fiber reuses the memory of parameters
	if problem := cmp.Or(validateID(id), h.validate(s.cfg.Zone, time.Now())); problem != "" {
		return c.Status(fiber.StatusBadRequest).SendString(problem + "\n")
	}
	err := s.cfg.OnHeartbeat(c.Context(), instance.Heartbeat{
		ID:          id,
		StartMillis: h.StartMillis,
		Sequence:    *h.Sequence,
		Service:     h.Service,
		Version:     h.Version,
		Address:     h.Address,
		Slots:       h.Slots,
		Draining:    h.State == stateDraining,
		ColdStart:   time.Duration(*h.ColdStartMillis * float64(time.Millisecond)),
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

// validateID returns what is wrong with the ID of an instance, or "" for a valid one.
func validateID(id string) string {
	if !instance.ValidID(id) {
		return fmt.Sprintf("id: want 1 to %d visible ASCII characters", instance.MaxIDLength)
	}
	return ""
}

// validate returns the first invalid field and what is wrong with it, or "" for a valid heartbeat; zone is that of the node.
// Back ends send all fields; a heartbeat that lacks one comes from another writer and would hide what they say of themselves.
func (h heartbeat) validate(zone string, now time.Time) string {
	switch {
	case h.Service == "":
		return "field service: missing"
	case !h.Address.IsValid():
		return "field address: missing"
	case h.Zone == "":
		return "field zone: missing"
	case h.Zone != zone:
		return "field zone: this node is in zone " + zone
	case h.Version == "":
		return "field version: missing"
	case len(h.Version) > instance.MaxVersionLength:
		return fmt.Sprintf("field version: want at most %d bytes", instance.MaxVersionLength)
	case h.Slots <= 0:
		return "field slots: want a number above 0"
	case h.Slots > instance.MaxSlots:
		return fmt.Sprintf("field slots: want at most %d", instance.MaxSlots)
	case h.State != stateReady && h.State != stateDraining:
		return "field state: want ready or draining"
	case h.Sequence == nil:
		return "field sequence: missing"
	case h.ColdStartMillis == nil:
		return "field warming: missing"
	case *h.ColdStartMillis < 0:
		return "field warming: want a number from 0"
	case *h.ColdStartMillis > float64(instance.MaxColdStart.Milliseconds()):
		return fmt.Sprintf("field warming: want at most %d", instance.MaxColdStart.Milliseconds())
	case h.StartMillis < 0 || h.StartMillis > now.Add(instance.MaxClockLead).UnixMilli():
		return "field born: want a Unix time in milliseconds that has passed"
	}
	return ""
}

func (s *Server) handleDeregister(c fiber.Ctx) error {
	id := strings.Clone(c.Params("id"))
	if problem := validateID(id); problem != "" {
		return c.Status(fiber.StatusBadRequest).SendString(problem + "\n")
	}
	return acknowledge(c, s.cfg.OnDeregister(c.Context(), id))
}
