package disk

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// Real is the file system of the operating system.
type Real struct{}

// MkdirAll creates a directory and its missing parents and syncs the immediate parent, which makes the name of dir durable.
func (Real) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return Real{}.SyncDir(filepath.Dir(filepath.Clean(dir)))
}

// Create creates or truncates a file and opens it for writing.
func (Real) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Open opens a file for reading.
func (Real) Open(path string) (io.ReadSeekCloser, error) { return os.Open(path) }

// ListDir returns the names in a directory, sorted.
func (Real) ListDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	return lo.Map(entries, func(e os.DirEntry, _ int) string { return e.Name() }), err
}

// Rename renames a file and atomically replaces a file with the new name.
func (Real) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (Real) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the names in a directory durable.
func (Real) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}

// LockDir takes an exclusive flock on a directory. Closing the result or the end of the process releases it.
func (Real) LockDir(dir string) (io.Closer, error) {
	d, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(d.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "lock %s: another process holds the lock", dir), d.Close())
	}
	return d, nil
}
