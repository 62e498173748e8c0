package message

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// Attempt is what the headers of a node-to-node attempt say.
type Attempt struct {
	ID          attempt.ID
	Incarnation uint64 // of the destination node addressed
	Deadline    time.Time
	Depth       int
	Revision    uint64
	Priority    rule.Priority
	Service     string
	Route       string        // empty for a request that a service line led here
	Rerun       bool          // an earlier attempt of the same request may run or have run
	Objective   time.Duration // left until an answer is not of full use any more; 0 if that is not known
	Movable     bool          // the entry node knows a faster back end with room
}

// Write sets the headers of a on h; now turns the deadline into remaining milliseconds.
func (a Attempt) Write(h *fasthttp.RequestHeader, now time.Time) {
	h.Set(attempt.HeaderAttempt, a.ID.String())
	h.Set(attempt.HeaderIncarnation, strconv.FormatUint(a.Incarnation, 10))
	h.Set(attempt.HeaderDeadline, DeadlineValue(a.Deadline, now))
	h.Set(attempt.HeaderDepth, strconv.Itoa(a.Depth))
	h.Set(attempt.HeaderRevision, strconv.FormatUint(a.Revision, 10))
	h.Set(attempt.HeaderPriority, a.Priority.String())
	h.Set(attempt.HeaderService, a.Service)
	if a.Rerun {
		h.Set(attempt.HeaderRerun, present)
	}
	if a.Movable {
		h.Set(attempt.HeaderMovable, present)
	}
	if a.Route != "" {
		h.Set(attempt.HeaderRoute, a.Route)
		h.Set(attempt.HeaderAim, strconv.FormatInt(a.Objective.Milliseconds(), 10))
	}
}

// ReadAttempt reads the headers that Write set.
func ReadAttempt(h *fasthttp.RequestHeader, now time.Time) (Attempt, error) {
	var a Attempt
	var err error
	if a.ID, err = attempt.Parse(string(h.Peek(attempt.HeaderAttempt))); err != nil {
		return a, err
	}
	if a.Incarnation, err = number(h, attempt.HeaderIncarnation); err != nil {
		return a, err
	}
	if a.Revision, err = number(h, attempt.HeaderRevision); err != nil {
		return a, err
	}
	remaining, err := number(h, attempt.HeaderDeadline)
	if err != nil {
		return a, err
	}
	depth, err := number(h, attempt.HeaderDepth)
	if err != nil {
		return a, err
	}
	a.Depth = int(min(depth, attempt.MaxDepth+1))
	a.Deadline = now.Add(time.Duration(min(remaining, maxDeadline)) * time.Millisecond)
	a.Priority = level(string(h.Peek(attempt.HeaderPriority)))
	a.Service = string(h.Peek(attempt.HeaderService))
	a.Rerun = len(h.Peek(attempt.HeaderRerun)) > 0
	a.Movable = len(h.Peek(attempt.HeaderMovable)) > 0
	a.Route = string(h.Peek(attempt.HeaderRoute))
	if a.Route != "" {
		aim, err := strconv.ParseInt(string(h.Peek(attempt.HeaderAim)), 10, 64)
		if err != nil {
			return a, errors.Wrapf(err, "read header %s", attempt.HeaderAim)
		}
		a.Objective = time.Duration(aim) * time.Millisecond
	}
	return a, nil
}

// maxDeadline is the longest deadline that nodes pass on, in milliseconds: one day.
const maxDeadline = 24 * 60 * 60 * 1000

func number(h *fasthttp.RequestHeader, name string) (uint64, error) {
	n, err := strconv.ParseUint(string(h.Peek(name)), 10, 64)
	return n, errors.Wrapf(err, "read header %s", name)
}

func level(name string) rule.Priority {
	for _, l := range []rule.Priority{rule.PriorityLow, rule.PriorityHigh} {
		if l.String() == name {
			return l
		}
	}
	return rule.PriorityNormal
}

// present is the value of headers that are absent otherwise.
const present = "1"

// DeadlineValue returns the value of HeaderDeadline at the time now.
func DeadlineValue(deadline, now time.Time) string {
	return strconv.FormatInt(max(0, deadline.Sub(now).Milliseconds()), 10)
}

// ReadOutcome fills in the outcome of a reply from its headers; depth is that of the attempt.
// A refusal without a level was made by the back end itself.
func ReadOutcome(r *Reply, depth int) {
	r.Outcome = attempt.Answered
	value := string(r.Header.Peek(attempt.HeaderOutcome))
	if value == "" || value == attempt.Answered.String() || r.Header.StatusCode() < errorStatus {
		return
	}
	r.Refusal = refusal.Refusal{Reason: refusal.Shed, Level: depth}
	if f, ok := refusal.ParseStatus(string(r.Header.Peek(refusal.HeaderStatus))); ok {
		r.Refusal = f
	}
	r.Outcome = attempt.Unknown
	if value == attempt.NotRun.String() {
		r.Outcome = attempt.NotRun
	}
	r.Refusal.Outcome = r.Outcome
	if seconds, err := strconv.ParseFloat(string(r.Header.Peek(refusal.HeaderRetry)), 64); err == nil && seconds > 0 {
		r.Refusal.After = time.Duration(min(seconds, longestRetry.Seconds()) * float64(time.Second))
	}
}

// errorStatus is the lowest status code of a refusal.
const errorStatus = 400

// longestRetry bounds the wait that a refusal suggests.
const longestRetry = time.Minute

// ReadHint returns the hint of a response, or nil.
func ReadHint(h *fasthttp.ResponseHeader) *hint.Hint {
	value := h.Peek(attempt.HeaderHint)
	if len(value) == 0 {
		return nil
	}
	parsed, err := hint.Parse(string(value))
	if err != nil {
		return nil
	}
	return &parsed
}

// MaxAttemptHeaderSize is how much the headers of an attempt add to a request header at most, in bytes.
const MaxAttemptHeaderSize = 1 << 10
