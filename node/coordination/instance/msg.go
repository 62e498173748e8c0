package instance

import (
	"net/netip"
	"time"
)

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Heartbeat is the state that an instance reports about itself at regular intervals.
type Heartbeat struct {
	ID          string
	StartMillis int64  // start of the instance in Unix milliseconds, 0 if it does not say
	Sequence    uint64 // increases with every heartbeat of an instance
	Service     string
	Version     string // of the software, empty if it does not say
	Address     netip.AddrPort
	Slots       int
	Draining    bool
	ColdStart   time.Duration // remaining time for which the instance is cold
}

// Deregister reports that an instance deregistered: it gets no more requests.
type Deregister struct{ ID string }

// HistoryLearned reports what has been kept about an ID from before the start of the node.
type HistoryLearned struct {
	ID          string
	Ended       bool
	StartMillis int64 // newest start that has ended, in Unix milliseconds
}

// SaysLeaving reports a response in which an instance says that it is about to end: it gets no more requests.
type SaysLeaving struct{ ID string }

// HealthCheckPassed reports a health check that the back end passed, with the values that its response stated.
type HealthCheckPassed struct {
	ID        string
	Slots     int           // 0 if not stated
	ColdStart time.Duration // remaining time for which the instance is cold
}

// Gone reports that nothing listens at the address of the back end, or that another instance listens there.
type Gone struct{}

// ConnectionBroken reports a connection that the back end closed without a response to a request, as a restart does.
type ConnectionBroken struct{}

func (Heartbeat) msg()         {}
func (Deregister) msg()        {}
func (HistoryLearned) msg()    {}
func (SaysLeaving) msg()       {}
func (HealthCheckPassed) msg() {}
func (Gone) msg()              {}
func (ConnectionBroken) msg()  {}

// View is the state of the current instance of the local back end.
type View struct {
	ID          string // empty if the back end must not receive requests
	Service     string
	Version     string // empty if it is not known
	Address     netip.AddrPort
	StartMillis int64 // Unix time, 0 if it is not known
	Slots       int
	Draining    bool
	ColdUntil   time.Time // until then the instance is cold or may be cold
}
