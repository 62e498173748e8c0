package disk

import (
	"bufio"
	"io"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// FS is the subset of a file system that the write-ahead log needs. File content survives a crash of the VM once File.Sync
// has returned, file names once SyncDir has returned.
type FS interface {
	// MkdirAll creates a directory and its missing parents.
	MkdirAll(dir string) error
	// Create creates or truncates a file and opens it for writing.
	Create(path string) (File, error)
	// Open opens a file for reading.
	Open(path string) (io.ReadSeekCloser, error)
	// ListDir returns the names in a directory, sorted.
	ListDir(dir string) ([]string, error)
	// Rename renames a file and atomically replaces a file with the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncDir makes the names in a directory durable: files created, renamed and removed.
	SyncDir(dir string) error
	// LockDir takes an exclusive lock on a directory and returns an error if another process holds it. Closing the result
	// releases the lock.
	LockDir(dir string) (io.Closer, error)
}

// File is an open file that is written sequentially.
type File interface {
	io.WriteCloser
	// Sync makes all written data durable. After an error the data may be lost even if a later Sync succeeds, so the file
	// must not be used any more.
	Sync() error
}

// TempSuffix marks files that WriteAtomic has not renamed yet; a crash can leave them behind, and they can be removed.
const TempSuffix = ".tmp"

// writeBufferSize is how many bytes WriteAtomic collects before it writes them.
const writeBufferSize = 256 << 10

// WriteAtomic creates or replaces the file at path so that a crash leaves either the old or the new content: it writes a
// temporary file, syncs it, renames it and syncs the directory. It returns the file, open for appending.
func WriteAtomic(fs FS, path string, content io.WriterTo) (File, error) {
	f, err := fs.Create(path + TempSuffix)
	if err != nil {
		return nil, errors.Wrapf(err, "create %s", path+TempSuffix)
	}
	if err := writeAndRename(fs, f, path, content); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return f, nil
}

func writeAndRename(fs FS, f File, path string, content io.WriterTo) error {
	w := bufio.NewWriterSize(f, writeBufferSize)
	if _, err := content.WriteTo(w); err != nil {
		return errors.Wrapf(err, "write %s", path+TempSuffix)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrapf(err, "write %s", path+TempSuffix)
	}
	if err := f.Sync(); err != nil {
		return errors.Wrapf(err, "sync %s", path+TempSuffix)
	}
	if err := fs.Rename(path+TempSuffix, path); err != nil {
		return errors.Wrapf(err, "rename %s to %s", path+TempSuffix, path)
	}
	return errors.Wrapf(fs.SyncDir(filepath.Dir(path)), "sync directory of %s", path)
}
