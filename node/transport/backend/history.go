package backend

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
	"pollenhill.example/node/coordination/instance"
)

// historyTimeout limits one access to InstanceHistory: a back end waits a second for the response to its report.
const historyTimeout = 900 * time.Millisecond

// maxRecordedEnds bounds the ends that are known to be in InstanceHistory; after that they are recorded again.
const maxRecordedEnds = 256

// InstanceHistory keeps the ends of the instances beside this node while the node restarts; *control.Client implements it.
type InstanceHistory interface {
	RecordEnd(ctx context.Context, id string, startMillis int64) error
	EndOf(ctx context.Context, id string) (startMillis int64, ended bool, err error)
}

// Heartbeat applies a heartbeat of an instance; once it returns nil, every later attempt is subject to it, also after a
// restart of the node. With an error, the instance must not count the heartbeat as acknowledged.
func (b *Backend) Heartbeat(ctx context.Context, msg instance.Heartbeat) error {
	if msg.Draining {
		b.updateInstance(msg)
		return b.recordEnd(ctx, msg.ID)
	}
	b.mu.Lock()
	needed := b.instance.HeartbeatNeedsHistory(time.Now(), msg)
	b.mu.Unlock()
	if needed {
		if err := b.learnHistory(ctx, msg.ID); err != nil {
			return err
		}
	}
	b.updateInstance(msg)
	return nil
}

// Deregister removes an instance; once it returns nil, no later attempt reaches the instance, also after a restart of the
// node. With an error, the instance must not count the call as acknowledged.
func (b *Backend) Deregister(ctx context.Context, id string) error {
	b.updateInstance(instance.Deregister{ID: id})
	return b.recordEnd(ctx, id)
}

// recordEnd makes History keep the end of an instance, unless the instance has not ended or History keeps it already.
func (b *Backend) recordEnd(ctx context.Context, id string) error {
	if b.cfg.History == nil {
		return nil
	}
	b.mu.Lock()
	start, ended := b.instance.EndOf(id)
	recorded, ok := b.recordedEnds[id]
	b.mu.Unlock()
	if !ended || ok && recorded >= start {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	err := b.cfg.History.RecordEnd(ctx, id, start)
	b.cfg.Events.Emit(event.BackendEndRecorded, zap.String("backend", id), zap.Int64("start", start), zap.Error(err))
	if err != nil {
		return errors.Wrapf(err, "record the end of %s", id)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.recordedEnds) >= maxRecordedEnds {
		clear(b.recordedEnds)
	}
	b.recordedEnds[id] = start
	return nil
}

// learnHistory asks History whether an instance has ended and applies the answer.
func (b *Backend) learnHistory(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	start, ended, err := b.cfg.History.EndOf(ctx, id)
	if ended || err != nil {
		b.cfg.Events.Emit(event.BackendHistoryRead, zap.String("backend", id), zap.Bool("ended", ended), zap.Int64("start", start), zap.Error(err))
	}
	if err != nil {
		return errors.Wrapf(err, "ask whether %s has ended", id)
	}
	b.updateInstance(instance.HistoryLearned{ID: id, Ended: ended, StartMillis: start})
	return nil
}
