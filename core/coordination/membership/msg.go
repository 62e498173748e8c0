package membership

import "pollenhill.example/core/protocol/control"

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Announce reports an announcement of a node to this control process.
type Announce struct{ Member *control.Member }

// Exchange reports deltas received from another control process; the effects contain a Respond.
type Exchange struct{ Request *control.ExchangeRequest }

// SendResult reports the response to a Send; Response is nil if none came.
type SendResult struct {
	Peer     string
	Response *control.ExchangeResponse
}

// Peers replaces the other control processes.
type Peers struct{ Names []string }

// Tick checks leases and starts exchanges; it is due every ExchangeInterval.
type Tick struct{}

func (Announce) msg()   {}
func (Exchange) msg()   {}
func (SendResult) msg() {}
func (Peers) msg()      {}
func (Tick) msg()       {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Change tells watchers which members changed; the renewal of a lease is not a change.
type Change struct {
	Updated []*control.Member
	Removed []string // node names
}

// Ready tells watchers that the directory is complete, as Model.Ready does.
type Ready struct{}

// Send sends deltas to another control process; a SendResult must follow.
type Send struct {
	Peer    string
	Request *control.ExchangeRequest
}

// Respond returns the response to the caller of an Exchange.
type Respond struct{ Response *control.ExchangeResponse }

func (Change) cmd()  {}
func (Ready) cmd()   {}
func (Send) cmd()    {}
func (Respond) cmd() {}
