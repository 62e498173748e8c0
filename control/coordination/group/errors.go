package group

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/engine"
)

// Errors of Propose, Serve and Barrier. Only after ErrUnknown may a command be applied later.
var (
	ErrClosed  = errors.New("control group: this member is closed")
	ErrUnknown = engine.ErrUnknown
	ErrBusy    = engine.ErrBusy
	ErrRefused = engine.ErrRefused
	ErrLost    = engine.ErrLost
	// ErrReplaced stops a first voter whose data folder is new although the group knows it from another one.
	ErrReplaced = engine.ErrReplaced
)

// NotLeader means that the command was not proposed, because this member does not lead.
type NotLeader = engine.NotLeader
