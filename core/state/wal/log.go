package wal

import (
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/disk"
	"pollenhill.example/core/state/protofield"
)

// Log is the open write-ahead log of a data folder. It is not safe for concurrent use.
//
// A data folder holds one log file and, unless the log starts at index 1, the snapshot file that precedes it. Replace writes
// a log file of the next generation, which supersedes the older ones as soon as it has its name.
type Log struct {
	cfg           Config
	lock          io.Closer
	file          disk.File
	checksum      uint32 // of all frames of file
	generation    uint64 // number in the name of file
	snapshotIndex uint64 // of the snapshot file in use, 0 for none
	size          int    // of file, in bytes
	failure       error  // first error of a write; all later writes return it
}

// Config says where a Log is stored.
type Config struct {
	FS  disk.FS
	Dir string
}

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
)

// ErrEmpty means that the data folder holds no log, as for a new member.
var ErrEmpty = errors.New("data folder is empty")

// Open locks the data folder and returns its log and content. If the folder is empty, it returns ErrEmpty and a Log on which
// Replace must be called first. Other errors are ErrCorrupt, ErrUnsupportedFormat and those of the file system.
//
// Open rewrites the log before it is used. After a failed sync, what a new process reads may exist only in the page cache and
// not on the disk; writing it again makes it durable. It also drops the torn end of the last write.
func Open(cfg Config) (*Log, Content, error) {
	if err := cfg.FS.MkdirAll(cfg.Dir); err != nil {
		return nil, Content{}, errors.Wrapf(err, "create directory %s", cfg.Dir)
	}
	lock, err := cfg.FS.LockDir(cfg.Dir)
	if err != nil {
		return nil, Content{}, err
	}
	l := &Log{cfg: cfg, lock: lock}
	c, err := l.loadNewest()
	if errors.Is(err, ErrEmpty) {
		return l, c, err
	}
	if err == nil {
		err = l.Replace(c)
	}
	if err != nil {
		return nil, Content{}, errors.CombineErrors(err, lock.Close())
	}
	return l, c, nil
}

func (l *Log) loadNewest() (Content, error) {
	names, err := l.cfg.FS.ListDir(l.cfg.Dir)
	if err != nil {
		return Content{}, errors.Wrapf(err, "list directory %s", l.cfg.Dir)
	}
	newest, snapshots := "", 0
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, disk.TempSuffix):
		case strings.HasPrefix(name, logPrefix):
			newest = name
		case strings.HasPrefix(name, snapshotPrefix):
			snapshots++
		}
	}
	if newest == "" && snapshots > 0 {
		return Content{}, errors.Wrapf(ErrCorrupt, "%s has a snapshot file but no log file", l.cfg.Dir)
	}
	if newest == "" {
		return Content{}, ErrEmpty
	}
	return l.readLog(newest)
}

func (l *Log) readLog(name string) (Content, error) {
	path := filepath.Join(l.cfg.Dir, name)
	generation, err := strconv.ParseUint(strings.TrimPrefix(name, logPrefix), 16, 64)
	if err != nil {
		return Content{}, errors.Wrapf(ErrCorrupt, "name of log file %s has no hexadecimal generation", path)
	}
	l.generation = generation
	file, err := l.cfg.FS.Open(path)
	if err != nil {
		return Content{}, errors.Wrapf(err, "open log file %s", path)
	}
	c, _, err := Decode(file)
	if err = errors.CombineErrors(err, file.Close()); err != nil {
		return Content{}, errors.Wrapf(err, "read log file %s", path)
	}
	if c.Snapshot.Index == 0 {
		return c, nil
	}
	c.Snapshot, err = l.readSnapshot(c.Snapshot)
	return c, err
}

