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
	HeaderProxyStatus = "Proxy-Status" // RFC 9209
	HeaderRetryAfter  = "Retry-After"  // seconds, RFC 9110
)

// Refusal is a response that a node makes itself in place of a back end.
type Refusal struct {
	Reason     Reason
	Outcome    attempt.Outcome
	RetryAfter time.Duration // suggested wait, sent in whole seconds with status 503
	Node       string        // node that refused
	Depth      int           // depth of the attempt at which it refused

	Guarantee503 bool // the caller takes 503 as the promise that the request did not run, and After in fractions of a second
}

// HeaderField is one header line.
type HeaderField struct{ Name, Value string }

// HeaderFields returns the header lines of r.
func (r Refusal) HeaderFields() []HeaderField {
	fields := []HeaderField{
		{HeaderProxyStatus, r.ProxyStatus()},
		{attempt.HeaderOutcome, r.Outcome.String()},
	}
	if r.StatusCode() == 503 {
		fields = append(fields, HeaderField{HeaderRetryAfter, r.retry()})
	}
	return fields
}

// ProxyStatus returns the value of HeaderStatus.
func (r Refusal) ProxyStatus() string {
	return fmt.Sprintf("%s; error=%s; details=%q; level=%d", r.Node, r.Reason.proxyError(), r.Reason, r.Depth)
}

// StatusCode returns the HTTP status code. For callers that take 503 as a promise, what was not run for lack of a server or
// of time is answered 503, so that they may come back, and no 503 hides a request that may have run.
func (r Refusal) StatusCode() int {
	code := r.Reason.StatusCode()
	switch {
	case !r.Guarantee503:
	case r.Outcome == attempt.NotRun && (code == 502 || code == 504):
		return 503
	case r.Outcome == attempt.Unknown && code == 503:
		return 502
	}
	return code
}

// retry returns After in seconds, with a fraction where the caller takes one.
func (r Refusal) retry() string {
	if r.Guarantee503 {
		return strconv.FormatFloat(max(r.RetryAfter, time.Millisecond).Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(max(1, int(math.Ceil(r.RetryAfter.Seconds()))))
}

// ParseProxyStatus reads a value written by ProxyStatus; false if it has another form.
func ParseProxyStatus(value string) (Refusal, bool) {
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
	for reason := None; reason <= BackendSlow; reason++ {
		if reason.String() == details {
			return Refusal{Reason: reason, Node: parts[0], Depth: level}, true
		}
	}
	return Refusal{}, false
}

// StatusCode returns the HTTP status code for a refusal with reason r.
func (r Reason) StatusCode() int {
	switch r {
	case ConnectionBroken, CallTooDeep:
		return 502
	case Timeout, TooLate:
		return 504
	case BodyTooLarge:
		return 413
	case HeaderTooLarge:
		return 431
	case Malformed, UpgradeUnsupported:
		return 400
	case NoRoute:
		return 404
	case ClaimHeld:
		return 409
	case FingerprintMismatch:
		return 422
	}
	return 503
}

// proxyError returns the error type of RFC 9209, section 2.3.
func (r Reason) proxyError() string {
	switch r {
	case ConnectionBroken:
		return "connection_terminated"
	case Timeout, TooLate:
		return "http_response_timeout"
	case CallTooDeep:
		return "proxy_loop_detected"
	case BodyTooLarge, HeaderTooLarge, Malformed, UpgradeUnsupported, ClaimHeld, FingerprintMismatch:
		return "http_request_error"
	case NoRoute:
		return "destination_not_found"
	case AtCapacity, Shed, MemoryBudget:
		return "connection_limit_reached"
	case Internal:
		return "proxy_internal_error"
	}
	return "destination_unavailable"
}
