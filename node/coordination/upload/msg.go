package upload

import (
	"time"

	"pollenhill.example/core/protocol/refusal"
)

// ID identifies a body within a Model.
type ID uint64

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Ask reports a request whose header has arrived; the answer is Admit or Refuse, at once or later.
type Ask struct {
	ID       ID
	Length   int       // announced length of the body in bytes
	Deadline time.Time // of the request
	Movable  bool      // the entry node knows another back end with free slots
}

// Received reports that bytes of an admitted body have arrived.
type Received struct {
	ID    ID
	Bytes int
}

// End reports that a body is complete, or that its request has ended.
type End struct{ ID ID }

// Leave reports that the node shuts down: whoever waits is refused, so that another node gets the body.
type Leave struct{}

// Tick advances the time.
type Tick struct{}

func (Ask) msg()      {}
func (Received) msg() {}
func (End) msg()      {}
func (Leave) msg()    {}
func (Tick) msg()     {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Admit lets the entry node send the body.
type Admit struct{ ID ID }

// Refuse ends the request as not run, before its body is sent.
type Refuse struct {
	ID     ID
	Reason refusal.Reason
}

func (Admit) cmd()  {}
func (Refuse) cmd() {}
