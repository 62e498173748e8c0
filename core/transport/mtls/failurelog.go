package mtls

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
	"pollenhill.example/core/transport/tcp"
)

// Bounds of the events about failed handshakes and reloads.
const (
	minLogInterval  = time.Minute // between two events about one peer, or about the files
	maxTrackedPeers = 4096        // peers remembered; events about further peers are dropped until one is older than minLogInterval
)

// failureLog emits at most one event per peer and minLogInterval, so that a misconfigured peer cannot fill the log.
type failureLog struct {
	events     *event.Log
	now        func() time.Time
	mu         sync.Mutex
	lastLogged map[string]time.Time // by peer; "" stands for the files
}

// LogTo makes failed handshakes and unusable files emit events to log. It must be called before the first connection. now
// is time.Now outside tests.
func (cr *Credentials) LogTo(log *event.Log, now func() time.Time) {
	cr.failureLog = &failureLog{events: log, now: now, lastLogged: map[string]time.Time{}}
}

// logHandshakeFailure emits an event about failed, unless the rate limit for peer suppresses it.
func (cr *Credentials) logHandshakeFailure(failed *tcp.Error, peer string) {
	if cr.failureLog == nil || !cr.failureLog.allow(peer) {
		return
	}
	cr.failureLog.events.Emit(event.TLSHandshakeFailed, zap.Stringer("step", failed.Step), zap.Stringer("peer", failed.Peer), zap.String("reason", failed.Err.Error()))
}

// logReloadFailure emits an event if the newest files cannot be used.
func (cr *Credentials) logReloadFailure() {
	if cr.failureLog == nil {
		return
	}
	if err := cr.ReloadError(); err != nil && cr.failureLog.allow("") {
		cr.failureLog.events.Emit(event.TLSFilesRefused, zap.String("reason", err.Error()))
	}
}

// allow reports whether an event about peer may be emitted now. The caller must emit it if so.
func (f *failureLog) allow(peer string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if last, ok := f.lastLogged[peer]; ok && now.Sub(last) < minLogInterval {
		return false
	}
	if len(f.lastLogged) >= maxTrackedPeers {
		f.removeExpired(now)
	}
	if len(f.lastLogged) >= maxTrackedPeers {
		return false
	}
	f.lastLogged[peer] = now
	return true
}

// removeExpired forgets the peers whose last event is older than minLogInterval.
func (f *failureLog) removeExpired(now time.Time) {
	for peer, last := range f.lastLogged {
		if now.Sub(last) >= minLogInterval {
			delete(f.lastLogged, peer)
		}
	}
}
