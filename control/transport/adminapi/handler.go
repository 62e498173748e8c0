package adminapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/routingtable"
	"pollenhill.example/core/state/rule"
)

// Limits of a call.
const (
	maxTableBytes  = 8 << 20                 // the rule text made from a table is limited by rule.MaxFileSize
	proposeTimeout = 1500 * time.Millisecond // for a verdict; callers repeat the call elsewhere after about a second
	barrierTimeout = 900 * time.Millisecond  // for the proof that the local table is the newest
)

// Group is the part of raftgroup.Group that the Handler uses.
type Group interface {
	Propose(ctx context.Context, cmd replica.Command) (replica.Result, error)
	Barrier(ctx context.Context) error
	ReadReplica(f func(*replica.Replica))
}

// Pauses knows when this process did not run; *pause.Detector implements it.
type Pauses interface {
	ResumedWithin(period time.Duration) bool
}

// Handler serves the admin API.
type Handler struct {
	Group  Group
	Origin string     // name of this control process, recorded with each change
	Events *event.Log // nil: orders are not logged
	// Versions returns the versions of the serving back ends of a service as far as this process knows; nil: none are known.
	Versions func(ctx context.Context, service string) []string
	Pauses   Pauses // nil: requests that waited while this process was stopped are found by their connections only

	mu             sync.Mutex
	cachedRevision uint64 // of cachedTable
	cachedTable    []byte // JSON
}

// Register adds the paths of the admin API to mux.
func (h *Handler) Register(mux *http.ServeMux) {
	for pattern, handle := range map[string]http.HandlerFunc{
		"GET /table":               h.readTable,
		"PUT /table":               func(w http.ResponseWriter, r *http.Request) { h.editTable(w, r, false) },
		"PATCH /table":             func(w http.ResponseWriter, r *http.Request) { h.editTable(w, r, true) },
		"PUT /zones/{zone}/out":    func(w http.ResponseWriter, r *http.Request) { h.setZone(w, r, true) },
		"DELETE /zones/{zone}/out": func(w http.ResponseWriter, r *http.Request) { h.setZone(w, r, false) },
		"POST /rollouts":           h.orderRollout,
		"GET /rollouts/{service}":  h.readRollout,
	} {
		mux.HandleFunc(pattern, markUsed(handle))
	}
}

// errorBody is the body of a response with a status other than 200.
type errorBody struct {
	Error   string `json:"error"`
	Version uint64 `json:"version,omitempty"` // current version, with status 412
}

// editTable proposes the body as a new table or, with patch, as changes to the table; If-Match holds the version that it
// is based on.
func (h *Handler) editTable(w http.ResponseWriter, r *http.Request, patch bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTableBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		writeJSON(w, http.StatusRequestEntityTooLarge, errorBody{Error: err.Error()})
		return
	}
	if err != nil || !json.Valid(body) {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: "the body is not JSON that could be read in full"})
		return
	}
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: "If-Match: want the version that the change builds on"})
		return
	}
	h.propose(w, r, replica.Command{
		Kind: replica.CommandChangeTable, BaseVersion: base, IsPatch: patch, RoundTimes: true, Text: string(body),
	})
}

// setZone proposes to take the zone out of service or, if out is false, to use it again. The order is bound to the newest one
// about the zone that is known while its caller still waits, so that it has no effect if it is held up from then on.
func (h *Handler) setZone(w http.ResponseWriter, r *http.Request, out bool) {
	arrived := time.Now().Add(-h.age(r))
	cmd := replica.Command{Kind: replica.CommandSetZoneEvacuated, Zone: r.PathValue("zone"), Evacuated: out, Conditional: true}
	var err error
	cmd.KnownOrder, err = h.newestOrder(r.Context(), func(s *replica.Replica) uint64 { return s.ZoneOrder(cmd.Zone) })
	res, err := h.commitOrder(r, arrived, cmd, err)
	h.logOrder(cmd, time.Since(arrived), res, err)
	respond(w, res, err)
}

