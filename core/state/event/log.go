package event

import "go.uber.org/zap"

// Log writes the events of one process as structured log lines.
type Log struct {
	logger *zap.Logger
	clock  *Clock
}

// Config configures a Log.
type Config struct {
	Process string // name of the process, written with each event and shown in the timeline
	Logger  *zap.Logger
	Clock   *Clock
}

// New returns a Log that writes to cfg.Logger.
func New(cfg Config) *Log {
	return &Log{logger: cfg.Logger.With(zap.String("process", cfg.Process)), clock: cfg.Clock}
}

// Emit writes an event at level info, with its number and a timestamp before the given fields.
func (l *Log) Emit(kind Kind, fields ...zap.Field) {
	common := []zap.Field{zap.Int("event", int(kind)), zap.String("stamp", l.clock.Next().String())}
	l.logger.Info(kind.String(), append(common, fields...)...)
}

// Clock returns the clock that timestamps the events, for timestamps that are sent to other processes.
func (l *Log) Clock() *Clock {
	return l.clock
}
