package group

import "github.com/cockroachdb/errors"

// Errors of Propose and Barrier.
var (
	ErrClosed = errors.New("group: closed")
	// ErrUnknown means that the command may or may not be committed later.
	ErrUnknown = errors.New("group: outcome of the proposal is unknown")
)

// NotLeader means that the command was not proposed, because this member does not lead.
type NotLeader struct {
	Leader string // name, empty if unknown
}

// Error names the leader.
func (e *NotLeader) Error() string {
	if e.Leader == "" {
		return "group: no leader is known"
	}
	return "group: not the leader, the leader is " + e.Leader
}