// commitOrder commits an order whose KnownOrder is set, unless its caller may have given it up; err is that of newestOrder.
func (h *Handler) commitOrder(r *http.Request, arrived time.Time, cmd replica.Command, err error) (replica.Result, error) {
	if err == nil && (callerGone(r) || time.Since(arrived) > maxOrderAge) {
		err = errHeldUp
	}
	if err != nil {
		return replica.Result{}, err
	}
	res, err := h.commit(r.Context(), cmd)
	if err == nil && res.Verdict == replica.VerdictStale {
		err = errOvertaken
	}
	return res, err
}

// Reasons why an order was not carried out.
var (
	errHeldUp    = errors.New("the call was held up, and its caller may have given it up")
	errOvertaken = errors.New("a newer order about the same was carried out")
)

func (h *Handler) logOrder(cmd replica.Command, took time.Duration, res replica.Result, err error) {
	if h.Events == nil {
		return
	}
	fields := []zap.Field{
		zap.String("zone", cmd.Zone), zap.Bool("out", cmd.Evacuated), zap.Duration("age", took), zap.Uint64("known", cmd.KnownOrder),
	}
	if err != nil {
		fields = append(fields, zap.String("error", err.Error()))
	} else {
		fields = append(fields, zap.Stringer("verdict", res.Verdict), zap.Uint64("index", res.Index))
	}
	h.Events.Emit(event.ZoneOrderHandled, fields...)
}

// newestOrder returns the newest order that was carried out before the call, which read takes from the replica.
func (h *Handler) newestOrder(ctx context.Context, read func(*replica.Replica) uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if err := h.Group.Barrier(ctx); err != nil {
		return 0, err
	}
	var newest uint64
	h.Group.ReadReplica(func(s *replica.Replica) { newest = read(s) })
	return newest, nil
}

// propose commits the command and responds with the verdict of the group.
func (h *Handler) propose(w http.ResponseWriter, r *http.Request, cmd replica.Command) {
	res, err := h.commit(r.Context(), cmd)
	respond(w, res, err)
}

// commit returns the verdict of the group. After an error the command may still be committed.
func (h *Handler) commit(ctx context.Context, cmd replica.Command) (replica.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	cmd.ProposedAt = time.Now()
	cmd.Origin = h.Origin
	return h.Group.Propose(ctx, cmd)
}

// respond sends a verdict; 503 means that there is none, that the command may still be committed and that the caller may repeat
// the call.
func respond(w http.ResponseWriter, res replica.Result, err error) {
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: "no verdict: " + err.Error()})
		return
	}
	switch res.Verdict {
	case replica.VerdictAccepted, replica.VerdictStored:
		writeJSON(w, http.StatusOK, struct{}{})
	case replica.VerdictStale:
		writeJSON(w, http.StatusPreconditionFailed, errorBody{Error: "another version is current", Version: res.Expected})
	default:
		writeJSON(w, http.StatusBadRequest, errorBody{Error: res.Problem})
	}
}

// readTable responds with the newest table, or with 503 if this process cannot confirm that its table is the newest.
func (h *Handler) readTable(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), barrierTimeout)
	defer cancel()
	if err := h.Group.Barrier(ctx); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: "the newest table is not known: " + err.Error()})
		return
	}
	body, err := h.encodedTable()
	if err != nil {
		writeJSON(w, http.StatusInternalServerError, errorBody{Error: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // fails only if the caller has gone
}

// encodedTable returns the local table as JSON, which it encodes once per revision.
func (h *Handler) encodedTable() ([]byte, error) {
	var t routingtable.Table
	var rules replica.Rules
	h.Group.ReadReplica(func(s *replica.Replica) {
		rules = s.Rules()
		t = s.RoutingTable()
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cachedTable != nil && h.cachedRevision == rules.Revision {
		return h.cachedTable, nil
	}
	body, err := json.Marshal(t)
	if err != nil {
		return nil, errors.Wrapf(err, "encode table of %d bytes of rules", min(len(rules.Text), rule.MaxFileSize))
	}
	h.cachedRevision, h.cachedTable = rules.Revision, body
	return body, nil
}

func writeJSON[T any](w http.ResponseWriter, status int, body T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}
