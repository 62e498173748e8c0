package wal_test

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"pollenhill.example/core/state/disk"
	"pollenhill.example/core/state/wal"
)

const dataDir = "/data"

func newFakeDisk(seed uint64) *disk.Fake { return disk.NewFake(rand.New(rand.NewPCG(seed, 1))) }

// createLog returns the log of an empty folder, with an identity only.
func createLog(t testing.TB, fs disk.FS) *wal.Log {
	t.Helper()
	l, _, err := wal.Open(wal.Config{FS: fs, Dir: dataDir})
	if !errors.Is(err, wal.ErrEmpty) {
		t.Fatalf("opening an empty folder: error %v, want ErrEmpty", err)
	}
	if err := l.Replace(wal.Content{Identity: []byte("me")}); err != nil {
		t.Fatal(err)
	}
	return l
}

func reopen(fs disk.FS) (*wal.Log, wal.Content, error) {
	return wal.Open(wal.Config{FS: fs, Dir: dataDir})
}

func makeEntries(first, term uint64, texts ...string) []wal.Entry {
	list := make([]wal.Entry, len(texts))
	for i, s := range texts {
		list[i] = wal.Entry{Index: first + uint64(i), Term: term, Data: []byte(s)}
	}
	return list
}

// fillLog writes and closes a log with a snapshot, replaced entries and several batches, and returns its final content.
func fillLog(t testing.TB, fs disk.FS) wal.Content {
	t.Helper()
	l := createLog(t, fs)
	want := wal.Content{
		Identity:  []byte("me"),
		HardState: wal.HardState{Term: 3, Vote: "b"},
		Snapshot:  wal.Snapshot{Index: 7, Term: 2, Membership: []byte("m"), Data: []byte("state")},
		Entries:   makeEntries(8, 3, "x", "y"),
	}
	if err := l.Replace(wal.Content{Identity: want.Identity, HardState: wal.HardState{Term: 2}, Snapshot: want.Snapshot}); err != nil {
		t.Fatal(err)
	}
	if err := l.Append(wal.HardState{Term: 2}, makeEntries(8, 2, "a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	if err := l.Append(want.HardState, want.Entries); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return want
}

// Guards against a reopened log that lost content or still has content that was replaced, and against old files left behind.
func TestReopenReturnsNewestContent(t *testing.T) {
	fs := newFakeDisk(1)
	want := fillLog(t, fs)
	for range 2 {
		l, got, err := reopen(fs)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if names, _ := fs.ListDir(dataDir); len(names) != 2 {
		t.Errorf("files %q, want one log and one snapshot", names)
	}
}

// Guards against state read from a damaged file: Open must refuse every single flipped bit in a synced file.
func TestEveryFlippedBitIsRefused(t *testing.T) {
	clean := newFakeDisk(1)
	fillLog(t, clean)
	names, _ := clean.ListDir(dataDir)
	flips := 0
	for _, name := range names {
		raw, _ := clean.ReadFile(dataDir + "/" + name)
		for bit := range len(raw) * 8 {
			fs := newFakeDisk(1)
			for _, other := range names {
				content, _ := clean.ReadFile(dataDir + "/" + other)
				if other == name {
					content[bit/8] ^= 1 << (bit % 8)
				}
				if _, err := disk.WriteAtomic(fs, dataDir+"/"+other, bytes.NewReader(content)); err != nil {
					t.Fatal(err)
				}
			}
			flips++
			_, _, err := reopen(fs)
			if !errors.Is(err, wal.ErrCorrupt) && !errors.Is(err, wal.ErrUnsupportedFormat) {
				t.Fatalf("%s with bit %d flipped: error %v, want ErrCorrupt or ErrUnsupportedFormat", name, bit, err)
			}
		}
	}
	t.Logf("%d flipped bits refused", flips)
}

// Guards against a flipped bit that is taken for a torn write. A body that ends in zeros looks like one: only the end mark
// shows that the frame is complete.
func TestFlippedBitBeforeTrailingZerosIsRefused(t *testing.T) {
	fs := newFakeDisk(1)
	l := createLog(t, fs)
	if err := l.Append(wal.HardState{Term: 1}, makeEntries(1, 1, "x"+strings.Repeat("\x00", 4096))); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	names, _ := fs.ListDir(dataDir)
	raw, _ := fs.ReadFile(dataDir + "/" + names[0])
	for bit := range len(raw) * 8 {
		raw[bit/8] ^= 1 << (bit % 8)
		if _, torn, err := wal.Decode(bytes.NewReader(raw)); err == nil {
			t.Fatalf("bit %d of %d flipped: no error, %d torn bytes", bit, len(raw)*8, torn)
		}
		raw[bit/8] ^= 1 << (bit % 8)
	}
}

// Guards against a torn last write that keeps the process from starting or that affects the batches before it. The write is
// cut at every byte, with and without zeros up to its full length.
func TestTornLastWriteIsDropped(t *testing.T) {
	fs := newFakeDisk(1)
	l := createLog(t, fs)
	_ = l.Append(wal.HardState{Term: 1}, makeEntries(1, 1, "a"))
	before, _ := fs.ReadFile(dataDir + "/log-0000000000000001")
	_ = l.Append(wal.HardState{Term: 2}, makeEntries(2, 2, strings.Repeat("b", 700)))
	after, _ := fs.ReadFile(dataDir + "/log-0000000000000001")
	for cut := len(before); cut < len(after); cut++ {
		for _, zeros := range []int{0, len(after) - cut} {
			raw := append(bytes.Clone(after[:cut]), make([]byte, zeros)...)
			c, torn, err := wal.Decode(bytes.NewReader(raw))
			if err != nil || c.HardState.Term != 1 || len(c.Entries) != 1 || torn != len(raw)-len(before) {
				t.Fatalf("cut at %d with %d zeros: term %d, %d entries, %d torn bytes, error %v", cut, zeros, c.HardState.Term, len(c.Entries), torn, err)
			}
		}
	}
}

// Guards against a file of a later format version that is read as if it had this one.
func TestUnsupportedFormatIsRefused(t *testing.T) {
	_, _, err := wal.Decode(strings.NewReader("pollenhill log 2\nanything"))
	if !errors.Is(err, wal.ErrUnsupportedFormat) || !strings.Contains(err.Error(), `"2"`) {
		t.Fatalf("error %v, want ErrUnsupportedFormat with the version", err)
	}
}

// Guards against a member that lost its log file and starts as a new one, which could vote twice in a term.
func TestSnapshotWithoutLogIsRefused(t *testing.T) {
	fs := newFakeDisk(1)
	fillLog(t, fs)
	names, _ := fs.ListDir(dataDir)
	_ = fs.Remove(dataDir + "/" + names[0])
	if _, _, err := reopen(fs); !errors.Is(err, wal.ErrCorrupt) {
		t.Fatalf("error %v, want ErrCorrupt", err)
	}
}

// Guards against the loss of acknowledged writes and against content that was never written, over process and VM crashes, full
// disks and failed syncs. After a reopen the content is either the acknowledged one or that of the write that failed.
func TestCrashKeepsAcknowledgedContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newFakeDisk(rapid.Uint64().Draw(t, "seed"))
		l, _, _ := reopen(fs)
		acked := wal.Content{Identity: []byte("me")}
		if err := l.Replace(acked); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			attempted, ok := tryChange(t, fs, l, acked)
			if ok {
				acked = attempted
				continue
			}
			if rapid.Bool().Draw(t, "vm") {
				fs.CrashVM()
			} else {
				fs.KillProcess()
			}
			var got wal.Content
			var err error
			if l, got, err = reopen(fs); err != nil {
				t.Fatalf("reopen: %v", err)
			}
			if !equalContent(got, acked) && !equalContent(got, attempted) {
				t.Fatalf("got %+v, acknowledged %+v, attempted %+v", got, acked, attempted)
			}
			acked = got
		}
	})
}

