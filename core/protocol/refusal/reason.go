package refusal

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Reason -linecomment

// Reason says why a request was refused; its String is the details parameter of Proxy-Status (RFC 9209).
type Reason int

// Reasons for a refusal. The line comments are the values of String.
const (
	// None means that the request is not refused.
	None Reason = iota // none
	// AtCapacity means that the concurrency limit is reached and no request can be queued.
	AtCapacity // full
	// TooLate means that the request cannot be answered before its deadline.
	TooLate // late
	// ColdStart means that the back end is in its cold start and takes no further request.
	ColdStart // cold
	// Draining means that the back end finishes its requests and takes no new ones.
	Draining // draining
	// Leaving means that the node of the back end is shutting down.
	Leaving // leaving
	// ZoneOutOfService means that the rules take the zone of the back end out of service.
	ZoneOutOfService // zone-out
	// BackendOutOfService means that the rules take the back end out of service.
	BackendOutOfService // backend-out
	// NoBackend means that no back end of the service could be reached or chosen.
	NoBackend // absent
	// WrongIncarnation means that the attempt is meant for another incarnation of the destination node.
	WrongIncarnation // incarnation
	// Cancelled means that the sender cancelled the attempt.
	Cancelled // cancelled
	// DuplicateAttempt means that another copy of the attempt was received before.
	DuplicateAttempt // duplicate
	// CallTooDeep means that the call chain is longer than attempt.MaxCallDepth.
	CallTooDeep // deep
	// Shed means that the request was dropped under overload, by a node or by the back end.
	Shed // shed
	// MemoryBudget means that the memory for request bodies is used up.
	MemoryBudget // budget
	// NoQuorum means that the control processes did not grant the claim in time, or that the node has no rules yet or knows of newer ones.
	NoQuorum // no-quorum
	// NoRoute means that no rule matches the request.
	NoRoute // route
	// ConnectionBroken means that the connection failed before the response was complete.
	ConnectionBroken // broken
	// Timeout means that the deadline passed while an attempt was in flight.
	Timeout // timeout
	// BodyTooLarge means that the request body exceeds the configured limit.
	BodyTooLarge // large
	// HeaderTooLarge means that the request header exceeds the configured limit.
	HeaderTooLarge // header
	// Malformed means that the request is not valid HTTP or could be read in two ways.
	Malformed // malformed
	// ClaimHeld means that another request with the same idempotency key holds the claim.
	ClaimHeld // held
	// FingerprintMismatch means that the idempotency key was used before for a request with different content.
	FingerprintMismatch // mismatch
	// UpgradeUnsupported means that the request asks for another protocol or for a tunnel.
	UpgradeUnsupported // upgrade
	// Internal means that the node itself failed.
	Internal // internal
	// BackendSlow means that the back end is in a slow period and the entry node knows a faster one.
	BackendSlow // slow
	// RequestLimit means that the back end already gets as many requests per second as it takes by its own word.
	RequestLimit // limit
	// UnknownKey means that the request has no key of an account, or one that no account holds.
	UnknownKey // key
	// OverAllowance means that the account of the request has used up its allowance over all nodes.
	OverAllowance // allowance
)

// lastReason is the newest Reason.
const lastReason = OverAllowance
