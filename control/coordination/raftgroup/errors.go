package raftgroup

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/consensus"
)

// Errors of Propose, ProposeForwarded and Barrier. After ErrOutcomeUnknown the command may still be applied; after every other
// error it is not.
var (
	ErrClosed                  = errors.New("control group: this member is closed")
	ErrOutcomeUnknown          = consensus.ErrOutcomeUnknown
	ErrBusy                    = consensus.ErrBusy
	ErrInvalidMembershipChange = consensus.ErrInvalidMembershipChange
	ErrSuperseded              = consensus.ErrSuperseded
	// ErrDataDirReplaced stops an initial voter whose data folder is new although the group knows its earlier folder.
	ErrDataDirReplaced = consensus.ErrIDMismatch
)

// NotLeaderError reports that the command was not proposed because this member is not the leader.
type NotLeaderError = consensus.NotLeaderError
