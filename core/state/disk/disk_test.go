package disk_test

import (
	"math/rand/v2"
	"path/filepath"
	"testing"

	"pollenhill.example/core/state/disk"
)

// contract runs each case against the real and the fake file system.
func contract(t *testing.T, f func(t *testing.T, fs disk.FS, dir string)) {
	t.Helper()
	t.Run("real", func(t *testing.T) { f(t, disk.Real{}, filepath.Join(t.TempDir(), "data")) })
	t.Run("fake", func(t *testing.T) { f(t, disk.NewFake(rand.New(rand.NewPCG(1, 1))), "/data") })
}

// Guards against a fake that behaves unlike the real file system without faults.
func TestContract(t *testing.T) {
	contract(t, func(t *testing.T, fs disk.FS, dir string) {
		path := filepath.Join(dir, "a")
		if err := fs.MkdirAll(dir); err != nil {
			t.Fatal(err)
		}
		if _, err := fs.ReadFile(path); err == nil {
			t.Error("read of a missing file: no error")
		}
		if err := fs.Remove(path); err == nil {
			t.Error("remove of a missing file: no error")
		}
		f, err := disk.WriteAtomic(fs, path, []byte("one"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.Write([]byte("two")); err != nil {
			t.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			t.Fatal(err)
		}
		if got, _ := fs.ReadFile(path); string(got) != "onetwo" {
			t.Errorf("content %q", got)
		}
		if names, _ := fs.ListDir(dir); len(names) != 1 || names[0] != "a" {
			t.Errorf("names %q", names)
		}
		if err := fs.Remove(path); err != nil {
			t.Error(err)
		}
	})
}

// Guards against two processes that write one data folder.
func TestLockIsExclusive(t *testing.T) {
	contract(t, func(t *testing.T, fs disk.FS, dir string) {
		if err := fs.MkdirAll(dir); err != nil {
			t.Fatal(err)
		}
		first, err := fs.LockDir(dir)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fs.LockDir(dir); err == nil {
			t.Error("second lock: no error")
		}
		if err := first.Close(); err != nil {
			t.Fatal(err)
		}
		if _, err := fs.LockDir(dir); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a fake that keeps everything: a crash must lose unsynced content and names in some runs,
// and synced ones in none.
func TestCrashLosesOnlyUnsynced(t *testing.T) {
	lost, kept, renamed := 0, 0, 0
	for seed := range uint64(200) {
		d := disk.NewFake(rand.New(rand.NewPCG(seed, 1)))
		f, err := disk.WriteAtomic(d, "/data/a", []byte("synced"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = f.Write([]byte("tail"))
		_ = d.Rename("/data/a", "/data/b")
		d.CrashVM()
		got, err := d.ReadFile("/data/b")
		if err == nil {
			renamed++
		} else if got, err = d.ReadFile("/data/a"); err != nil {
			t.Fatalf("seed %d: synced file lost", seed)
		}
		if string(got[:6]) != "synced" {
			t.Fatalf("seed %d: synced content lost: %q", seed, got)
		}
		if len(got) == 6 {
			lost++
		}
		if string(got) == "syncedtail" {
			kept++
		}
	}
	if lost == 0 || kept == 0 || renamed == 0 || renamed == 200 {
		t.Errorf("of 200 crashes %d lost the tail, %d kept it, %d kept the rename", lost, kept, renamed)
	}
}

// Guards against the belief that a sync after a failed one writes what the failed one lost.
func TestFailedSyncStaysLost(t *testing.T) {
	d := disk.NewFake(rand.New(rand.NewPCG(1, 1)))
	f, _ := disk.WriteAtomic(d, "/data/a", []byte("a"))
	_, _ = f.Write([]byte("b"))
	d.FailSyncAfter(0)
	if f.Sync() == nil {
		t.Fatal("sync did not fail")
	}
	if err := f.Sync(); err != nil {
		t.Fatal(err)
	}
	d.CrashVM()
	if got, _ := d.ReadFile("/data/a"); string(got) != "a" {
		t.Errorf("content %q after the crash", got)
	}
}

// Guards against a full disk that goes unnoticed.
func TestLimitGivesShortWrite(t *testing.T) {
	d := disk.NewFake(rand.New(rand.NewPCG(1, 1)))
	f, _ := d.Create("/data/a")
	d.LimitSpace(2)
	if n, err := f.Write([]byte("abc")); n != 2 || err == nil {
		t.Errorf("wrote %d, error %v", n, err)
	}
}
