package disk_test

import (
	"io"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"

	"pollenhill.example/core/state/disk"
)

// testBothFileSystems runs the test against Real and against Fake.
func testBothFileSystems(t *testing.T, test func(t *testing.T, fs disk.FS, dir string)) {
	t.Helper()
	t.Run("real", func(t *testing.T) { test(t, disk.Real{}, filepath.Join(t.TempDir(), "data")) })
	t.Run("fake", func(t *testing.T) { test(t, disk.NewFake(rand.New(rand.NewPCG(1, 1))), "/data") })
}

// readFile returns the whole content of a file.
func readFile(fs disk.FS, path string) ([]byte, error) {
	r, err := fs.Open(path)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return io.ReadAll(r)
}

// Guards against a fake that differs from the real file system even without faults, which would make tests on it worthless.
func TestRealAndFakeBehaveAlike(t *testing.T) {
	testBothFileSystems(t, func(t *testing.T, fs disk.FS, dir string) {
		path := filepath.Join(dir, "a")
		if err := fs.MkdirAll(dir); err != nil {
			t.Fatal(err)
		}
		if _, err := readFile(fs, path); err == nil {
			t.Error("reading a missing file returned no error")
		}
		if err := fs.Remove(path); err == nil {
			t.Error("removing a missing file returned no error")
		}
		f, err := disk.WriteAtomic(fs, path, strings.NewReader("one"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.Write([]byte("two")); err != nil {
			t.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			t.Fatal(err)
		}
		if got, _ := readFile(fs, path); string(got) != "onetwo" {
			t.Errorf("content %q, want %q", got, "onetwo")
		}
		if names, _ := fs.ListDir(dir); len(names) != 1 || names[0] != "a" {
			t.Errorf("names %q, want only %q", names, "a")
		}
		if err := fs.Remove(path); err != nil {
			t.Error(err)
		}
	})
}

// Guards against two processes that write to the same directory.
func TestLockIsExclusive(t *testing.T) {
	testBothFileSystems(t, func(t *testing.T, fs disk.FS, dir string) {
		if err := fs.MkdirAll(dir); err != nil {
			t.Fatal(err)
		}
		first, err := fs.LockDir(dir)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fs.LockDir(dir); err == nil {
			t.Error("locking a locked directory returned no error")
		}
		if err := first.Close(); err != nil {
			t.Fatal(err)
		}
		if _, err := fs.LockDir(dir); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a fake that never loses unsynced data: over 200 seeds, crashes must lose unsynced content and names in some
// runs, keep them in others, and never lose synced ones.
func TestCrashLosesOnlyUnsyncedData(t *testing.T) {
	tailLost, tailKept, renameKept := 0, 0, 0
	for seed := range uint64(200) {
		d := disk.NewFake(rand.New(rand.NewPCG(seed, 1)))
		f, err := disk.WriteAtomic(d, "/data/a", strings.NewReader("synced"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = f.Write([]byte("tail"))
		_ = d.Rename("/data/a", "/data/b")
		d.CrashVM()
		got, err := d.ReadFile("/data/b")
		if err == nil {
			renameKept++
		} else if got, err = d.ReadFile("/data/a"); err != nil {
			t.Fatalf("seed %d: synced file is missing: %v", seed, err)
		}
		if string(got[:6]) != "synced" {
			t.Fatalf("seed %d: synced content lost: %q", seed, got)
		}
		if len(got) == 6 {
			tailLost++
		}
		if string(got) == "syncedtail" {
			tailKept++
		}
	}
	if tailLost == 0 || tailKept == 0 || renameKept == 0 || renameKept == 200 {
		t.Errorf("of 200 crashes %d lost the unsynced tail, %d kept it, %d kept the rename", tailLost, tailKept, renameKept)
	}
}

// Guards against a fake that differs from Linux, where a sync after a failed one succeeds without writing the lost pages.
func TestSyncAfterFailedSyncLosesData(t *testing.T) {
	d := disk.NewFake(rand.New(rand.NewPCG(1, 1)))
	f, _ := disk.WriteAtomic(d, "/data/a", strings.NewReader("a"))
	_, _ = f.Write([]byte("b"))
	d.FailSyncAfter(0)
	if f.Sync() == nil {
		t.Fatal("Sync returned no error after FailSyncAfter(0)")
	}
	if err := f.Sync(); err != nil {
		t.Fatal(err)
	}
	d.CrashVM()
	if got, _ := d.ReadFile("/data/a"); string(got) != "a" {
		t.Errorf("content %q after the crash, want %q", got, "a")
	}
}

// Guards against a full disk that the fake does not report: the write stops at the limit and returns an error.
func TestFullDiskGivesShortWrite(t *testing.T) {
	d := disk.NewFake(rand.New(rand.NewPCG(1, 1)))
	f, _ := d.Create("/data/a")
	d.LimitSpace(2)
	if n, err := f.Write([]byte("abc")); n != 2 || err == nil {
		t.Errorf("wrote %d bytes, error %v, want 2 bytes and an error", n, err)
	}
}
