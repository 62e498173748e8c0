package follow

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// MessageReceived reports a message on the stream of a control process.
type MessageReceived struct {
	Server    string
	Heartbeat bool // the message is a heartbeat
	Current   bool // what the heartbeat said
}

// StreamEnded reports the end of the stream of a control process.
type StreamEnded struct{ Server string }

// ProbeResult reports the answer to a Probe.
type ProbeResult struct {
	Server  string
	Round   uint64
	OK      bool // false: no answer
	Current bool
}

// Servers replaces the control processes that the node may follow.
type Servers struct{ List []Server }

// Tick lets time pass.
type Tick struct{}

func (MessageReceived) msg() {}
func (StreamEnded) msg()     {}
func (ProbeResult) msg()     {}
func (Servers) msg()         {}
func (Tick) msg()            {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Probe asks a control process whether it is current.
type Probe struct {
	Server string
	Round  uint64
}

// Connect opens the stream of a control process and ends the stream before it.
type Connect struct{ Server string }

func (Probe) cmd()   {}
func (Connect) cmd() {}

// View is what the node shows of its decision.
type View struct {
	Server    string // empty: none
	Confirmed bool   // the control process said within Patience that it is current
}
