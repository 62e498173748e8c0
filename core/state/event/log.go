package event

import (
	"go.uber.org/zap"
)

// Log writes numbered events of one process.
type Log struct {
	zap   *zap.Logger
	clock *Clock
}

// Config says where a Log writes.
type Config struct {
	Process string // name of the process in the timeline
	Logger  *zap.Logger
	Clock   *Clock
}

// New returns a Log.
func New(cfg Config) *Log {
	return &Log{zap: cfg.Logger.With(zap.String("process", cfg.Process)), clock: cfg.Clock}
}

// Emit writes one event.
func (l *Log) Emit(kind Kind, fields ...zap.Field) {
	head := []zap.Field{zap.Int("event", int(kind)), zap.String("stamp", l.clock.Next().String())}
	l.zap.Info(kind.String(), append(head, fields...)...)
}
