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

func (e *Engine) apply(entries []wal.Entry) error {
	e.cfg.ReplicaLock.Lock()
	defer e.cfg.ReplicaLock.Unlock()
	for _, entry := range entries {
		cmd, err := command(entry)
		if err != nil {
			return errors.Wrapf(err, "apply entry %d", entry.Index)
		}
		e.answer(entry, e.replica.Apply(entry.Index, cmd))
	}
	return nil
}

// command returns what an entry means to the replica; entries of the consensus only move its index.
func command(entry wal.Entry) (replica.Command, error) {
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

func (e *Engine) answer(entry wal.Entry, res replica.Result) {
	for _, w := range e.waiting[entry.Index] {
		if w.term == entry.Term {
			e.done(w.token-e.salt, res, nil)
			continue
		}
		e.done(w.token-e.salt, replica.Result{}, ErrSuperseded)
	}
	delete(e.waiting, entry.Index)
}

// install replaces the replica by a snapshot of the leader; what was proposed before it has an unknown outcome.
func (e *Engine) install(s wal.Snapshot) error {
	if err := e.restore(s); err != nil {
		return err
	}
	for _, index := range slices.Sorted(maps.Keys(e.waiting)) {
		if index > s.Index {
			continue
		}
		for _, w := range e.waiting[index] {
			e.done(w.token-e.salt, replica.Result{}, ErrOutcomeUnknown)
		}
		delete(e.waiting, index)
	}
	return nil
}

func (e *Engine) restore(s wal.Snapshot) error {
	r, err := replica.Restore(e.cfg.Replica, s.Data)
	if err != nil {
		return err
	}
	if r.Applied() != s.Index {
		return errors.Newf("snapshot of index %d holds the state of index %d", s.Index, r.Applied())
	}
	e.size = len(s.Data)
	e.cfg.ReplicaLock.Lock()
	defer e.cfg.ReplicaLock.Unlock()
	e.replica = r
	return nil
}

func (e *Engine) finishReads() {
	e.reads = slices.DeleteFunc(e.reads, func(w waiter) bool {
		if e.replica.Applied() < w.index {
			return false
		}
		e.done(w.token-e.salt, replica.Result{Index: w.index}, nil)
		return true
	})
}

// compact takes a snapshot when the log has grown enough.
func (e *Engine) compact(now time.Time) []raft.Cmd {
	applied := e.replica.Applied()
	grown := applied - e.model.View(now).SnapshotIndex
	due := grown >= e.cfg.SnapshotMinEntries && e.log.Size() >= e.size || grown >= SnapshotMaxEntriesFactor*e.cfg.SnapshotMinEntries
	if !due && (e.log.Size() < SnapshotMaxLogBytes || grown == 0) {
		return nil
	}
	e.cfg.ReplicaLock.Lock()
	data := e.replica.Snapshot()
	e.cfg.ReplicaLock.Unlock()
	e.size = len(data)
	return e.model.Update(now, raft.Compact{Index: applied, Data: data})
}
