package backend

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/header"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/engine"
	"pollenhill.example/node/coordination/instance"
)

// LeaseDuration is how long an announcement holds.
const LeaseDuration = 3 * time.Second

// reap is how long a back end may take to end a request that was given up before it stops counting as work in
// flight. Without it, a cold back end got one request above its limit each time a hedge was cancelled.
const reap = 10 * time.Second

// headTime is how long a back end may take for the rest of a response header after its first byte: bytes that are no
// answer may also come one by one.
const headTime = time.Second

// Backend is the local back end of a node; it is safe for concurrent use.
type Backend struct {
	cfg    Config
	mu     sync.Mutex
	last   Announcement
	pool   *tcp.Pool
	expiry *time.Timer
	beats  *instance.Model
	warm   *time.Timer // end of the cold time of the instance that beats describe
	load   atomic.Pointer[LoadReport]
	hurry  chan struct{} // asks for a measurement at once

	logged *event.RateLimiter // of refusals, which overload makes too many of to log each
}

// Refusals logged a second, and at once after a quiet time.
const (
	refusalRate  = 10
	refusalBurst = 50
)

// Config connects a Backend with the rest of the node.
type Config struct {
	Node                 string
	Zone                 string
	Dialer               tcp.Dialer
	IdleTimeout          time.Duration // after which an unused connection is not used again
	BodyReadTimeout      time.Duration // longest wait for the next byte of a response body
	Engine               *engine.Engine
	Events               *event.Log
	OnAnnouncementChange func() // called after every change of the announcement

	Headers          header.Names
	MaxBufferedBytes int            // bytes up to which a response is received whole
	Service          string         // that beats are expected to name
	Address          netip.AddrPort // of the back end, if it is known before it announces itself
	PoolSettings     func(service string) (path string, connections int)
	CancelByClose    bool // a request is cancelled by closing its connection, not only the write side
}

// New returns a Backend that is absent.
func New(cfg Config) *Backend {
	beats := instance.New(instance.Config{Service: cfg.Service, Address: cfg.Address})
	return &Backend{cfg: cfg, beats: beats, hurry: make(chan struct{}, 1), logged: event.NewRateLimiter(refusalRate, refusalBurst)}
}

// Announcement is the body of POST /announce.
type Announcement struct {
	Name        string         `json:"name" validate:"required"`
	Service     string         `json:"service" validate:"required"`
	Address     netip.AddrPort `json:"address" validate:"required"`
	Slots       int            `json:"slots" validate:"gte=0,lte=100000"`
	Connections int            `json:"connections" validate:"gte=0,lte=100000"`
	Zone        string         `json:"zone"`
	State       string         `json:"state" validate:"oneof=cold ready draining leaving"`
}

// state returns the announced state, Absent for the zero Announcement.
func (a Announcement) state() admission.State {
	for s := admission.Cold; s <= admission.Leaving; s++ {
		if s.String() == a.State {
			return s
		}
	}
	return admission.Absent
}

// CurrentAnnouncement returns the announcement whose lease has not expired, or the zero Announcement.
func (b *Backend) CurrentAnnouncement() (Announcement, admission.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last, b.last.state()
}

// Announce renews the lease of the back end.
func (b *Backend) Announce(a Announcement) {
	b.mu.Lock()
	changed := b.set(a)
	if b.expiry != nil {
		b.expiry.Stop()
	}
	b.expiry = time.AfterFunc(LeaseDuration, func() { b.expire(a) })
	b.mu.Unlock()
	if changed {
		b.changed(a)
	}
}

// expire forgets the back end unless a newer announcement came in between.
func (b *Backend) expire(a Announcement) {
	b.mu.Lock()
	if b.last != a {
		b.mu.Unlock()
		return
	}
	b.set(Announcement{})
	b.mu.Unlock()
	b.changed(Announcement{})
}

// set replaces the announcement and the pool that belongs to it; the caller holds mu.
func (b *Backend) set(a Announcement) bool {
	old := b.last
	b.last = a
	if old.Address != a.Address || old.Connections != a.Connections || b.cfg.Headers.TargetInstance != "" && old.Name != a.Name {
		b.repool(a)
	}
	return old != a
}

func (b *Backend) repool(a Announcement) {
	if b.pool != nil {
		b.pool.Close()
		b.pool = nil
	}
	if a.Address.IsValid() {
		b.pool = b.newPool(a)
	}
}

func (b *Backend) newPool(a Announcement) *tcp.Pool {
	return tcp.NewPool(tcp.PoolConfig{
		Address:             a.Address,
		Dialer:              b.cfg.Dialer,
		MaxConnections:      cmp.Or(a.Connections, rule.DefaultMaxConnections),
		IdleTimeout:         b.cfg.IdleTimeout,
		HeaderReadTimeout:   headTime,
		BodyReadTimeout:     b.cfg.BodyReadTimeout,
		AbandonTimeout:      lo.Ternary(b.cfg.CancelByClose, 0, reap),
		EchoHeader:          b.cfg.Headers.RequestID,
		AllowCloseDelimited: b.cfg.Headers.BackendMarker != "",
		OnChange: func(open, closed int) {
			b.cfg.Engine.UpdateDestination(destination.Connections{Open: open, Closed: closed})
		},
	})
}

func (b *Backend) changed(a Announcement) {
	b.cfg.Engine.UpdateDestination(destination.Backend{
		Name:        a.Name,
		Service:     a.Service,
		Slots:       a.Slots,
		Connections: a.Connections,
		State:       a.state(),
	})
	b.cfg.Events.Emit(event.BackendStateChanged, zap.String("backend", a.Name), zap.Stringer("state", a.state()))
	b.cfg.OnAnnouncementChange()
}

// OpenConnections opens connections before they are needed; it does not wait for them.
func (b *Backend) OpenConnections(count int) {
	pool := b.current()
	if pool == nil {
		return
	}
	for range count {
		go pool.Preconnect(context.Background())
	}
}

func (b *Backend) current() *tcp.Pool {
	pool, _ := b.instance()
	return pool
}

// instance returns the connections to the back end and its name.
func (b *Backend) instance() (*tcp.Pool, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool, b.last.Name
}

// Close ends the lease and closes idle connections.
func (b *Backend) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.expiry != nil {
		b.expiry.Stop()
	}
	if b.warm != nil {
		b.warm.Stop()
	}
	if b.pool != nil {
		b.pool.Close()
	}
}
