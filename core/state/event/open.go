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

// Bounds of the event files, so that events never fill the disk, which also holds the state of the control process.
const (
	maxFileMegabytes = 16
	maxRotatedFiles  = 3 // older event files that are kept
)

// StdoutPath is the path that makes Open write to standard output.
const StdoutPath = "-"

// Open returns a Log that writes JSON lines and a function that closes it. The lines go to standard error if path is empty,
// to standard output if it is StdoutPath, else to the file at path, which is rotated by size. Lines to standard output are
// dropped if nobody reads them.
func Open(process, path string) (*Log, func() error, error) {
	var w io.Writer = os.Stderr
	closeLog := func() error { return nil }
	switch path {
	case "":
	case StdoutPath:
		stdout := newAsyncWriter(os.Stdout)
		w, closeLog = stdout, stdout.close
	default:
		if err := checkWritable(path); err != nil {
			return nil, nil, err
		}
		file := &lumberjack.Logger{Filename: path, MaxSize: maxFileMegabytes, MaxBackups: maxRotatedFiles}
		w, closeLog = file, file.Close
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(w), zap.InfoLevel)
	return New(Config{Process: process, Logger: zap.New(core), Clock: NewClock(time.Now)}), closeLog, nil
}

// checkWritable returns an error if the file cannot be opened for appending, because zap ignores errors of later writes.
func checkWritable(path string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND|os.O_CREATE, 0o600)
	if err != nil {
		return errors.Wrap(err, "open event file")
	}
	return errors.Wrap(f.Close(), "open event file")
}
