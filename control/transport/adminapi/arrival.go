package adminapi

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pollenhill.example/core/transport/tcp"
)

// Times of orders about zones. The calls carry nothing that orders them, so a call that its caller has given up must not be
// carried out: the caller may have given a newer order elsewhere.
const (
	callerPatience = time.Second            // after which a caller turns to another control process
	maxOrderAge    = 900 * time.Millisecond // leaves the rest of callerPatience to the network
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// connection is a connection of a caller.
type connection struct {
	net.Conn
	accepted time.Time
	used     atomic.Bool // a request on it was answered
}

// WithConn adds the connection of a request to its context; it is the ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &connection{Conn: c, accepted: time.Now()})
}

// connectionOf returns the connection of a request, or nil if it is not known or carries other requests at the same time.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connKey{}).(*connection)
	if r.ProtoMajor != 1 {
		return nil
	}
	return c
}

// markUsed makes a handler record that its connection has carried a request.
func markUsed(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		handle(w, r)
		if c := connectionOf(r); c != nil {
			c.used.Store(true)
		}
	}
}

// age returns for how long a request may have waited. While this process is stopped it waits in the kernel; if the system does
// not tell for how long, a request that is read after a pause of the process counts as given up. While the network holds it up,
// a new connection stays without a request.
func (h *Handler) age(r *http.Request) time.Duration {
	c := connectionOf(r)
	if c == nil {
		return h.ageByPauses()
	}
	waited, ok := tcp.SinceReceive(c.Conn)
	if !ok {
		waited = h.ageByPauses()
	}
	if !c.used.Load() {
		waited = max(waited, time.Since(c.accepted))
	}
	return waited
}

func (h *Handler) ageByPauses() time.Duration {
	if h.Pauses != nil && h.Pauses.ResumedWithin(callerPatience) {
		return callerPatience
	}
	return 0
}

// callerGone reports whether the caller has closed the connection of a request, also if the server has not noticed yet.
func callerGone(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c := connectionOf(r)
	if c == nil {
		return false
	}
	raw, ok := c.Conn.(*net.TCPConn)
	return ok && tcp.ClosedByPeer(raw)
}
