package event

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -linecomment

// Kind is the number of a log event; numbers are never reused.
type Kind int

// Kinds by program: 1000 node, 2000 control, 3000 standin, 4000 lab, 5000 any.
const (
	NodeStarted               Kind = iota + 1000 // node started
	NodeStopping                                 // node stopping
	NodeStopped                                  // node stopped
	BackendStateChanged                          // back end state changed
	AttemptRefused                               // attempt refused
	RulesApplied                                 // rules in force
	BackendFoundByHealthCheck                    // back end found by its health check
	CallEnded                                    // call ended
	SettingsReloaded                             // settings read again
	ControlProcessFollowed                       // control process followed
	HintExchangeFailed                           // exchange of hints failed
	CallFailed                                   // call failed
	AttemptLost                                  // attempt lost
	RequestPanicked                              // request ended by a fault of the node
)

// Kinds of control events.
const (
	ControlStarted        Kind = iota + 2000 // control started
	ControlStopped                           // control stopped
	LeaderChanged                            // leader changed
	ChangeAccepted                           // change accepted
	ChangeRejected                           // change rejected
	ControlMembersChanged                    // members of the control group changed
)

// Kinds of events of every program.
const (
	TLSHandshakeFailed Kind = iota + 5000 // TLS handshake failed
	TLSFilesRefused                       // TLS files not in use
	LogLinesDropped                       // log lines dropped
	AcceptFailed                          // connection not accepted
)
