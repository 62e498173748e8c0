package event

import (
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gopkg.in/natefinch/lumberjack.v2"
)

const (
	maxSize    = 16 // megabytes of one event file
	maxBackups = 3  // older event files kept, so that events never fill the disk that also holds the control state
)

// StdoutPath is the path of events that go to standard output.
const StdoutPath = "-"

// Open returns a Log that appends JSON lines to the file at path, or to standard error if path is empty, and a function that closes it.
func Open(process, path string) (*Log, func() error, error) {
	var w io.Writer = os.Stderr
	closing := func() error { return nil }
	switch path {
	case "":
	case StdoutPath:
		lines := newPipe(os.Stdout)
		w, closing = lines, lines.close
	default:
		if err := writable(path); err != nil {
			return nil, nil, err
		}
		file := &lumberjack.Logger{Filename: path, MaxSize: maxSize, MaxBackups: maxBackups}
		w, closing = file, file.Close
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(w), zap.InfoLevel)
	return New(Config{Process: process, Logger: zap.New(core), Clock: NewClock(time.Now)}), closing, nil
}

// writable fails early, because zap drops write errors.
func writable(path string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND|os.O_CREATE, 0o600)
	if err != nil {
		return errors.Wrap(err, "open event file")
	}
	return errors.Wrap(f.Close(), "open event file")
}

// Clock returns the clock that stamps the events, for stamps that travel between processes.
func (l *Log) Clock() *Clock {
	return l.clock
}
