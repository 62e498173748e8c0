package consensus

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/wal"
)

func (e *Engine) applyEntries(entries []wal.Entry) error {
	e.cfg.ReplicaLock.Lock()
	defer e.cfg.ReplicaLock.Unlock()
	for _, entry := range entries {
		cmd, err := commandOf(entry)
		if err != nil {
			return errors.Wrapf(err, "apply entry %d", entry.Index)
		}
		e.resolveProposals(entry, e.replica.Apply(entry.Index, cmd))
	}
	return nil
}

// commandOf returns the replica command of an entry. Entries without one decode to a command that only advances the applied
// index.
func commandOf(entry wal.Entry) (replica.Command, error) {
	data := entry.Data
	if entry.Kind == raft.EntryMembership {
		_, cmd, err := raft.DecodeMembership(entry.Data)
		if err != nil {
			return replica.Command{}, err
		}
		data = cmd
	}
	return replica.DecodeCommand(data)
}

// resolveProposals reports the outcome of the proposals at the index of an applied entry. Those of another term were
// superseded by that entry.
func (e *Engine) resolveProposals(entry wal.Entry, res replica.Result) {
	for _, r := range e.pendingProposals[entry.Index] {
		if r.term == entry.Term {
			e.addOutcome(r.token-e.tokenOffset, res, nil)
			continue
		}
		e.addOutcome(r.token-e.tokenOffset, replica.Result{}, ErrSuperseded)
	}
	delete(e.pendingProposals, entry.Index)
}

// installSnapshot replaces the replica by a snapshot from the leader. Proposals at the indexes it covers have an unknown
// outcome.
func (e *Engine) installSnapshot(s wal.Snapshot) error {
	if err := e.restoreReplica(s); err != nil {
		return err
	}
	for _, index := range slices.Sorted(maps.Keys(e.pendingProposals)) {
		if index > s.Index {
			continue
		}
		for _, r := range e.pendingProposals[index] {
			e.addOutcome(r.token-e.tokenOffset, replica.Result{}, ErrOutcomeUnknown)
		}
		delete(e.pendingProposals, index)
	}
	return nil
}

func (e *Engine) restoreReplica(s wal.Snapshot) error {
	r, err := replica.Restore(e.cfg.Replica, s.Data)
	if err != nil {
		return err
	}
	if r.AppliedIndex() != s.Index {
		return errors.Newf("snapshot at index %d contains the state at index %d", s.Index, r.AppliedIndex())
	}
	e.snapshotSize = len(s.Data)
	e.cfg.ReplicaLock.Lock()
	defer e.cfg.ReplicaLock.Unlock()
	e.replica = r
	return nil
}

func (e *Engine) finishReads() {
	e.pendingReads = slices.DeleteFunc(e.pendingReads, func(r pendingRequest) bool {
		if e.replica.AppliedIndex() < r.index {
			return false
		}
		e.addOutcome(r.token-e.tokenOffset, replica.Result{Index: r.index}, nil)
		return true
	})
}

// takeSnapshotIfDue takes a snapshot if the log has reached one of the snapshot limits.
func (e *Engine) takeSnapshotIfDue(now time.Time) []raft.Cmd {
	applied := e.replica.AppliedIndex()
	newEntries := applied - e.model.View(now).SnapshotIndex
	enough := newEntries >= e.cfg.SnapshotMinEntries || newEntries > 0 && e.log.Size() >= SnapshotMaxLogBytes
	due := enough && e.log.Size() >= e.snapshotSize || newEntries >= SnapshotMaxEntriesFactor*e.cfg.SnapshotMinEntries
	if !due {
		return nil
	}
	e.cfg.ReplicaLock.Lock()
	data := e.replica.Snapshot()
	e.cfg.ReplicaLock.Unlock()
	e.snapshotSize = len(data)
	return e.model.Update(now, raft.Compact{Index: applied, Data: data})
}