// equalContent compares two contents except for their identities and memberships; nil and empty slices are equal.
func equalContent(a, b wal.Content) bool {
	return a.HardState == b.HardState && a.Snapshot.Index == b.Snapshot.Index && bytes.Equal(a.Snapshot.Data, b.Snapshot.Data) &&
		slices.EqualFunc(a.Entries, b.Entries, func(x, y wal.Entry) bool {
			return x.Index == y.Index && x.Term == y.Term && x.Kind == y.Kind && bytes.Equal(x.Data, y.Data)
		})
}

// tryChange calls Append or Replace, possibly with a disk fault, or does nothing. It returns the content that it attempted to
// write and whether the write succeeded.
func tryChange(t *rapid.T, fs *disk.Fake, l *wal.Log, current wal.Content) (wal.Content, bool) {
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		fs.LimitSpace(rapid.IntRange(0, 300).Draw(t, "space"))
	case 1:
		fs.FailSyncAfter(rapid.IntRange(0, 4).Draw(t, "sync"))
	case 2:
		return current, false
	}
	term := current.HardState.Term + 1
	next := current
	next.HardState = wal.HardState{Term: term, Vote: "a"}
	last := current.Snapshot.Index + uint64(len(current.Entries))
	if rapid.Bool().Draw(t, "reset") && last > current.Snapshot.Index {
		next.Snapshot = wal.Snapshot{Index: current.Snapshot.Index + 1, Term: current.Entries[0].Term, Data: []byte{byte(term)}}
		next.Entries = current.Entries[1:]
		return next, l.Replace(next) == nil
	}
	keep := rapid.IntRange(0, len(current.Entries)).Draw(t, "keep")
	list := makeEntries(current.Snapshot.Index+uint64(keep)+1, term, "x", strings.Repeat("y", rapid.IntRange(0, 1500).Draw(t, "size")))
	next.Entries = append(append([]wal.Entry(nil), current.Entries[:keep]...), list...)
	return next, l.Append(next.HardState, list) == nil
}

