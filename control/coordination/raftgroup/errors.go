package raftgroup

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/consensus"
)

// Errors of Propose, Serve and Barrier. Only after ErrUnknown may a command be applied later.
var (
	ErrClosed            = errors.New("control group: this member is closed")
	ErrOutcomeUnknown    = consensus.ErrOutcomeUnknown
	ErrBusy              = consensus.ErrBusy
	ErrMembershipRefused = consensus.ErrInvalidMembershipChange
	ErrProposalLost      = consensus.ErrSuperseded
	// ErrDataDirReplaced stops a first voter whose data folder is new although the group knows it from another one.
	ErrDataDirReplaced = consensus.ErrIDMismatch
)

// NotLeaderError means that the command was not proposed, because this member does not lead.
type NotLeaderError = consensus.NotLeaderError
