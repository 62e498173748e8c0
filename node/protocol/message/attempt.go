package message

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/protocol/requestlimit"
	"pollenhill.example/core/state/rule"
)

// Attempt holds the values of the headers of an attempt that one node sends to another.
type Attempt struct {
	ID          attempt.ID
	Incarnation uint64 // incarnation of the destination node that the entry node addresses
	Deadline    time.Time
	Depth       int    // position in the call chain, 0 for a call from outside
	Revision    uint64 // revision of the rules at the entry node
	Priority    rule.Priority
	Rank        int    // priority number of a request on a route, 0 for the most urgent
	Account     string // client account of the request, empty for none
	Nested      bool   // sent by a back end on behalf of another request
	Service     string
	Route       string             // empty if a service line of the rules matched the request, not a route
	Rerun       bool               // an earlier attempt of the same request may still be running or have run
	Objective   time.Duration      // time left to meet the latency objective, negative if it is missed; 0 if unknown
	Movable     bool               // the destination may refuse it as slow: the entry node knows a faster back end with free slots
	KnownLimit  requestlimit.Limit // request limit of the back end as the entry node has heard it
}

// Write sets the headers of a on h; the deadline is written as the milliseconds that remain at the time now.
func (a Attempt) Write(h *fasthttp.RequestHeader, now time.Time) {
	h.Set(attempt.HeaderAttempt, a.ID.String())
	h.Set(attempt.HeaderIncarnation, strconv.FormatUint(a.Incarnation, 10))
	h.Set(attempt.HeaderDeadline, DeadlineValue(a.Deadline, now))
	h.Set(attempt.HeaderDepth, strconv.Itoa(a.Depth))
	h.Set(attempt.HeaderRevision, strconv.FormatUint(a.Revision, 10))
	h.Set(attempt.HeaderPriority, a.Priority.String())
	h.Set(attempt.HeaderService, a.Service)
	if a.Rerun {
		h.Set(attempt.HeaderRerun, presentValue)
	}
	if a.Movable {
		h.Set(attempt.HeaderMovable, presentValue)
	}
	if _, limited := a.KnownLimit.PerSecond(); limited {
		h.Set(attempt.HeaderRequestLimit, a.KnownLimit.String())
	}
	if a.Nested {
		h.Set(attempt.HeaderNested, presentValue)
	}
	if a.Account != "" {
		h.Set(attempt.HeaderAccount, a.Account)
	}
	if a.Route != "" {
		h.Set(attempt.HeaderRoute, a.Route)
		h.Set(attempt.HeaderRank, strconv.Itoa(a.Rank))
		h.Set(attempt.HeaderObjective, strconv.FormatInt(a.Objective.Milliseconds(), 10))
	}
}

// ReadAttempt reads the headers that Write sets, with the deadline counted from the time now. It fails if the attempt
// ID or a number is missing or malformed.
func ReadAttempt(h *fasthttp.RequestHeader, now time.Time) (Attempt, error) {
	var a Attempt
	var err error
	if a.ID, err = attempt.ParseID(string(h.Peek(attempt.HeaderAttempt))); err != nil {
		return a, err
	}
	if a.Incarnation, err = readUint(h, attempt.HeaderIncarnation); err != nil {
		return a, err
	}
	if a.Revision, err = readUint(h, attempt.HeaderRevision); err != nil {
		return a, err
	}
	remaining, err := readUint(h, attempt.HeaderDeadline)
	if err != nil {
		return a, err
	}
	depth, err := readUint(h, attempt.HeaderDepth)
	if err != nil {
		return a, err
	}
	a.Depth = int(min(depth, attempt.MaxCallDepth+1))
	a.Deadline = now.Add(time.Duration(min(remaining, maxDeadlineMillis)) * time.Millisecond)
	a.Priority = parsePriority(string(h.Peek(attempt.HeaderPriority)))
	a.Service = string(h.Peek(attempt.HeaderService))
	a.Rerun = len(h.Peek(attempt.HeaderRerun)) > 0
	a.Movable = len(h.Peek(attempt.HeaderMovable)) > 0
	// A value that cannot be read is like none: the destination node then waits for the word of its back end.
	a.KnownLimit, _ = requestlimit.Parse(string(h.Peek(attempt.HeaderRequestLimit)))
	a.Nested = len(h.Peek(attempt.HeaderNested)) > 0
	a.Account = string(h.Peek(attempt.HeaderAccount))
	a.Route = string(h.Peek(attempt.HeaderRoute))
	if a.Route != "" {
		objective, err := strconv.ParseInt(string(h.Peek(attempt.HeaderObjective)), 10, 64)
		if err != nil {
			return a, errors.Wrapf(err, "read header %s", attempt.HeaderObjective)
		}
		a.Objective = time.Duration(objective) * time.Millisecond
		// A node of an earlier version sends none; its requests then have the highest rank, as their Priority says more.
		a.Rank, _ = strconv.Atoi(string(h.Peek(attempt.HeaderRank)))
	}
	return a, nil
}

