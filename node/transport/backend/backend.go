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
	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/header"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/engine"
	"pollenhill.example/node/coordination/instance"
	"pollenhill.example/node/coordination/observer"
	"pollenhill.example/node/coordination/parent"
)

// LeaseDuration is how long an announcement is valid unless it is renewed.
const LeaseDuration = 3 * time.Second

// cancelledRequestTimeout is how long a cancelled request that the back end has not ended still counts as in flight. If
// it stopped counting at once, a cold back end would get one request above its limit for each cancelled hedge.
const cancelledRequestTimeout = 10 * time.Second

// responseHeaderTimeout is how long a back end may take for the rest of a response header after its first byte. It
// bounds exchanges in which the back end sends something other than an HTTP response byte by byte.
const responseHeaderTimeout = time.Second

// Limits of the log entries about refused and lost attempts; overload causes too many of them to log each.
const (
	maxLogsPerSecond = 10
	maxLogBurst      = 50 // entries at once after a quiet period
)

// Backend is the back end on the VM of the node; it is safe for concurrent use.
type Backend struct {
	cfg         Config
	loadReport  atomic.Pointer[LoadReport]
	pollNow     chan struct{}      // requests a load report before the next tick of PollLoad
	logLimiter  *event.RateLimiter // for refused and lost attempts
	overloadLog *event.RateLimiter
	limitLog    *event.RateLimiter // for the request limit, so that refusals do not suppress it
	sent        sentRequests
	conditions  conditionTracker

	mu             sync.Mutex // guards the fields below
	announced      Announcement
	pool           *tcp.Pool
	leaseTimer     *time.Timer      // for back ends that use Announce
	instance       *instance.Model  // for back ends that use Heartbeat
	coldStartTimer *time.Timer      // end of the cold start of the instance
	recordedEnds   map[string]int64 // newest start whose end is in History, in Unix milliseconds, by instance ID
}

// Config holds the parameters of a Backend and the parts of the node that it uses.
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
	MaxBufferedBytes int                 // longest response body that is received before its header is passed on
	BufferMemory     *semaphore.Weighted // memory budget in bytes for such bodies of all responses; without room they are passed on as they arrive
	Service          string              // service that heartbeats are expected to name
	Address          netip.AddrPort      // address of the back end, invalid to accept that of any announcement or heartbeat
	Observer         *observer.Model     // counts answers during a rollout; nil: none are counted
	History          InstanceHistory     // keeps the ends of instances; nil: a restart forgets them
	CancelByClose    bool                // cancel a request by closing its connection, not only the write side

	// PoolSettings returns the path of health checks and the connections per back end, from the rules of a service.
	PoolSettings func(service string) (healthPath string, maxConnections int)

	AccountsInForce func() bool   // reports whether the rules in force have accounts; nil for never
	RanksByCost     func() bool   // reports whether calls inherit account and rank, since overload is decided by them; nil for never
	Parents         *parent.Table // receives the requests that the back end runs while RanksByCost; may be nil
}

// New returns a Backend that is absent until its first announcement or heartbeat.
func New(cfg Config) *Backend {
	identity := instance.Config{Service: cfg.Service, Address: cfg.Address}
	if cfg.History != nil {
		identity.Started = time.Now()
	}
	return &Backend{
		cfg:          cfg,
		instance:     instance.New(identity),
		recordedEnds: map[string]int64{},
		pollNow:      make(chan struct{}, 1),
		logLimiter:   event.NewRateLimiter(maxLogsPerSecond, maxLogBurst),
		overloadLog:  event.NewRateLimiter(overloadLogsPerSecond, 1),
		limitLog:     event.NewRateLimiter(maxLogsPerSecond, maxLogBurst),
	}
}

// Announcement is what a back end announces in the body of POST /announce, or what follows from its heartbeats.
type Announcement struct {
	Name        string         `json:"name" validate:"required"`
	Service     string         `json:"service" validate:"required"`
	Address     netip.AddrPort `json:"address" validate:"required"`
	Slots       int            `json:"slots" validate:"gte=0,lte=100000"`
	Connections int            `json:"connections" validate:"gte=0,lte=100000"`
	Zone        string         `json:"zone"`
	State       string         `json:"state" validate:"oneof=cold ready draining leaving"`
	StartMillis int64          `json:"-"` // start of the instance, 0 if it does not say
	Version     string         `json:"-"` // of its software, empty if it is not known
}