func (l *Log) readSnapshot(want Snapshot) (Snapshot, error) {
	path := l.filePath(snapshotPrefix, want.Index)
	file, err := l.cfg.FS.Open(path)
	if err != nil {
		return Snapshot{}, errors.Wrapf(err, "open snapshot file %s", path)
	}
	s, err := decodeSnapshotFile(file)
	if err = errors.CombineErrors(err, file.Close()); err != nil {
		return Snapshot{}, errors.Wrapf(err, "read snapshot file %s", path)
	}
	if s.Index != want.Index || s.Term != want.Term {
		return Snapshot{}, errors.Wrapf(ErrCorrupt, "snapshot file %s has index %d and term %d, the log starts after index %d and term %d",
			path, s.Index, s.Term, want.Index, want.Term)
	}
	l.snapshotIndex = s.Index
	return s, nil
}

func (l *Log) filePath(prefix string, number uint64) string {
	return filepath.Join(l.cfg.Dir, fmt.Sprintf("%s%016x", prefix, number))
}

// Append writes the hard state and the entries and syncs them. An entry whose index exists replaces the old one and all
// entries after it. After an error all further writes return that error, because the end of the file is unknown.
func (l *Log) Append(state HardState, entries []Entry) error {
	if l.failure != nil {
		return l.failure
	}
	var body protofield.Writer
	writeBatch(&body, state, entries)
	frame, checksum := appendFrame(nil, l.checksum, body.Encoded())
	if _, err := l.file.Write(frame); err != nil {
		return l.markFailed(errors.Wrap(err, "write log file"))
	}
	if err := l.file.Sync(); err != nil {
		return l.markFailed(errors.Wrap(err, "sync log file"))
	}
	l.checksum = checksum
	l.size += len(frame)
	return nil
}

func (l *Log) markFailed(err error) error {
	l.failure = errors.Wrap(err, l.cfg.Dir)
	return l.failure
}

// Replace replaces the whole content. The old content stays valid until the new one is durable. After an error all further
// writes return that error.
func (l *Log) Replace(c Content) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.replaceFiles(c); err != nil {
		return l.markFailed(err)
	}
	return nil
}

func (l *Log) replaceFiles(c Content) error {
	if c.Snapshot.Index != l.snapshotIndex {
		if err := l.writeSnapshot(c.Snapshot); err != nil {
			return err
		}
	}
	content := &logFile{content: c}
	file, err := disk.WriteAtomic(l.cfg.FS, l.filePath(logPrefix, l.generation+1), content)
	if err != nil {
		return err
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errors.Wrap(err, "close old log file")
		}
	}
	l.file, l.checksum, l.size = file, content.checksum, int(content.size)
	l.generation++
	l.snapshotIndex = c.Snapshot.Index
	return l.removeUnusedFiles()
}

func (l *Log) writeSnapshot(s Snapshot) error {
	file, err := disk.WriteAtomic(l.cfg.FS, l.filePath(snapshotPrefix, s.Index), snapshotFile(s))
	if err != nil {
		return err
	}
	return errors.Wrap(file.Close(), "close snapshot file")
}

// removeUnusedFiles removes older log and snapshot files and temporary files of interrupted writes.
func (l *Log) removeUnusedFiles() error {
	names, err := l.cfg.FS.ListDir(l.cfg.Dir)
	if err != nil {
		return errors.Wrap(err, "list directory")
	}
	logPath, snapshotPath := l.filePath(logPrefix, l.generation), l.filePath(snapshotPrefix, l.snapshotIndex)
	for _, name := range names {
		path := filepath.Join(l.cfg.Dir, name)
		isWALFile := strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix)
		if !isWALFile || path == logPath || path == snapshotPath {
			continue
		}
		if err := l.cfg.FS.Remove(path); err != nil {
			return errors.Wrapf(err, "remove %s", path)
		}
	}
	return nil
}

// Size returns the length of the log file in bytes.
func (l *Log) Size() int { return l.size }

// Close closes the log file and unlocks the data folder. Later writes return an error.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if l.failure == nil {
		l.failure = errors.New("write-ahead log is closed")
	}
	return errors.Wrap(errors.CombineErrors(err, l.lock.Close()), "close write-ahead log")
}
