package presence

import (
	"net/netip"
	"time"
)

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Beat reports what an instance says of itself.
type Beat struct {
	ID       string
	Born     int64 // start of the instance in Unix milliseconds, 0 if it does not say
	Sequence uint64
	Service  string
	Address  netip.AddrPort
	Slots    int
	Draining bool
	Cold     time.Duration // for which it stays cold
}

// Leave reports that an instance deregistered.
type Leave struct{ ID string }

// Checked reports a good health check of the back end, which names the instance.
type Checked struct {
	ID    string
	Slots int
	Cold  time.Duration
}

// Gone reports that nothing listens at the address of the back end, or that another instance does.
type Gone struct{}

// Broken reports a request that the back end ended without a response, as it does when it restarts.
type Broken struct{}

func (Beat) msg()    {}
func (Leave) msg()   {}
func (Checked) msg() {}
func (Gone) msg()    {}
func (Broken) msg()  {}

// View is what is known of the local back end.
type View struct {
	ID       string // empty: no instance is known
	Service  string
	Address  netip.AddrPort
	Slots    int
	Draining bool
	Cold     time.Time // until then the instance is cold, or may be
}
