package wal_test

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"pollenhill.example/core/state/disk"
	"pollenhill.example/core/state/wal"
)

const dir = "/data"

func newFake(seed uint64) *disk.Fake { return disk.NewFake(rand.New(rand.NewPCG(seed, 1))) }

func create(t testing.TB, fs disk.FS) *wal.Log {
	t.Helper()
	l, _, err := wal.Open(wal.Config{FS: fs, Dir: dir})
	if !errors.Is(err, wal.ErrEmpty) {
		t.Fatalf("open of an empty folder: %v", err)
	}
	if err := l.Replace(wal.Content{Identity: []byte("me")}); err != nil {
		t.Fatal(err)
	}
	return l
}

func reopen(fs disk.FS) (*wal.Log, wal.Content, error) {
	return wal.Open(wal.Config{FS: fs, Dir: dir})
}

func entries(first, term uint64, texts ...string) []wal.Entry {
	list := make([]wal.Entry, len(texts))
	for i, s := range texts {
		list[i] = wal.Entry{Index: first + uint64(i), Term: term, Data: []byte(s)}
	}
	return list
}

func fill(t testing.TB, fs disk.FS) wal.Content {
	t.Helper()
	l := create(t, fs)
	want := wal.Content{
		Identity:  []byte("me"),
		HardState: wal.HardState{Term: 3, Vote: "b"},
		Snapshot:  wal.Snapshot{Index: 7, Term: 2, Membership: []byte("m"), Data: []byte("state")},
		Entries:   entries(8, 3, "x", "y"),
	}
	if err := l.Replace(wal.Content{Identity: want.Identity, HardState: wal.HardState{Term: 2}, Snapshot: want.Snapshot}); err != nil {
		t.Fatal(err)
	}
	if err := l.Append(wal.HardState{Term: 2}, entries(8, 2, "a", "b", "c")); err != nil {
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

// Guards against content that a reopened log loses or keeps although it was replaced.
func TestReopenReturnsContent(t *testing.T) {
	fs := newFake(1)
	want := fill(t, fs)
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
	if names, _ := fs.ListDir(dir); len(names) != 2 {
		t.Errorf("files left behind: %q", names)
	}
}

// Guards against state served from a damaged file: every single flipped bit in a synced file is refused.
func TestEveryFlippedBitIsRefused(t *testing.T) {
	clean := newFake(1)
	fill(t, clean)
	names, _ := clean.ListDir(dir)
	flips := 0
	for _, name := range names {
		raw, _ := clean.ReadFile(dir + "/" + name)
		for bit := range len(raw) * 8 {
			fs := newFake(1)
			for _, other := range names {
				content, _ := clean.ReadFile(dir + "/" + other)
				if other == name {
					content[bit/8] ^= 1 << (bit % 8)
				}
				if _, err := disk.WriteAtomic(fs, dir+"/"+other, content); err != nil {
					t.Fatal(err)
				}
			}
			flips++
			_, _, err := reopen(fs)
			if !errors.Is(err, wal.ErrCorrupt) && !errors.Is(err, wal.ErrUnsupportedFormat) {
				t.Fatalf("%s: bit %d flipped: %v", name, bit, err)
			}
		}
	}
	t.Logf("%d flipped bits refused", flips)
}

// Guards against a flipped bit in a body with zeros at its end that passes for a torn write.
func TestFlippedBitBesideZerosIsRefused(t *testing.T) {
	fs := newFake(1)
	l := create(t, fs)
	if err := l.Append(wal.HardState{Term: 1}, entries(1, 1, "x"+strings.Repeat("\x00", 4096))); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	names, _ := fs.ListDir(dir)
	raw, _ := fs.ReadFile(dir + "/" + names[0])
	for bit := range len(raw) * 8 {
		raw[bit/8] ^= 1 << (bit % 8)
		if _, torn, err := wal.Decode(raw); err == nil {
			t.Fatalf("bit %d of %d flipped: no error, torn %d", bit, len(raw)*8, torn)
		}
		raw[bit/8] ^= 1 << (bit % 8)
	}
}

// Guards against a torn last write that stops the process or that damages the batches before it.
func TestTornTailIsDropped(t *testing.T) {
	fs := newFake(1)
	l := create(t, fs)
	_ = l.Append(wal.HardState{Term: 1}, entries(1, 1, "a"))
	before, _ := fs.ReadFile(dir + "/log-0000000000000001")
	_ = l.Append(wal.HardState{Term: 2}, entries(2, 2, strings.Repeat("b", 700)))
	after, _ := fs.ReadFile(dir + "/log-0000000000000001")
	for cut := len(before); cut < len(after); cut++ {
		for _, zeros := range []int{0, len(after) - cut} {
			raw := append(bytes.Clone(after[:cut]), make([]byte, zeros)...)
			c, torn, err := wal.Decode(raw)
			if err != nil || c.HardState.Term != 1 || len(c.Entries) != 1 || torn != len(raw)-len(before) {
				t.Fatalf("cut at %d with %d zeros: term %d, %d entries, torn %d, %v", cut, zeros, c.HardState.Term, len(c.Entries), torn, err)
			}
		}
	}
}

// Guards against a file of a later version that is read as if it were known.
func TestOtherFormatIsRefused(t *testing.T) {
	_, _, err := wal.Decode([]byte("pollenhill log 2\nanything"))
	if !errors.Is(err, wal.ErrUnsupportedFormat) || !strings.Contains(err.Error(), `"2"`) {
		t.Fatalf("error %v", err)
	}
}

// Guards against a lost log that is taken for a new member.
func TestSnapshotWithoutLogIsRefused(t *testing.T) {
	fs := newFake(1)
	fill(t, fs)
	names, _ := fs.ListDir(dir)
	_ = fs.Remove(dir + "/" + names[0])
	if _, _, err := reopen(fs); !errors.Is(err, wal.ErrCorrupt) {
		t.Fatalf("error %v", err)
	}
}

// Guards against lost acknowledged batches and invented ones, over crashes, full disks and failed syncs.
func TestCrashKeepsAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newFake(rapid.Uint64().Draw(t, "seed"))
		l, _, _ := reopen(fs)
		acked := wal.Content{Identity: []byte("me")}
		if err := l.Replace(acked); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			tried, ack := step(t, fs, l, acked)
			if ack {
				acked = tried
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
			if !same(got, acked) && !same(got, tried) {
				t.Fatalf("got %+v, acknowledged %+v, tried %+v", got, acked, tried)
			}
			acked = got
		}
	})
}

