package disk

import (
	"bytes"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// sectorSize is the unit in which a torn write reaches the disk, in bytes.
const sectorSize = 512

// Fake is an in-memory file system that loses unsynced data in a crash and fails on request. It is not safe for concurrent
// use, except for LimitSpace and FailSyncAfter.
type Fake struct {
	rand              *rand.Rand
	files             map[string]*inode
	durableFiles      map[string]*inode
	unsyncedChanges   []nameChange // name changes since the last SyncDir, oldest first
	mu                sync.Mutex   // guards freeBytes and syncsUntilFailure, which a test sets while a process writes
	freeBytes         int          // bytes that can still be written; negative: no limit
	syncsUntilFailure int          // syncs that succeed before one fails; negative: none fails
	lockedDirs        map[string]bool
}

type inode struct {
	content    []byte
	synced     []byte
	syncFailed bool // a sync failed; as on Linux, later syncs return no error but do not write the lost pages
}

// nameChange creates, renames or removes a file; it runs on the current files at once and on the durable ones in a crash.
type nameChange func(files map[string]*inode)

// NewFake returns an empty file system that draws the effects of crashes and bit flips from r.
func NewFake(r *rand.Rand) *Fake {
	return &Fake{
		rand: r, files: map[string]*inode{}, durableFiles: map[string]*inode{},
		freeBytes: -1, syncsUntilFailure: -1, lockedDirs: map[string]bool{},
	}
}

// LimitSpace lets n more bytes be written before writes fail with ENOSPC; a negative n removes the limit.
func (d *Fake) LimitSpace(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeBytes = n
}

// FailSyncAfter lets n more syncs succeed and the next one fail with EIO; a negative n removes the failure.
func (d *Fake) FailSyncAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncsUntilFailure = n
}

// Wipe removes all files and faults, as if the disk was replaced.
func (d *Fake) Wipe() {
	*d = *NewFake(d.rand)
}

// DurableCopy returns a new file system that holds only the names and the content that survive any crash.
func (d *Fake) DurableCopy() *Fake {
	kept := NewFake(d.rand)
	for path, n := range d.durableFiles {
		c := &inode{content: slices.Clone(n.synced), synced: slices.Clone(n.synced)}
		kept.files[path], kept.durableFiles[path] = c, c
	}
	return kept
}

// KillProcess simulates the end of the process without a crash of the VM: unsynced data is kept, locks and faults are removed.
func (d *Fake) KillProcess() {
	d.lockedDirs = map[string]bool{}
	d.LimitSpace(-1)
	d.FailSyncAfter(-1)
}

// CrashVM simulates a crash of the VM. Of the unsynced name changes a random prefix is kept; the unsynced content of each
// file is lost, kept, truncated or torn at random.
func (d *Fake) CrashVM() {
	d.KillProcess()
	for _, change := range d.unsyncedChanges[:d.rand.IntN(len(d.unsyncedChanges)+1)] {
		change(d.durableFiles)
	}
	d.unsyncedChanges = nil
	d.files = maps.Clone(d.durableFiles)
	for _, path := range slices.Sorted(maps.Keys(d.files)) {
		d.files[path].loseUnsynced(d.rand)
	}
}

func (n *inode) loseUnsynced(r *rand.Rand) {
	kept := slices.Clone(n.synced)
	if !n.syncFailed && len(n.content) > len(n.synced) {
		kept = contentAfterCrash(r, n.content, len(n.synced))
	}
	*n = inode{content: kept, synced: slices.Clone(kept)}
}

// contentAfterCrash returns what a crash leaves of a file whose first synced bytes are durable.
func contentAfterCrash(r *rand.Rand, data []byte, synced int) []byte {
	cut := synced + r.IntN(len(data)-synced+1)
	switch r.IntN(4) {
	case 0:
		cut = synced
	case 1:
		cut = len(data)
	case 2: // the file has its full length, but sectors from the cut on read as zeros
		torn := slices.Clone(data)
		clear(torn[max(synced, cut-cut%sectorSize):])
		return torn
	}
	return slices.Clone(data[:cut])
}

// FlipRandomBit inverts one random bit of a file whose name has the given prefix. It returns false if there is no such file
// with content.
func (d *Fake) FlipRandomBit(prefix string) bool {
	paths := slices.DeleteFunc(slices.Sorted(maps.Keys(d.files)), func(path string) bool {
		return !strings.HasPrefix(filepath.Base(path), prefix) || len(d.files[path].content) == 0
	})
	if len(paths) == 0 {
		return false
	}
	n := d.files[paths[d.rand.IntN(len(paths))]]
	at, bit := d.rand.IntN(len(n.content)), byte(1)<<d.rand.IntN(8)
	n.content[at] ^= bit
	if at < len(n.synced) {
		n.synced[at] ^= bit
	}
	return true
}

