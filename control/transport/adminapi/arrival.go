package adminapi

import (
	"context"
	"net"
	"net/http"
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

// WithConn adds the connection of a request to its context; it is the ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// age returns how long a request has been at this VM. It may have waited in the kernel while this process was stopped. If the
// system does not tell, a request that is read after a pause of the process counts as given up.
func (h *Handler) age(r *http.Request) time.Duration {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && r.ProtoMajor == 1 {
		if d, ok := tcp.SinceReceive(c); ok {
			return d
		}
	}
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
	c, ok := r.Context().Value(connKey{}).(*net.TCPConn)
	return ok && r.ProtoMajor == 1 && tcp.ClosedByPeer(c)
}
