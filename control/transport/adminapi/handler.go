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

	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/routingtable"
	"pollenhill.example/core/state/rule"
)

// Times and bounds of a call.
const (
	maxBody  = 8 << 20                 // bytes of a table; the rule text that it becomes may have rule.MaxSize
	patience = 1500 * time.Millisecond // for a verdict; the caller repeats the call elsewhere after about a second
	readWait = 900 * time.Millisecond  // for the proof that a table is the newest
)

// Group is the part of the consensus group that changes need.
type Group interface {
	Propose(ctx context.Context, cmd replica.Command) (replica.Result, error)
	Barrier(ctx context.Context) error
	ReadReplica(f func(*replica.Replica))
}

// Handler serves the change interface.
type Handler struct {
	Group  Group
	Origin string // name of this control process

	mu       sync.Mutex
	revision uint64 // of the cached body
	body     []byte
}

// Register adds the calls to a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /table", h.read)
	mux.HandleFunc("PUT /table", func(w http.ResponseWriter, r *http.Request) { h.edit(w, r, false) })
	mux.HandleFunc("PATCH /table", func(w http.ResponseWriter, r *http.Request) { h.edit(w, r, true) })
	mux.HandleFunc("PUT /zones/{zone}/out", func(w http.ResponseWriter, r *http.Request) { h.zone(w, r, true) })
	mux.HandleFunc("DELETE /zones/{zone}/out", func(w http.ResponseWriter, r *http.Request) { h.zone(w, r, false) })
}

// problem is the body of an answer that is not 200.
type problem struct {
	Error   string `json:"error"`
	Version uint64 `json:"version,omitempty"` // that is current, with 412
}

func (h *Handler) edit(w http.ResponseWriter, r *http.Request, patch bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		answer(w, http.StatusRequestEntityTooLarge, problem{Error: err.Error()})
		return
	}
	if err != nil || !json.Valid(body) {
		answer(w, http.StatusBadRequest, problem{Error: "the body is not JSON that could be read in full"})
		return
	}
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		answer(w, http.StatusBadRequest, problem{Error: "If-Match: want the version that the change builds on"})
		return
	}
	h.propose(w, r, replica.Command{Kind: replica.CommandChangeTable, BaseVersion: base, IsPatch: patch, Text: string(body)})
}

func (h *Handler) zone(w http.ResponseWriter, r *http.Request, out bool) {
	h.propose(w, r, replica.Command{Kind: replica.CommandSetZoneEvacuated, Zone: r.PathValue("zone"), Evacuated: out})
}

// propose answers with the verdict of the group. Without one the outcome is unknown, and the caller may repeat the call.
func (h *Handler) propose(w http.ResponseWriter, r *http.Request, cmd replica.Command) {
	ctx, cancel := context.WithTimeout(r.Context(), patience)
	defer cancel()
	cmd.ProposedAt = time.Now()
	cmd.Origin = h.Origin
	res, err := h.Group.Propose(ctx, cmd)
	if err != nil {
		answer(w, http.StatusServiceUnavailable, problem{Error: "no verdict: " + err.Error()})
		return
	}
	switch res.Verdict {
	case replica.VerdictAccepted, replica.VerdictStored:
		answer(w, http.StatusOK, struct{}{})
	case replica.VerdictStale:
		answer(w, http.StatusPreconditionFailed, problem{Error: "another version is current", Version: res.Expected})
	default:
		answer(w, http.StatusBadRequest, problem{Error: res.Problem})
	}
}

// read answers with the newest table, or 503 while this process cannot know which one that is.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readWait)
	defer cancel()
	if err := h.Group.Barrier(ctx); err != nil {
		answer(w, http.StatusServiceUnavailable, problem{Error: "the newest table is not known: " + err.Error()})
		return
	}
	body, err := h.newest()
	if err != nil {
		answer(w, http.StatusInternalServerError, problem{Error: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // a caller that left needs no answer
}

// newest returns the table of this process, encoded once per revision.
func (h *Handler) newest() ([]byte, error) {
	var t routingtable.Table
	var rules replica.Rules
	h.Group.ReadReplica(func(s *replica.Replica) {
		rules = s.Rules()
		t = s.RoutingTable()
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.body != nil && h.revision == rules.Revision {
		return h.body, nil
	}
	body, err := json.Marshal(t)
	if err != nil {
		return nil, errors.Wrapf(err, "encode table of %d bytes of rules", min(len(rules.Text), rule.MaxFileSize))
	}
	h.revision, h.body = rules.Revision, body
	return body, nil
}

func answer[T any](w http.ResponseWriter, status int, body T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that left needs no answer
}
