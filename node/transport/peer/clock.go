package peer

import (
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/state/event"
)

// headers is what request and response headers have in common here.
type headers interface {
	Peek(key string) []byte
	Set(key, value string)
}

var (
	_ headers = (*fasthttp.RequestHeader)(nil)
	_ headers = (*fasthttp.ResponseHeader)(nil)
)

// stamp sends the hybrid logical time with a message; without a clock it does nothing.
func stamp(c *event.Clock, h headers) {
	if c != nil {
		h.Set(attempt.HeaderClock, c.Next().String())
	}
}

// merge moves the clock past the time of a received message, so that its effects are stamped later.
func merge(c *event.Clock, h headers) {
	if c == nil {
		return
	}
	if s, err := event.ParseTimestamp(string(h.Peek(attempt.HeaderClock))); err == nil {
		c.Merge(s)
	}
}
