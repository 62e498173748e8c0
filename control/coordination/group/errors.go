package group

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/consensus"
)

// Errors of Propose, Serve and Barrier. Only after ErrUnknown may a command be applied later.
var (
	ErrClosed  = errors.New("control group: this member is closed")
	ErrUnknown = consensus.ErrOutcomeUnknown
	ErrBusy    = consensus.ErrBusy
	ErrRefused = consensus.ErrInvalidMembershipChange
	ErrLost    = consensus.ErrSuperseded
	// ErrReplaced stops a first voter whose data folder is new although the group knows it from another one.
	ErrReplaced = consensus.ErrIDMismatch
)

// NotLeader means that the command was not proposed, because this member does not lead.
type NotLeader = consensus.NotLeaderError
