package disk

import (
	"io"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// FS is the part of a file system that the log needs; file content is durable after File.Sync, names after SyncDir.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(dir string) error
	// Create opens a new or emptied file for writing.
	Create(path string) (File, error)
	// ReadFile returns the content of a file.
	ReadFile(path string) ([]byte, error)
	// ListDir returns the names in a folder in order.
	ListDir(dir string) ([]string, error)
	// Rename replaces the new name atomically.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncDir makes the names of a folder durable.
	SyncDir(dir string) error
	// LockDir keeps other processes out of a folder until the closer is closed.
	LockDir(dir string) (io.Closer, error)
}

// File is an open file that is written from front to back.
type File interface {
	io.WriteCloser
	// Sync makes everything written durable; after an error the file must not be used.
	Sync() error
}

// TempSuffix marks files that are being written and have no content to keep.
const TempSuffix = ".tmp"

// WriteAtomic writes a file under a temporary name, syncs it, renames it and syncs the folder; the open file is returned for appending.
func WriteAtomic(fs FS, path string, content []byte) (File, error) {
	f, err := fs.Create(path + TempSuffix)
	if err != nil {
		return nil, errors.Wrapf(err, "create %s", path)
	}
	if err := fill(fs, f, path, content); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return f, nil
}

func fill(fs FS, f File, path string, content []byte) error {
	if _, err := f.Write(content); err != nil {
		return errors.Wrapf(err, "write %s", path)
	}
	if err := f.Sync(); err != nil {
		return errors.Wrapf(err, "sync %s", path)
	}
	if err := fs.Rename(path+TempSuffix, path); err != nil {
		return errors.Wrapf(err, "rename %s", path)
	}
	return errors.Wrapf(fs.SyncDir(filepath.Dir(path)), "sync folder of %s", path)
}
