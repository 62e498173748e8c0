package follow

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// MessageReceived reports a message on the stream of a control process.
type MessageReceived struct {
	Server    string
	Heartbeat bool // false for rules and members
	Current   bool // from the heartbeat
}

// DataReceived reports bytes on the stream of a control process, of messages that need not be complete.
type DataReceived struct{ Server string }

// StreamEnded reports the end of the stream of a control process.
type StreamEnded struct{ Server string }

// ProbeResult reports the answer to a Probe, or that none came.
type ProbeResult struct {
	Server string
	Round  uint64
	OK     bool // an answer came
	Answer Answer
}

// Answer is what a control process says of itself in the answer to a Probe.
type Answer struct {
	Current  bool   // it is in contact with a quorum and has applied all that was committed before
	Revision uint64 // newest rules that it has or may have
}

// Servers replaces the control processes that the node may follow.
type Servers struct{ List []Server }

// Tick checks the timeouts; it is due many times within FailoverTimeout.
type Tick struct{}

func (MessageReceived) msg() {}
func (DataReceived) msg()    {}
func (StreamEnded) msg()     {}
func (ProbeResult) msg()     {}
func (Servers) msg()         {}
func (Tick) msg()            {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Probe asks a control process whether it is current.
type Probe struct {
	Server string
	Round  uint64 // number of the search, repeated in the ProbeResult
}

// Connect opens the stream of a control process and ends the previous stream.
type Connect struct{ Server string }

func (Probe) cmd()   {}
func (Connect) cmd() {}

// View is the current decision.
type View struct {
	Server    string // followed control process, empty for none
	Confirmed bool   // the control process reported within FailoverTimeout that it is current
}
