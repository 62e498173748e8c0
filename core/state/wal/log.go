package wal

import (
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/disk"
)

// Log is the open log of a data folder; it is not safe for concurrent use.
type Log struct {
	cfg        Config
	lock       io.Closer
	file       disk.File
	chain      uint32
	generation uint64
	snapshot   uint64
	size       int
	err        error
}

// Config places a Log.
type Config struct {
	FS  disk.FS
	Dir string
}

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
)

// ErrEmpty means that the data folder holds no log.
var ErrEmpty = errors.New("data folder is empty")

// Open reads the data folder; with an empty one it returns ErrEmpty and a Log on which only Reset may be called.
//
// The log is written anew before it is used: what a process reads after a failed sync may still be only in
// memory of the system, and the torn end of the last write is dropped the same way.
func Open(cfg Config) (*Log, Content, error) {
	if err := cfg.FS.MkdirAll(cfg.Dir); err != nil {
		return nil, Content{}, errors.Wrapf(err, "make %s", cfg.Dir)
	}
	lock, err := cfg.FS.LockDir(cfg.Dir)
	if err != nil {
		return nil, Content{}, err
	}
	l := &Log{cfg: cfg, lock: lock}
	c, err := l.load()
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

func (l *Log) load() (Content, error) {
	names, err := l.cfg.FS.ListDir(l.cfg.Dir)
	if err != nil {
		return Content{}, errors.Wrapf(err, "list %s", l.cfg.Dir)
	}
	newest, others := "", 0
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, disk.TempSuffix):
		case strings.HasPrefix(name, logPrefix):
			newest = name
		case strings.HasPrefix(name, snapshotPrefix):
			others++
		}
	}
	if newest == "" && others > 0 {
		return Content{}, errors.Wrapf(ErrCorrupt, "%s has snapshots but no log", l.cfg.Dir)
	}
	if newest == "" {
		return Content{}, ErrEmpty
	}
	return l.read(newest)
}

func (l *Log) read(name string) (Content, error) {
	path := filepath.Join(l.cfg.Dir, name)
	generation, err := strconv.ParseUint(strings.TrimPrefix(name, logPrefix), 16, 64)
	if err != nil {
		return Content{}, errors.Wrapf(ErrCorrupt, "name %s", path)
	}
	l.generation = generation
	raw, err := l.cfg.FS.ReadFile(path)
	if err != nil {
		return Content{}, errors.Wrapf(err, "read %s", path)
	}
	c, _, err := Decode(raw)
	if err != nil {
		return Content{}, errors.Wrapf(err, "read %s", path)
	}
	if c.Snapshot.Index == 0 {
		return c, nil
	}
	c.Snapshot, err = l.readSnapshot(c.Snapshot)
	return c, err
}

func (l *Log) readSnapshot(want Snapshot) (Snapshot, error) {
	path := l.path(snapshotPrefix, want.Index)
	raw, err := l.cfg.FS.ReadFile(path)
	if err != nil {
		return Snapshot{}, errors.Wrapf(err, "read %s", path)
	}
	s, err := decodeSnapshot(raw)
	if err != nil {
		return Snapshot{}, errors.Wrapf(err, "read %s", path)
	}
	if s.Index != want.Index || s.Term != want.Term {
		return Snapshot{}, errors.Wrapf(ErrCorrupt, "%s is of index %d term %d, the log starts from index %d term %d",
			path, s.Index, s.Term, want.Index, want.Term)
	}
	l.snapshot = s.Index
	return s, nil
}

func (l *Log) path(prefix string, number uint64) string {
	return filepath.Join(l.cfg.Dir, fmt.Sprintf("%s%016x", prefix, number))
}

// Append writes the state and the entries and syncs them; an entry with an index that exists replaces it
// and all after it. After an error the Log refuses everything.
func (l *Log) Append(state HardState, entries []Entry) error {
	if l.err != nil {
		return l.err
	}
	frame, chain := appendFrame(nil, l.chain, encodeBatch(state, entries))
	if _, err := l.file.Write(frame); err != nil {
		return l.fail(errors.Wrap(err, "write log"))
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(errors.Wrap(err, "sync log"))
	}
	l.chain = chain
	l.size += len(frame)
	return nil
}

func (l *Log) fail(err error) error {
	l.err = errors.Wrap(err, l.cfg.Dir)
	return l.err
}

// Replace replaces the whole content; the old one stays valid until the new one is durable.
func (l *Log) Replace(c Content) error {
	if l.err != nil {
		return l.err
	}
	if err := l.reset(c); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) reset(c Content) error {
	if c.Snapshot.Index != l.snapshot {
		if err := l.writeSnapshot(c.Snapshot); err != nil {
			return err
		}
	}
	raw, chain := encodeLog(c)
	file, err := disk.WriteAtomic(l.cfg.FS, l.path(logPrefix, l.generation+1), raw)
	if err != nil {
		return err
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errors.Wrap(err, "close log")
		}
	}
	l.file, l.chain, l.size = file, chain, len(raw)
	l.generation++
	l.snapshot = c.Snapshot.Index
	return l.clean()
}

func (l *Log) writeSnapshot(s Snapshot) error {
	file, err := disk.WriteAtomic(l.cfg.FS, l.path(snapshotPrefix, s.Index), encodeSnapshot(s))
	if err != nil {
		return err
	}
	return errors.Wrap(file.Close(), "close snapshot")
}

// clean removes files that the newest log does not use.
func (l *Log) clean() error {
	names, err := l.cfg.FS.ListDir(l.cfg.Dir)
	if err != nil {
		return errors.Wrap(err, "list")
	}
	log, snapshot := l.path(logPrefix, l.generation), l.path(snapshotPrefix, l.snapshot)
	for _, name := range names {
		path := filepath.Join(l.cfg.Dir, name)
		ours := strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix)
		if !ours || path == log || path == snapshot {
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

// Close closes the files and lets another process open the folder.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if l.err == nil {
		l.err = errors.New("log is closed")
	}
	return errors.Wrap(errors.CombineErrors(err, l.lock.Close()), "close log")
}