// MkdirAll does nothing, because directories exist implicitly.
func (d *Fake) MkdirAll(string) error { return nil }

// Create creates or truncates a file and opens it for writing.
func (d *Fake) Create(path string) (File, error) {
	n := &inode{}
	d.changeNames(func(files map[string]*inode) { files[path] = n })
	return &fakeFile{fs: d, inode: n}, nil
}

func (d *Fake) changeNames(change nameChange) {
	change(d.files)
	d.unsyncedChanges = append(d.unsyncedChanges, change)
}

// Open opens a file for reading; what is written to the file afterwards is not read.
func (d *Fake) Open(path string) (io.ReadSeekCloser, error) {
	n, ok := d.files[path]
	if !ok {
		return nil, errors.Wrapf(os.ErrNotExist, "open %s", path)
	}
	return fakeReader{bytes.NewReader(n.content)}, nil
}

type fakeReader struct{ *bytes.Reader }

func (fakeReader) Close() error { return nil }

// ReadFile returns the whole content of a file.
func (d *Fake) ReadFile(path string) ([]byte, error) {
	n, ok := d.files[path]
	if !ok {
		return nil, errors.Wrapf(os.ErrNotExist, "read %s", path)
	}
	return slices.Clone(n.content), nil
}

// ListDir returns the names in a directory, sorted.
func (d *Fake) ListDir(dir string) ([]string, error) {
	var names []string
	for path := range d.files {
		if filepath.Dir(path) == filepath.Clean(dir) {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Rename renames a file and atomically replaces a file with the new name.
func (d *Fake) Rename(from, to string) error {
	if _, ok := d.files[from]; !ok {
		return errors.Wrapf(os.ErrNotExist, "rename %s", from)
	}
	d.changeNames(func(files map[string]*inode) {
		if n, ok := files[from]; ok {
			files[to] = n
			delete(files, from)
		}
	})
	return nil
}

// Remove deletes a file.
func (d *Fake) Remove(path string) error {
	if _, ok := d.files[path]; !ok {
		return errors.Wrapf(os.ErrNotExist, "remove %s", path)
	}
	d.changeNames(func(files map[string]*inode) { delete(files, path) })
	return nil
}

// SyncDir makes the names in all directories durable.
func (d *Fake) SyncDir(string) error {
	if d.takeSyncFailure() {
		return syscall.EIO
	}
	d.durableFiles = maps.Clone(d.files)
	d.unsyncedChanges = nil
	return nil
}

// takeSyncFailure counts one sync and reports whether it has to fail.
func (d *Fake) takeSyncFailure() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.syncsUntilFailure < 0 {
		return false
	}
	d.syncsUntilFailure--
	return d.syncsUntilFailure < 0
}

// LockDir takes an exclusive lock on a directory; closing the result or KillProcess releases it.
func (d *Fake) LockDir(dir string) (io.Closer, error) {
	if d.lockedDirs[dir] {
		return nil, errors.Newf("lock %s: another process holds the lock", dir)
	}
	d.lockedDirs[dir] = true
	return fakeLock{d, dir}, nil
}

type fakeLock struct {
	fs  *Fake
	dir string
}

func (l fakeLock) Close() error {
	delete(l.fs.lockedDirs, l.dir)
	return nil
}

type fakeFile struct {
	fs    *Fake
	inode *inode
}

func (f *fakeFile) Write(b []byte) (int, error) {
	n := f.fs.takeSpace(len(b))
	f.inode.content = append(f.inode.content, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// takeSpace subtracts up to n bytes from the free space and returns how many of them can be written.
func (d *Fake) takeSpace(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.freeBytes >= 0 {
		n = min(n, d.freeBytes)
		d.freeBytes -= n
	}
	return n
}

func (f *fakeFile) Sync() error {
	if f.fs.takeSyncFailure() {
		f.inode.syncFailed = true
		return syscall.EIO
	}
	if !f.inode.syncFailed {
		f.inode.synced = append(f.inode.synced, f.inode.content[len(f.inode.synced):]...)
	}
	return nil
}

func (f *fakeFile) Close() error { return nil }
