package rulefile

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"pollenhill.example/core/state/rule"
)

// File is the operators' rule file and the answer file beside it.
type File struct{ Path string }

// answerMode is the mode of an answer about a missing rule file.
const answerMode = 0o644

// Read returns the content of the rule file; it reads no more than shows that a file is too large.
func (f File) Read() FileContent {
	info, err := os.Stat(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return FileContent{Missing: true}
	}
	if err == nil && !info.Mode().IsRegular() {
		err = errors.Newf("%s is not a regular file", f.Path)
	}
	if err != nil {
		return FileContent{Error: err.Error()}
	}
	return f.content()
}

func (f File) content() FileContent {
	file, err := os.Open(f.Path)
	if err != nil {
		return FileContent{Error: err.Error()}
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, rule.MaxFileSize+1))
	if err != nil {
		return FileContent{Error: err.Error()}
	}
	return FileContent{Text: string(raw)}
}

// WriteAnswer replaces the answer file atomically. Whoever may read the rule file may read the answer, which quotes it.
func (f File) WriteAnswer(text string) error {
	info, missing := os.Stat(f.Path)
	mode := fs.FileMode(answerMode)
	if missing == nil {
		mode = info.Mode().Perm()
	}
	temp, err := writeTemp(f.Path+".answer", text, mode)
	if err != nil {
		return errors.Wrap(err, "write answer")
	}
	if missing == nil {
		keepOwner(temp, info)
	}
	if err := os.Rename(temp, f.Path+".answer"); err != nil {
		return errors.Wrap(errors.CombineErrors(err, os.Remove(temp)), "write answer")
	}
	return errors.Wrap(syncDir(f.Path), "write answer")
}

// ErrFileChanged says that the rule file no longer held the expected text and was left as it is.
var ErrFileChanged = errors.New("the rule file has changed")

// Rewrite replaces the content of the rule file if it still is expect, and returns ErrChanged if not.
// It swaps the old and the new file and looks at the old one only then, so that a text that an editor saves
// at the same moment is found and put back.
func (f File) Rewrite(expect, text string) error {
	path, err := filepath.EvalSymlinks(f.Path)
	if err != nil {
		return errors.Wrap(ErrFileChanged, err.Error())
	}
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(ErrFileChanged, err.Error())
	}
	if (File{Path: path}).Read() != (FileContent{Text: expect}) {
		return ErrFileChanged
	}
	temp, err := writeTemp(path, text, info.Mode().Perm())
	if err != nil {
		return errors.Wrap(err, "rewrite rules")
	}
	keepOwner(temp, info)
	if err := swap(temp, path, expect, text); err != nil {
		return err
	}
	return errors.Wrap(syncDir(path), "rewrite rules")
}

// keepOwner gives temp the owner of the rule file; without the permission for that the owner changes.
func keepOwner(temp string, info fs.FileInfo) {
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		_ = os.Chown(temp, int(stat.Uid), int(stat.Gid))
	}
}

// swap exchanges temp and path; afterwards temp, the old file, is removed only if it holds expect.
func swap(temp, path, expect, text string) error {
	err := exchange(temp, path)
	if errors.IsAny(err, unix.EINVAL, unix.ENOSYS, unix.ENOTSUP) {
		// The file system cannot exchange files; an edit saved since the check in Rewrite is lost.
		return errors.Wrap(os.Rename(temp, path), "rewrite rules")
	}
	if err != nil {
		return errors.Wrap(errors.CombineErrors(err, os.Remove(temp)), "rewrite rules")
	}
	if (File{Path: temp}).Read() == (FileContent{Text: expect}) {
		return errors.Wrap(os.Remove(temp), "rewrite rules")
	}
	if (File{Path: path}).Read() != (FileContent{Text: text}) {
		return errors.Wrapf(ErrFileChanged, "the text saved before is kept as %s", temp)
	}
	if err := exchange(temp, path); err != nil {
		return errors.Wrapf(err, "rewrite rules: the saved text is kept as %s", temp)
	}
	return errors.CombineErrors(ErrFileChanged, os.Remove(temp))
}

func exchange(a, b string) error {
	err := unix.Renameat2(unix.AT_FDCWD, a, unix.AT_FDCWD, b, unix.RENAME_EXCHANGE)
	return errors.Wrapf(err, "exchange %s and %s", a, b)
}

// writeTemp writes text to a new synced file in the folder of path.
func writeTemp(path, text string, mode fs.FileMode) (string, error) {
	file, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"-*")
	if err != nil {
		return "", err
	}
	_, err = file.WriteString(text)
	err = errors.CombineErrors(err, file.Chmod(mode))
	err = errors.CombineErrors(err, file.Sync())
	err = errors.CombineErrors(err, file.Close())
	if err != nil {
		return "", errors.CombineErrors(err, os.Remove(file.Name()))
	}
	return file.Name(), nil
}

func syncDir(path string) error {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.CombineErrors(dir.Sync(), dir.Close())
}
