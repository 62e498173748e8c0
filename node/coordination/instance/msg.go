package instance

import (
	"net/netip"
	"time"
)

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Heartbeat reports what an instance says of itself.
type Heartbeat struct {
	ID          string
	StartMillis int64 // start of the instance in Unix milliseconds, 0 if it does not say
	Sequence    uint64
	Service     string
	Address     netip.AddrPort
	Slots       int
	Draining    bool
	ColdStart   time.Duration // for which it stays cold
}

// Deregister reports that an instance deregistered.
type Deregister struct{ ID string }

// HealthCheckPassed reports a good health check of the back end, which names the instance.
type HealthCheckPassed struct {
	ID        string
	Slots     int
	ColdStart time.Duration
}

// Gone reports that nothing listens at the address of the back end, or that another instance does.
type Gone struct{}

// ConnectionBroken reports a request that the back end ended without a response, as it does when it restarts.
type ConnectionBroken struct{}

func (Heartbeat) msg()         {}
func (Deregister) msg()        {}
func (HealthCheckPassed) msg() {}
func (Gone) msg()              {}
func (ConnectionBroken) msg()  {}

// View is what is known of the local back end.
type View struct {
	ID        string // empty: no instance is known
	Service   string
	Address   netip.AddrPort
	Slots     int
	Draining  bool
	ColdUntil time.Time // until then the instance is cold, or may be
}
