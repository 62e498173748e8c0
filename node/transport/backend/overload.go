package backend

import (
	"go.uber.org/zap"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/event"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/protocol/message"
)

// overloadLogsPerSecond limits the events about overload of the local back end.
const overloadLogsPerSecond = 1

// logOverload logs which requests have given way so far, after one that did: what was refused by class, and what started
// late in free slots.
func (b *Backend) logOverload(a message.Attempt, r destination.Refuse) {
	if r.Reason != refusal.AtCapacity && r.Reason != refusal.TooLate {
		return
	}
	v := b.cfg.Engine.View().Admission
	if v.CostCounts == (admission.CostCounts{}) {
		return // the rules do not ask for admission by cost
	}
	fields, ok := b.overloadLog.Allow()
	if !ok {
		return
	}
	for class, n := range v.CostCounts.Shed {
		fields = append(fields, zap.Uint64(admission.ShedClassNames[class], n))
	}
	fields = append(fields, zap.Uint64("late", v.CostCounts.StartedLate), zap.String("service", a.Service),
		zap.Int("inflight", v.Hint.Inflight), zap.Int("queued", v.Hint.Queued), zap.Int("limit", v.Hint.Limit),
		zap.Float64("pace", v.Hint.Slowdown))
	b.cfg.Events.Emit(event.RequestsShed, fields...)
}
