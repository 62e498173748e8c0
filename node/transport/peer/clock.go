package peer

import (
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/state/event"
)

// messageHeader is the common interface of fasthttp's request and response headers.
type messageHeader interface {
	Peek(key string) []byte
	Set(key, value string)
}

var (
	_ messageHeader = (*fasthttp.RequestHeader)(nil)
	_ messageHeader = (*fasthttp.ResponseHeader)(nil)
)

// setClockHeader adds the hybrid logical time to a message; without a clock it does nothing.
func setClockHeader(c *event.Clock, h messageHeader) {
	if c != nil {
		h.Set(attempt.HeaderClock, c.Next().String())
	}
}

// mergeClockHeader advances the clock past the time of a received message, so that events that follow from the message
// get later timestamps. Without a clock it does nothing.
func mergeClockHeader(c *event.Clock, h messageHeader) {
	if c == nil {
		return
	}
	if s, err := event.ParseTimestamp(string(h.Peek(attempt.HeaderClock))); err == nil {
		c.Merge(s)
	}
}
