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

// MkdirAll creates a folder and its parents and makes the last name durable.
func (Real) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return Real{}.SyncDir(filepath.Dir(filepath.Clean(dir)))
}

// Create opens a new or emptied file for writing.
func (Real) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// ReadFile returns the content of a file.
func (Real) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ListDir returns the names in a folder in order.
func (Real) ListDir(dir string) ([]string, error) {
	list, err := os.ReadDir(dir)
	return lo.Map(list, func(e os.DirEntry, _ int) string { return e.Name() }), err
}

// Rename replaces the new name atomically.
func (Real) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (Real) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the names of a folder durable.
func (Real) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}

// LockDir takes an exclusive lock on a folder; it is released when the process ends.
func (Real) LockDir(dir string) (io.Closer, error) {
	d, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(d.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "lock %s: another process uses it", dir), d.Close())
	}
	return d, nil
}
