package adminapi

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/rule"
)

// Limits of an order for a rollout.
const (
	maxRolloutBytes  = 64 << 10
	maxVersionLength = 256 // in bytes, also of the name of a service
	maxRolloutPeriod = 24 * time.Hour
)

// rolloutOrder is the body of POST /rollouts; unknown fields are ignored.
type rolloutOrder struct {
	Service string  `json:"service"`
	Target  string  `json:"target"` // version that the service moves to
	Within  float64 `json:"within"` // for the whole move, in seconds
}

// rolloutBody is the response to GET /rollouts/SERVICE.
type rolloutBody struct {
	State  string `json:"state"`
	Target string `json:"target"`
}

func (o rolloutOrder) problem() string {
	switch {
	case o.Service == "" || len(o.Service) > maxVersionLength:
		return "field service: missing or too long"
	case o.Target == "" || len(o.Target) > maxVersionLength:
		return "field target: missing or too long"
	case !(o.Within > 0) || o.Within > maxRolloutPeriod.Seconds():
		return "field within: want seconds above 0, at most a day"
	}
	return ""
}

// orderRollout proposes to move a service to another version. Like an order about a zone it has no effect if it is held up.
func (h *Handler) orderRollout(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now().Add(-h.age(r))
	var o rolloutOrder
	problem := "the body is not JSON that could be read in full"
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRolloutBytes)).Decode(&o); err == nil {
		problem = o.problem()
	}
	if problem != "" {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: problem})
		return
	}
	cmd := replica.Command{
		Kind: replica.CommandOrderRollout, Service: o.Service, Target: o.Target,
		Within: time.Duration(o.Within * float64(time.Second)).Round(time.Millisecond), Conditional: true,
	}
	if h.Versions != nil && slices.Equal(h.Versions(r.Context(), o.Service), []string{o.Target}) {
		cmd.State = rule.RolloutCompleted // nothing else runs
	}
	var err error
	cmd.KnownOrder, err = h.newestOrder(r.Context(), func(s *replica.Replica) uint64 { return s.RolloutOrder(o.Service) })
	res, err := h.commitOrder(r, arrived, cmd, err)
	h.logRolloutOrder(cmd, time.Since(arrived), res, err)
	respond(w, res, err)
}

func (h *Handler) logRolloutOrder(cmd replica.Command, took time.Duration, res replica.Result, err error) {
	if h.Events == nil {
		return
	}
	fields := []zap.Field{
		zap.String("service", cmd.Service), zap.String("target", cmd.Target), zap.Duration("within", cmd.Within),
		zap.Duration("age", took), zap.Uint64("known", cmd.KnownOrder), zap.Stringer("verdict", res.Verdict), zap.Uint64("index", res.Index),
	}
	h.Events.Emit(event.RolloutOrdered, append(fields, zap.Error(err))...)
}

// readRollout responds with the state of the newest rollout of a service, or with 503 if this process cannot confirm that.
func (h *Handler) readRollout(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	var current rule.Rollout
	var found bool
	_, err := h.newestOrder(r.Context(), func(s *replica.Replica) uint64 {
		current, found = s.Rollout(service)
		return 0
	})
	switch {
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: "the newest state is not known: " + err.Error()})
	case !found:
		writeJSON(w, http.StatusNotFound, errorBody{Error: "no rollout of this service was ordered"})
	default:
		writeJSON(w, http.StatusOK, rolloutBody{State: current.State.String(), Target: current.Target})
	}
}
