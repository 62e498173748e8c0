package refusal

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"pollenhill.example/core/protocol/attempt"
)

// Names of the standard headers that a refusal sets.
const (
	HeaderProxyStatus = "Proxy-Status" // RFC 9209
	HeaderRetryAfter  = "Retry-After"  // seconds, RFC 9110
	HeaderChallenge   = "WWW-Authenticate"
)

// Challenge tells a caller without a known key how to send one (RFC 6750, section 3).
const Challenge = `Bearer realm="pollenhill"`

// Refusal is a response that a node generates in place of one from a back end.
type Refusal struct {
	Reason     Reason
	Outcome    attempt.Outcome
	RetryAfter time.Duration // suggested wait until a retry, sent with status 429 and 503
	Node       string        // node that refused
	Depth      int           // depth in the call chain of the request that was refused

	// Guarantee503 is set for callers that take status 503 as a guarantee that the request did not run, and that read
	// Retry-After in fractions of a second; for others it is in whole seconds.
	Guarantee503 bool
}

// HeaderField is the name and value of one HTTP header.
type HeaderField struct{ Name, Value string }

// HeaderFields returns the headers of the response.
func (r Refusal) HeaderFields() []HeaderField {
	fields := []HeaderField{
		{HeaderProxyStatus, r.ProxyStatus()},
		{attempt.HeaderOutcome, r.Outcome.String()},
	}
	if code := r.StatusCode(); code == 503 || code == 429 {
		fields = append(fields, HeaderField{HeaderRetryAfter, r.retryAfterSeconds()})
	}
	if r.Reason == UnknownKey {
		fields = append(fields, HeaderField{HeaderChallenge, Challenge})
	}
	return fields
}

// ProxyStatus returns the value of HeaderProxyStatus.
func (r Refusal) ProxyStatus() string {
	return fmt.Sprintf("%s; error=%s; details=%q; level=%d", r.Node, r.Reason.proxyError(), r.Reason, r.Depth)
}

// StatusCode returns the HTTP status code. With Guarantee503, 502 and 504 become 503 if the request did not run, so that
// the caller may retry, and 503 becomes 502 if the request may have run.
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

// retryAfterSeconds returns RetryAfter in seconds, with a fraction where the caller reads one.
func (r Refusal) retryAfterSeconds() string {
	if r.Guarantee503 {
		return strconv.FormatFloat(max(r.RetryAfter, time.Millisecond).Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(max(1, int(math.Ceil(r.RetryAfter.Seconds()))))
}

// ParseProxyStatus reads a value written by ProxyStatus and returns its reason, node and depth, or false if the value has
// another form.
func ParseProxyStatus(value string) (Refusal, bool) {
	parts := strings.Split(value, "; ")
	if len(parts) != 4 {
		return Refusal{}, false
	}
	details, err := strconv.Unquote(strings.TrimPrefix(parts[2], "details="))
	if err != nil {
		return Refusal{}, false
	}
	depth, err := strconv.Atoi(strings.TrimPrefix(parts[3], "level="))
	if err != nil || depth < 0 {
		return Refusal{}, false
	}
	for reason := None; reason <= lastReason; reason++ {
		if reason.String() == details {
			return Refusal{Reason: reason, Node: parts[0], Depth: depth}, true
		}
	}
	return Refusal{}, false
}

// StatusCode returns the HTTP status code for a refusal with reason r, without regard to Guarantee503.
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
	case UnknownKey:
		return 401
	case NoRoute:
		return 404
	case ClaimHeld:
		return 409
	case FingerprintMismatch:
		return 422
	case OverAllowance:
		return 429
	}
	return 503
}

// proxyError returns the proxy error type for r (RFC 9209, section 2.3).
func (r Reason) proxyError() string {
	switch r {
	case ConnectionBroken:
		return "connection_terminated"
	case Timeout, TooLate:
		return "http_response_timeout"
	case CallTooDeep:
		return "proxy_loop_detected"
	case BodyTooLarge, HeaderTooLarge, Malformed, UpgradeUnsupported, ClaimHeld, FingerprintMismatch, UnknownKey:
		return "http_request_error"
	case NoRoute:
		return "destination_not_found"
	case AtCapacity, Shed, MemoryBudget, RequestLimit, OverAllowance:
		return "connection_limit_reached"
	case Internal:
		return "proxy_internal_error"
	}
	return "destination_unavailable"
}
