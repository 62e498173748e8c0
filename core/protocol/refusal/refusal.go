package refusal

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"pollenhill.example/core/protocol/attempt"
)

// Names of the standard headers of a refusal.
const (
	HeaderStatus = "Proxy-Status" // RFC 9209
	HeaderRetry  = "Retry-After"  // seconds, RFC 9110
)

// Refusal is a response that a node makes itself in place of a back end.
type Refusal struct {
	Reason  Reason
	Outcome attempt.Outcome
	After   time.Duration // suggested wait, sent in whole seconds with status 503
	Node    string        // node that refused
	Level   int           // depth of the attempt at which it refused

	Promise bool // the caller takes 503 as the promise that the request did not run, and After in fractions of a second
}

// Field is one header line.
type Field struct{ Name, Value string }

// Fields returns the header lines of r.
func (r Refusal) Fields() []Field {
	fields := []Field{
		{HeaderStatus, r.ProxyStatus()},
		{attempt.HeaderOutcome, r.Outcome.String()},
	}
	if r.Status() == 503 {
		fields = append(fields, Field{HeaderRetry, r.retry()})
	}
	return fields
}

// ProxyStatus returns the value of HeaderStatus.
func (r Refusal) ProxyStatus() string {
	return fmt.Sprintf("%s; error=%s; details=%q; level=%d", r.Node, r.Reason.proxyError(), r.Reason, r.Level)
}

// Status returns the HTTP status code. For callers that take 503 as a promise, what was not run for lack of a server or
// of time is answered 503, so that they may come back, and no 503 hides a request that may have run.
func (r Refusal) Status() int {
	code := r.Reason.Status()
	switch {
	case !r.Promise:
	case r.Outcome == attempt.NotRun && (code == 502 || code == 504):
		return 503
	case r.Outcome == attempt.Unknown && code == 503:
		return 502
	}
	return code
}

// retry returns After in seconds, with a fraction where the caller takes one.
func (r Refusal) retry() string {
	if r.Promise {
		return strconv.FormatFloat(max(r.After, time.Millisecond).Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(max(1, int(math.Ceil(r.After.Seconds()))))
}

// ParseStatus reads a value written by ProxyStatus; false if it has another form.
func ParseStatus(value string) (Refusal, bool) {
	parts := strings.Split(value, "; ")
	if len(parts) != 4 {
		return Refusal{}, false
	}
	details, err := strconv.Unquote(strings.TrimPrefix(parts[2], "details="))
	if err != nil {
		return Refusal{}, false
	}
	level, err := strconv.Atoi(strings.TrimPrefix(parts[3], "level="))
	if err != nil || level < 0 {
		return Refusal{}, false
	}
	for reason := None; reason <= Slow; reason++ {
		if reason.String() == details {
			return Refusal{Reason: reason, Node: parts[0], Level: level}, true
		}
	}
	return Refusal{}, false
}

// Status returns the HTTP status code for a refusal with reason r.
func (r Reason) Status() int {
	switch r {
	case Broken, Deep:
		return 502
	case Timeout, Late:
		return 504
	case Large:
		return 413
	case Header:
		return 431
	case Malformed, Upgrade:
		return 400
	case Route:
		return 404
	case Held:
		return 409
	case Mismatch:
		return 422
	}
	return 503
}

// proxyError returns the error type of RFC 9209, section 2.3.
func (r Reason) proxyError() string {
	switch r {
	case Broken:
		return "connection_terminated"
	case Timeout, Late:
		return "http_response_timeout"
	case Deep:
		return "proxy_loop_detected"
	case Large, Header, Malformed, Upgrade, Held, Mismatch:
		return "http_request_error"
	case Route:
		return "destination_not_found"
	case Full, Shed, Budget:
		return "connection_limit_reached"
	case Internal:
		return "proxy_internal_error"
	}
	return "destination_unavailable"
}