// same compares without regard to empty and nil lists.
func same(a, b wal.Content) bool {
	return a.HardState == b.HardState && a.Snapshot.Index == b.Snapshot.Index && bytes.Equal(a.Snapshot.Data, b.Snapshot.Data) &&
		slices.EqualFunc(a.Entries, b.Entries, func(x, y wal.Entry) bool {
			return x.Index == y.Index && x.Term == y.Term && x.Kind == y.Kind && bytes.Equal(x.Data, y.Data)
		})
}

// step appends or resets with a possible disk fault and returns the content it tried to reach.
func step(t *rapid.T, fs *disk.Fake, l *wal.Log, now wal.Content) (wal.Content, bool) {
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		fs.LimitSpace(rapid.IntRange(0, 300).Draw(t, "space"))
	case 1:
		fs.FailSyncAfter(rapid.IntRange(0, 4).Draw(t, "sync"))
	case 2:
		return now, false
	}
	term := now.HardState.Term + 1
	next := now
	next.HardState = wal.HardState{Term: term, Vote: "a"}
	last := now.Snapshot.Index + uint64(len(now.Entries))
	if rapid.Bool().Draw(t, "reset") && last > now.Snapshot.Index {
		next.Snapshot = wal.Snapshot{Index: now.Snapshot.Index + 1, Term: now.Entries[0].Term, Data: []byte{byte(term)}}
		next.Entries = now.Entries[1:]
		return next, l.Replace(next) == nil
	}
	keep := rapid.IntRange(0, len(now.Entries)).Draw(t, "keep")
	list := entries(now.Snapshot.Index+uint64(keep)+1, term, "x", strings.Repeat("y", rapid.IntRange(0, 1500).Draw(t, "size")))
	next.Entries = append(append([]wal.Entry(nil), now.Entries[:keep]...), list...)
	return next, l.Append(next.HardState, list) == nil
}

// FuzzDecode guards against a log reader that panics or invents entries out of order on any input; the seeds,
// among them cut and flipped logs, run with the ordinary tests.
func FuzzDecode(f *testing.F) {
	fs := newFake(1)
	fill(f, fs)
	names, _ := fs.ListDir(dir)
	raw, _ := fs.ReadFile(dir + "/" + names[0])
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
		c, torn, err := wal.Decode(raw)
		if err != nil {
			return
		}
		if torn < 0 || torn > len(raw) {
			t.Fatalf("torn %d of %d bytes", torn, len(raw))
		}
		for i, e := range c.Entries {
			if e.Index != c.Snapshot.Index+uint64(i)+1 {
				t.Fatalf("entry %d has index %d", i, e.Index)
			}
		}
	})
}
