package disk

import (
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

// sector is the unit in which a torn write reaches the disk, in bytes.
const sector = 512

// Fake is a file system in memory that loses what was not synced and fails on request; it is not safe for concurrent use.
type Fake struct {
	rand    *rand.Rand
	names   map[string]*inode
	durable map[string]*inode
	moves   []move     // name changes since the last SyncDir, oldest first
	mu      sync.Mutex // guards space and failing, which a test sets while a process writes
	space   int        // bytes that can still be written, negative: no limit
	failing int        // syncs until one fails, negative: none
	locked  map[string]bool
}

type inode struct {
	data   []byte
	synced []byte
	broken bool // a sync failed; as on Linux, later syncs succeed without writing the lost pages
}

type move func(names map[string]*inode)

// NewFake returns an empty file system whose crashes are drawn from r.
func NewFake(r *rand.Rand) *Fake {
	return &Fake{
		rand: r, names: map[string]*inode{}, durable: map[string]*inode{},
		space: -1, failing: -1, locked: map[string]bool{},
	}
}

// LimitSpace lets n further bytes be written, then writes run out of space; a negative n removes the limit.
func (d *Fake) LimitSpace(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.space = n
}

// FailSyncAfter lets n further syncs succeed and the next one fail.
func (d *Fake) FailSyncAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = n
}

// Wipe removes everything, like a replaced disk.
func (d *Fake) Wipe() {
	*d = *NewFake(d.rand)
}

// DurableCopy returns a file system with only what every crash keeps.
func (d *Fake) DurableCopy() *Fake {
	kept := NewFake(d.rand)
	for path, n := range d.durable {
		c := &inode{data: slices.Clone(n.synced), synced: slices.Clone(n.synced)}
		kept.names[path], kept.durable[path] = c, c
	}
	return kept
}

// KillProcess ends the process that used the disk; the system keeps what it wrote.
func (d *Fake) KillProcess() {
	d.locked = map[string]bool{}
	d.LimitSpace(-1)
	d.FailSyncAfter(-1)
}

// CrashVM ends the whole VM: unsynced names are kept in order up to a random one, unsynced content is lost, kept, cut or torn.
func (d *Fake) CrashVM() {
	d.KillProcess()
	for _, m := range d.moves[:d.rand.IntN(len(d.moves)+1)] {
		m(d.durable)
	}
	d.moves = nil
	d.names = maps.Clone(d.durable)
	for _, path := range slices.Sorted(maps.Keys(d.names)) {
		d.names[path].crash(d.rand)
	}
}

func (n *inode) crash(r *rand.Rand) {
	kept := slices.Clone(n.synced)
	if !n.broken && len(n.data) > len(n.synced) {
		kept = tear(r, n.data, len(n.synced))
	}
	*n = inode{data: kept, synced: slices.Clone(kept)}
}

// tear returns what a crash leaves of a file whose first bytes were synced.
func tear(r *rand.Rand, data []byte, synced int) []byte {
	cut := synced + r.IntN(len(data)-synced+1)
	switch r.IntN(4) {
	case 0:
		cut = synced
	case 1:
		cut = len(data)
	case 2:
		torn := slices.Clone(data)
		clear(torn[max(synced, cut-cut%sector):])
		return torn
	}
	return slices.Clone(data[:cut])
}

// FlipRandomBit inverts one random bit of a file with the given prefix; it returns false if there is none.
func (d *Fake) FlipRandomBit(prefix string) bool {
	paths := slices.DeleteFunc(slices.Sorted(maps.Keys(d.names)), func(path string) bool {
		return !strings.HasPrefix(filepath.Base(path), prefix) || len(d.names[path].data) == 0
	})
	if len(paths) == 0 {
		return false
	}
	n := d.names[paths[d.rand.IntN(len(paths))]]
	at, bit := d.rand.IntN(len(n.data)), byte(1)<<d.rand.IntN(8)
	n.data[at] ^= bit
	if at < len(n.synced) {
		n.synced[at] ^= bit
	}
	return true
}

// MkdirAll does nothing: every folder exists.
func (d *Fake) MkdirAll(string) error { return nil }

// Create opens a new or emptied file for writing.
func (d *Fake) Create(path string) (File, error) {
	n := &inode{}
	d.move(func(names map[string]*inode) { names[path] = n })
	return &fakeFile{disk: d, node: n}, nil
}

func (d *Fake) move(m move) {
	m(d.names)
	d.moves = append(d.moves, m)
}

// ReadFile returns the content of a file.
func (d *Fake) ReadFile(path string) ([]byte, error) {
	n, ok := d.names[path]
	if !ok {
		return nil, errors.Wrapf(os.ErrNotExist, "read %s", path)
	}
	return slices.Clone(n.data), nil
}

// ListDir returns the names in a folder in order.
func (d *Fake) ListDir(dir string) ([]string, error) {
	var list []string
	for path := range d.names {
		if filepath.Dir(path) == filepath.Clean(dir) {
			list = append(list, filepath.Base(path))
		}
	}
	slices.Sort(list)
	return list, nil
}

// Rename replaces the new name atomically.
func (d *Fake) Rename(from, to string) error {
	if _, ok := d.names[from]; !ok {
		return errors.Wrapf(os.ErrNotExist, "rename %s", from)
	}
	d.move(func(names map[string]*inode) {
		if n, ok := names[from]; ok {
			names[to] = n
			delete(names, from)
		}
	})
	return nil
}

// Remove deletes a file.
func (d *Fake) Remove(path string) error {
	if _, ok := d.names[path]; !ok {
		return errors.Wrapf(os.ErrNotExist, "remove %s", path)
	}
	d.move(func(names map[string]*inode) { delete(names, path) })
	return nil
}

// SyncDir makes all names durable.
func (d *Fake) SyncDir(string) error {
	if d.fails() {
		return syscall.EIO
	}
	d.durable = maps.Clone(d.names)
	d.moves = nil
	return nil
}

func (d *Fake) fails() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing < 0 {
		return false
	}
	d.failing--
	return d.failing < 0
}

// LockDir keeps a second opener out until the first closes or the process ends.
func (d *Fake) LockDir(dir string) (io.Closer, error) {
	if d.locked[dir] {
		return nil, errors.Newf("lock %s: another process uses it", dir)
	}
	d.locked[dir] = true
	return fakeLock{d, dir}, nil
}

type fakeLock struct {
	disk *Fake
	dir  string
}

func (l fakeLock) Close() error {
	delete(l.disk.locked, l.dir)
	return nil
}

type fakeFile struct {
	disk *Fake
	node *inode
}

func (f *fakeFile) Write(b []byte) (int, error) {
	n := f.disk.room(len(b))
	f.node.data = append(f.node.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// room returns how many of n bytes can still be written, and takes them.
func (d *Fake) room(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.space >= 0 {
		n = min(n, d.space)
		d.space -= n
	}
	return n
}

func (f *fakeFile) Sync() error {
	if f.disk.fails() {
		f.node.broken = true
		return syscall.EIO
	}
	if !f.node.broken {
		f.node.synced = append(f.node.synced, f.node.data[len(f.node.synced):]...)
	}
	return nil
}

func (f *fakeFile) Close() error { return nil }
