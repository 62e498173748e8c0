package mtls

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
	"pollenhill.example/core/transport/tcp"
)

// Bounds of the events about failed handshakes.
const (
	quietTime = time.Minute // between two events about one peer
	maxPeers  = 4096        // peers remembered; events about more are dropped until one is a minute old
)

// report logs at most one event per peer and quietTime.
type report struct {
	log  *event.Log
	now  func() time.Time
	mu   sync.Mutex
	last map[string]time.Time
}

// LogTo makes the Source report failed handshakes and unusable files as events; it must precede the first connection.
// now is time.Now outside tests.
func (s *Credentials) LogTo(log *event.Log, now func() time.Time) {
	s.report = &report{log: log, now: now, last: map[string]time.Time{}}
}

func (s *Credentials) log(failed *tcp.Error, peer string) {
	if s.report == nil || !s.report.due(peer) {
		return
	}
	s.report.log.Emit(event.TLSHandshakeFailed, zap.Stringer("step", failed.Step), zap.Stringer("peer", failed.Peer), zap.String("reason", failed.Err.Error()))
}

// stale reports replaced files that cannot be used.
func (s *Credentials) stale() {
	if s.report == nil {
		return
	}
	if err := s.ReloadError(); err != nil && s.report.due("") {
		s.report.log.Emit(event.TLSFilesRefused, zap.String("reason", err.Error()))
	}
}

// due reports whether an event about peer may be written now, and assumes that it is.
func (r *report) due(peer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if last, ok := r.last[peer]; ok && now.Sub(last) < quietTime {
		return false
	}
	if len(r.last) >= maxPeers {
		r.forget(now)
	}
	if len(r.last) >= maxPeers {
		return false
	}
	r.last[peer] = now
	return true
}

func (r *report) forget(now time.Time) {
	for peer, last := range r.last {
		if now.Sub(last) >= quietTime {
			delete(r.last, peer)
		}
	}
}