// Guards against a start that holds the log several times over (review/12): as file, as entries and as rewritten file. Beside the
// entries it may hold a few frames.
func TestOpenHoldsTheLogOnce(t *testing.T) {
	const logSize, spare = 32 << 20, 16 << 20
	fs := disk.Real{}
	dir := t.TempDir()
	l, _, _ := wal.Open(wal.Config{FS: fs, Dir: dir})
	text := strings.Repeat("x", logSize/64)
	if err := l.Replace(wal.Content{Identity: []byte("me"), Entries: makeEntries(1, 1, slices.Repeat([]string{text}, 64)...)}); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	l, c, err := wal.Open(wal.Config{FS: fs, Dir: dir})
	runtime.ReadMemStats(&after)
	if err != nil || len(c.Entries) != 64 {
		t.Fatalf("%d entries, error %v", len(c.Entries), err)
	}
	defer l.Close()
	if got := after.TotalAlloc - before.TotalAlloc; got > logSize+spare {
		t.Errorf("opening a log of %d bytes allocates %d, want at most %d", logSize, got, logSize+spare)
	}
}

// Guards against a rewritten file of many frames that does not read back as it was, entries of all sizes included.
func TestRewrittenLogReadsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 3<<20), 0, 6).Draw(t, "sizes")
		var texts []string
		for _, n := range sizes {
			texts = append(texts, strings.Repeat("y", n))
		}
		want := wal.Content{HardState: wal.HardState{Term: 4, Vote: "b"}, Entries: makeEntries(1, 3, texts...)}
		fs := newFakeDisk(1)
		l, _, _ := reopen(fs)
		if err := l.Replace(want); err != nil {
			t.Fatal(err)
		}
		size := l.Size()
		if err := l.Append(want.HardState, makeEntries(uint64(len(texts)+1), 4, "z")); err != nil {
			t.Fatal(err)
		}
		want.Entries = append(want.Entries, makeEntries(uint64(len(texts)+1), 4, "z")...)
		_ = l.Close()
		_, got, err := reopen(fs)
		if err != nil || !equalContent(got, want) {
			t.Fatalf("%d entries, error %v, want %d", len(got.Entries), err, len(want.Entries))
		}
		if names, _ := fs.ListDir(dataDir); len(names) != 1 || size <= lo.Sum(sizes) {
			t.Fatalf("files %q, size %d with entries of %d", names, size, lo.Sum(sizes))
		}
	})
}

// Guards against a decoder that panics or returns entries out of order on any input. The seed corpus of truncated and damaged
// logs runs with the ordinary tests.
func FuzzDecode(f *testing.F) {
	fs := newFakeDisk(1)
	fillLog(f, fs)
	names, _ := fs.ListDir(dataDir)
	raw, _ := fs.ReadFile(dataDir + "/" + names[0])
	f.Add(raw)
	r := rand.New(rand.NewPCG(2, 3))
	for range 500 {
		damaged := bytes.Clone(raw[:r.IntN(len(raw)+1)])
		for range r.IntN(4) {
			if len(damaged) > 0 {
				damaged[r.IntN(len(damaged))] = byte(r.Uint32())
			}
		}
		f.Add(damaged)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, torn, err := wal.Decode(bytes.NewReader(raw))
		if err != nil {
			return
		}
		if torn < 0 || torn > len(raw) {
			t.Fatalf("%d torn bytes of %d", torn, len(raw))
		}
		for i, e := range c.Entries {
			if e.Index != c.Snapshot.Index+uint64(i)+1 {
				t.Fatalf("entry %d has index %d", i, e.Index)
			}
		}
	})
}
