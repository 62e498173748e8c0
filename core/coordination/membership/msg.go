package membership

import "pollenhill.example/core/protocol/control"

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Announce reports an announcement that a node made here.
type Announce struct{ Member *control.Member }

// Exchange reports deltas from another control process; the effects hold an Answer.
type Exchange struct{ Request *control.ExchangeRequest }

// SendResult reports the answer to a Send; a nil Response means that none came.
type SendResult struct {
	Peer     string
	Response *control.ExchangeResponse
}

// Peers replaces the other control processes.
type Peers struct{ Names []string }

// Tick lets time pass; it is due every Interval.
type Tick struct{}

func (Announce) msg()   {}
func (Exchange) msg()   {}
func (SendResult) msg() {}
func (Peers) msg()      {}
func (Tick) msg()       {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Change tells watchers what changed; renewals of unchanged members are no change.
type Change struct {
	Updated []*control.Member
	Removed []string // node names
}

// Ready tells watchers that the directory holds every member it can know of.
type Ready struct{}

// Send passes deltas to another control process; a Reply is due.
type Send struct {
	Peer    string
	Request *control.ExchangeRequest
}

// Respond responds to an Exchange.
type Respond struct{ Response *control.ExchangeResponse }

func (Change) cmd()  {}
func (Ready) cmd()   {}
func (Send) cmd()    {}
func (Respond) cmd() {}
