package backend

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/state/event"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/instance"
)

// Times of the search for a back end that has not shown itself.
const (
	searchEvery = 200 * time.Millisecond // pause between health checks
	searchLimit = 500 * time.Millisecond // of one check
)

// Heartbeat takes what an instance of the back end says of itself; it returns once that binds every later attempt.
func (b *Backend) Heartbeat(beat instance.Heartbeat) { b.observe(beat) }

// Deregister takes the deregistration of an instance; it returns once no later attempt reaches it.
func (b *Backend) Deregister(id string) { b.observe(instance.Deregister{ID: id}) }

// observe passes news to presence and announces what follows from it.
func (b *Backend) observe(msg instance.Msg) {
	b.mu.Lock()
	if !b.spoken(msg) {
		b.mu.Unlock()
		return
	}
	b.beats.Update(time.Now(), msg)
	a := b.announcement()
	changed := b.set(a)
	b.mu.Unlock()
	if changed {
		b.changed(a)
	}
}

// spoken reports whether the back end uses beats; failures of one that announces itself say nothing about its lease.
func (b *Backend) spoken(msg instance.Msg) bool {
	switch msg.(type) {
	case instance.Gone, instance.ConnectionBroken:
		return b.beats.View().ID != ""
	}
	return true
}

// announcement returns what beats say as an announcement; the caller holds mu.
func (b *Backend) announcement() Announcement {
	v := b.beats.View()
	if v.ID == "" || !v.Address.IsValid() {
		return Announcement{}
	}
	_, connections := b.cfg.PoolSettings(v.Service)
	a := Announcement{Name: v.ID, Service: v.Service, Address: v.Address, Slots: v.Slots, Connections: connections, Zone: b.cfg.Zone}
	left := time.Until(v.ColdUntil)
	switch {
	case v.Draining:
		a.State = admission.Draining.String()
	case left > 0:
		a.State = admission.Cold.String()
		b.wake(left)
	default:
		a.State = admission.Ready.String()
	}
	return a
}

// wake looks at the instance again when its cold time ends; the caller holds mu.
func (b *Backend) wake(after time.Duration) {
	if b.warm != nil {
		b.warm.Stop()
	}
	b.warm = time.AfterFunc(after, b.RefreshAnnouncement)
}

// RefreshAnnouncement announces the instance again after time has passed or the rules of its service have changed.
func (b *Backend) RefreshAnnouncement() {
	b.mu.Lock()
	if b.beats.View().ID == "" {
		b.mu.Unlock()
		return
	}
	a := b.announcement()
	changed := b.set(a)
	b.mu.Unlock()
	if changed {
		b.changed(a)
	}
}

// DiscoverInstance asks the back end who it is until an instance has shown itself, as after a start of the node: an instance
// that runs already must not wait for its next beat. It ends with ctx.
func (b *Backend) DiscoverInstance(ctx context.Context) {
	if !b.cfg.Address.IsValid() {
		return
	}
	ticker := time.NewTicker(searchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b.mu.Lock()
		known := b.beats.Known()
		b.mu.Unlock()
		if path, _ := b.cfg.PoolSettings(b.cfg.Service); !known && path != "" {
			b.find(ctx, path)
		}
	}
}

// find carries out one health check; only a good one that names its instance tells anything.
func (b *Backend) find(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, searchLimit)
	defer cancel()
	pool := b.newPool(Announcement{Address: b.cfg.Address, Connections: 1})
	defer pool.Close()
	resp, err := pool.Exchange(ctx, check(path, b.cfg.Address), nil)
	if err != nil {
		return // nothing answers yet; the search goes on
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Header.StatusCode() != fasthttp.StatusOK {
		return
	}
	id := string(resp.Header.Peek(b.cfg.Headers.InstanceID))
	if id == "" {
		return
	}
	cold, _ := strconv.ParseInt(string(resp.Header.Peek(b.cfg.Headers.RemainingColdStart)), 10, 64) // absent: not cold
	b.cfg.Events.Emit(event.BackendFoundByHealthCheck, zap.String("backend", id), zap.Int64("cold", cold))
	b.observe(instance.HealthCheckPassed{ID: id, Slots: slotsOf(resp.Header.Peek(b.cfg.Headers.LoadReport)), ColdStart: time.Duration(cold) * time.Millisecond})
}

// slotsOf reads the third figure of a load report, 0 if there is none.
func slotsOf(load []byte) int {
	parts := strings.Split(string(load), ",")
	if len(parts) < 3 {
		return 0
	}
	n, err := strconv.Atoi(strings.TrimSpace(parts[2]))
	if err != nil {
		return 0
	}
	return n
}

// measure takes the load report of a response.
func (b *Backend) measure(h *fasthttp.ResponseHeader) {
	value := h.Peek(b.cfg.Headers.LoadReport)
	if b.cfg.Headers.LoadReport == "" || len(value) == 0 {
		return
	}
	b.report(string(value))
	parts := strings.Split(string(value), ",")
	if len(parts) < 4 {
		return
	}
	pace, err := strconv.Atoi(strings.TrimSpace(parts[3]))
	if err != nil || pace <= 0 {
		return
	}
	b.cfg.Engine.UpdateDestination(destination.Slowdown{Factor: float64(pace) / usualPace})
}

// usualPace is the figure of a back end that works at its usual speed.
const usualPace = 100
