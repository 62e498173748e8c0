package event

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -linecomment

// Kind is the number of a log event. Numbers are never reused; the text is the message of the event.
type Kind int

// Kinds of events of nodes. Each program has its own range: 1000 node, 2000 control, 3000 standin, 4000 lab, 5000 all programs.
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
	BackendLimitChanged                          // request limit of the back end changed
	BackendLimitUse                              // requests sent under the limit of the back end
	BackendSaysLeaving                           // back end says that it leaves
	BackendEndRecorded                           // end of the back end recorded
	BackendHistoryRead                           // history of the back end read
)

// Kinds of events of nodes about client accounts.
const (
	KeyRefused Kind = 1030 // request without a known key refused
)

// Kinds of events of nodes about the allowances of accounts.
const (
	AllowanceExceeded      Kind = iota + 1050 // requests over an allowance refused
	AllowanceTotalsChanged                    // totals of accounts
)

// Kinds of events of nodes about requests that give way under overload.
const (
	RequestsShed Kind = iota + 1060 // requests give way under overload
)

// Kinds of events of uploads at nodes.
const (
	UploadRefused Kind = iota + 1070 // upload refused before its body
)

// Kinds of events of control processes.
const (
	ControlStarted        Kind = iota + 2000 // control started
	ControlStopped                           // control stopped
	LeaderChanged                            // leader changed
	ChangeAccepted                           // change accepted
	ChangeRejected                           // change rejected
	ControlMembersChanged                    // members of the control group changed
	ZoneOrderHandled                         // order about a zone
	RulesPending                             // newer rules may be pending
)

// Kinds of events of control processes about rollouts.
const (
	RolloutOrdered  Kind = iota + 2030 // order for a rollout
	RolloutAdvanced                    // rollout advanced
)

// Kinds of events of all programs.
const (
	TLSHandshakeFailed Kind = iota + 5000 // TLS handshake failed
	TLSFilesRefused                       // TLS files not in use
	LogLinesDropped                       // log lines dropped
	AcceptFailed                          // connection not accepted
)
