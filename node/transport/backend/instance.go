package backend

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/instance"
)

// Times of the health checks that discover an instance.
const (
	discoveryInterval = 200 * time.Millisecond // pause between health checks
	discoveryTimeout  = 500 * time.Millisecond // of one health check
)

// updateInstance passes a message to the instance model and announces the resulting state.
func (b *Backend) updateInstance(msg instance.Msg) {
	b.mu.Lock()
	if !b.appliesToInstance(msg) {
		b.mu.Unlock()
		return
	}
	b.instance.Update(time.Now(), msg)
	a := b.instanceAnnouncement()
	changed := b.setAnnouncement(a)
	b.mu.Unlock()
	if changed {
		b.reportChange(a)
	}
}

// appliesToInstance reports whether a message concerns the instance model. Failed exchanges do so only for back ends
// that use heartbeats; they do not end the lease of a back end that uses Announce.
func (b *Backend) appliesToInstance(msg instance.Msg) bool {
	switch msg.(type) {
	case instance.Gone, instance.ConnectionBroken:
		return b.instance.View().ID != ""
	}
	return true
}

// instanceAnnouncement returns the state of the instance as an announcement, the zero Announcement if no instance is
// available; the caller holds mu.
func (b *Backend) instanceAnnouncement() Announcement {
	v := b.instance.View()
	if v.ID == "" || !v.Address.IsValid() {
		return Announcement{}
	}
	_, connections := b.cfg.PoolSettings(v.Service)
	a := Announcement{Name: v.ID, Service: v.Service, Address: v.Address, Slots: v.Slots, Connections: connections, Zone: b.cfg.Zone, StartMillis: v.StartMillis, Version: v.Version}
	coldTime := time.Until(v.ColdUntil)
	switch {
	case v.Draining:
		a.State = admission.Draining.String()
	case coldTime > 0:
		a.State = admission.Cold.String()
		b.scheduleRefresh(coldTime)
	default:
		a.State = admission.Ready.String()
	}
	return a
}

// scheduleRefresh refreshes the announcement at the end of the cold start; the caller holds mu.
func (b *Backend) scheduleRefresh(after time.Duration) {
	if b.coldStartTimer != nil {
		b.coldStartTimer.Stop()
	}
	b.coldStartTimer = time.AfterFunc(after, b.RefreshAnnouncement)
}

// RefreshAnnouncement updates the announcement of the instance after the end of its cold start or a change of the
// rules.
func (b *Backend) RefreshAnnouncement() {
	b.mu.Lock()
	if b.instance.View().ID == "" {
		b.mu.Unlock()
		return
	}
	a := b.instanceAnnouncement()
	changed := b.setAnnouncement(a)
	b.mu.Unlock()
	if changed {
		b.reportChange(a)
	}
}

// DiscoverInstance sends health checks while no instance is known, as after a start of the node, until ctx ends.
// Without them, an instance that already runs would get no attempts before its next heartbeat.
func (b *Backend) DiscoverInstance(ctx context.Context) {
	if !b.cfg.Address.IsValid() {
		return
	}
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b.mu.Lock()
		known := b.instance.Known()
		b.mu.Unlock()
		if path, _ := b.cfg.PoolSettings(b.cfg.Service); !known && path != "" {
			b.checkInstance(ctx, path)
		}
	}
}

// checkInstance carries out one health check and applies it if it passes and names the instance.
func (b *Backend) checkInstance(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	pool := b.newPool(Announcement{Address: b.cfg.Address, Connections: 1})
	defer pool.Close()
	b.recordCheck()
	resp, err := pool.Exchange(ctx, getRequestHeader(path, b.cfg.Address), nil)
	if err != nil {
		return // no back end listens yet
	}
	defer func() { _ = resp.Body.Close() }()
	if tcp.Discard(resp.Body, maxCheckBodyBytes) != nil || resp.Header.StatusCode() != fasthttp.StatusOK {
		return
	}
	id := string(resp.Header.Peek(b.cfg.Headers.InstanceID))
	if !instance.ValidID(id) {
		return
	}
	b.mu.Lock()
	needed := b.instance.NeedsHistory(id)
	b.mu.Unlock()
	if needed && b.learnHistory(context.Background(), id) != nil {
		return // the next check asks again
	}
	coldStart := parseColdStart(resp.Header.Peek(b.cfg.Headers.RemainingColdStart))
	b.cfg.Events.Emit(event.BackendFoundByHealthCheck, zap.String("backend", id), zap.Int64("cold", coldStart.Milliseconds()))
	b.updateInstance(instance.HealthCheckPassed{ID: id, Slots: parseSlots(resp.Header.Peek(b.cfg.Headers.LoadReport)), ColdStart: coldStart})
	b.readCondition(&resp.Header, id, CheckRequest)
}

// parseColdStart reads a remaining cold start in milliseconds; it is 0 (not cold) if absent or not a number, and
// instance.MaxColdStart at most.
func parseColdStart(value []byte) time.Duration {
	millis, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(min(max(millis, 0), instance.MaxColdStart.Milliseconds())) * time.Millisecond
}