// admissionState returns the state, Absent for the zero Announcement.
func (a Announcement) admissionState() admission.State {
	for s := admission.Cold; s <= admission.Leaving; s++ {
		if s.String() == a.State {
			return s
		}
	}
	return admission.Absent
}

// CurrentAnnouncement returns the valid announcement and its state, or the zero Announcement and Absent.
func (b *Backend) CurrentAnnouncement() (Announcement, admission.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.announced, b.announced.admissionState()
}

// Announce replaces the announcement and renews its lease.
func (b *Backend) Announce(a Announcement) {
	b.mu.Lock()
	changed := b.setAnnouncement(a)
	if b.leaseTimer != nil {
		b.leaseTimer.Stop()
	}
	b.leaseTimer = time.AfterFunc(LeaseDuration, func() { b.expireLease(a) })
	b.mu.Unlock()
	if changed {
		b.reportChange(a)
	}
}

// expireLease removes the announcement a unless another one has replaced it.
func (b *Backend) expireLease(a Announcement) {
	b.mu.Lock()
	if b.announced != a {
		b.mu.Unlock()
		return
	}
	b.setAnnouncement(Announcement{})
	b.mu.Unlock()
	b.reportChange(Announcement{})
}

// setAnnouncement replaces the announcement, and the pool if needed, and reports whether the announcement changed; the
// caller holds mu.
func (b *Backend) setAnnouncement(a Announcement) bool {
	old := b.announced
	b.announced = a
	if old.Address != a.Address || old.Connections != a.Connections || b.cfg.Headers.TargetInstance != "" && old.Name != a.Name {
		b.replacePool(a)
	}
	return old != a
}

func (b *Backend) replacePool(a Announcement) {
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
		HeaderReadTimeout:   responseHeaderTimeout,
		BodyReadTimeout:     b.cfg.BodyReadTimeout,
		AbandonTimeout:      lo.Ternary(b.cfg.CancelByClose, 0, cancelledRequestTimeout),
		EchoHeader:          b.cfg.Headers.RequestID,
		AllowCloseDelimited: b.cfg.Headers.BackendMarker != "",
		OnChange: func(open, closed int) {
			b.cfg.Engine.UpdateDestination(destination.Connections{Open: open, Closed: closed})
		},
	})
}

// reportChange passes a changed announcement to the engine, the event log and OnAnnouncementChange.
func (b *Backend) reportChange(a Announcement) {
	b.cfg.Engine.UpdateDestination(destination.Backend{
		Name:        a.Name,
		Service:     a.Service,
		Version:     a.Version,
		Slots:       a.Slots,
		Connections: a.Connections,
		State:       a.admissionState(),
	})
	b.cfg.Events.Emit(event.BackendStateChanged, zap.String("backend", a.Name), zap.Stringer("state", a.admissionState()))
	b.cfg.OnAnnouncementChange()
}

// OpenConnections opens up to count connections in advance, without waiting for them.
func (b *Backend) OpenConnections(count int) {
	pool := b.currentPool()
	if pool == nil {
		return
	}
	for range count {
		go pool.Preconnect(context.Background())
	}
}

func (b *Backend) currentPool() *tcp.Pool {
	pool, _ := b.poolAndInstance()
	return pool
}

// poolAndInstance returns the pool, nil if the back end is absent, and the announced name.
func (b *Backend) poolAndInstance() (*tcp.Pool, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool, b.announced.Name
}

// Close stops the timers of the lease and the cold start and closes idle connections.
func (b *Backend) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaseTimer != nil {
		b.leaseTimer.Stop()
	}
	if b.coldStartTimer != nil {
		b.coldStartTimer.Stop()
	}
	if b.pool != nil {
		b.pool.Close()
	}
}