// maxDeadlineMillis is the longest remaining time that a deadline header can set, in milliseconds: one day.
const maxDeadlineMillis = 24 * 60 * 60 * 1000

func readUint(h *fasthttp.RequestHeader, name string) (uint64, error) {
	n, err := strconv.ParseUint(string(h.Peek(name)), 10, 64)
	return n, errors.Wrapf(err, "read header %s", name)
}

// parsePriority returns the normal priority for an unknown name.
func parsePriority(name string) rule.Priority {
	for _, l := range []rule.Priority{rule.PriorityLow, rule.PriorityHigh} {
		if l.String() == name {
			return l
		}
	}
	return rule.PriorityNormal
}

// presentValue is the value of boolean headers; a header that is absent means false.
const presentValue = "1"

// DeadlineValue returns the value of attempt.HeaderDeadline at the time now: the remaining milliseconds, at least 0.
func DeadlineValue(deadline, now time.Time) string {
	return strconv.FormatInt(max(0, deadline.Sub(now).Milliseconds()), 10)
}

// ReadOutcome sets Outcome and Refusal of a reply from its headers. A refusal without a Proxy-Status header comes from
// the back end itself, at the depth of the attempt.
func ReadOutcome(r *Reply, depth int) {
	r.Outcome = attempt.Answered
	value := string(r.Header.Peek(attempt.HeaderOutcome))
	if value == "" || value == attempt.Answered.String() || r.Header.StatusCode() < minRefusalStatus {
		return
	}
	r.Refusal = refusal.Refusal{Reason: refusal.Shed, Depth: depth}
	if f, ok := refusal.ParseProxyStatus(string(r.Header.Peek(refusal.HeaderProxyStatus))); ok {
		r.Refusal = f
	}
	r.Outcome = attempt.Unknown
	if value == attempt.NotRun.String() {
		r.Outcome = attempt.NotRun
	}
	r.Refusal.Outcome = r.Outcome
	if seconds, err := strconv.ParseFloat(string(r.Header.Peek(refusal.HeaderRetryAfter)), 64); err == nil && seconds > 0 {
		r.Refusal.RetryAfter = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	}
}

// minRefusalStatus is the lowest HTTP status code of a refusal.
const minRefusalStatus = 400

// maxRetryAfter bounds the Retry-After value that is taken over from a refusal.
const maxRetryAfter = time.Minute

// ReadHint returns the load hint of a response, or nil if it has none or a malformed one.
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

// ReadRequestLimit returns the request limit in the named header of a back end's response: no limit without the header,
// an unknown one if the value cannot be read.
func ReadRequestLimit(h *fasthttp.ResponseHeader, name string) requestlimit.Limit {
	value := h.Peek(name)
	if len(value) == 0 {
		return requestlimit.None()
	}
	limit, err := requestlimit.Parse(string(value))
	if err != nil {
		return requestlimit.Limit{}
	}
	return limit
}

// MaxAttemptHeaderSize is how many bytes Attempt.Write adds to a request header at most.
const MaxAttemptHeaderSize = 1 << 10
