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

// File reads and writes the operators' rule file and the answer file beside it.
type File struct{ Path string }

// defaultAnswerMode is the mode of the answer file while the rule file does not exist.
const defaultAnswerMode = 0o644

// Read returns the content of the rule file; it reads at most one byte more than rule.MaxFileSize, which shows that the
// file is too large.
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
	return f.readContent()
}

func (f File) readContent() FileContent {
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

// WriteAnswer replaces the answer file atomically. The answer gets the mode and the owner of the rule file, which it
// quotes, so that the same users may read both.
func (f File) WriteAnswer(text string) error {
	info, statErr := os.Stat(f.Path)
	mode := fs.FileMode(defaultAnswerMode)
	if statErr == nil {
		mode = info.Mode().Perm()
	}
	temp, err := writeTemp(f.Path+".answer", text, mode)
	if err != nil {
		return errors.Wrap(err, "write answer")
	}
	if statErr == nil {
		copyOwner(temp, info)
	}
	if err := os.Rename(temp, f.Path+".answer"); err != nil {
		return errors.Wrap(errors.CombineErrors(err, os.Remove(temp)), "write answer")
	}
	return errors.Wrap(syncDir(f.Path), "write answer")
}

// ErrFileChanged reports that the rule file did not hold the expected text and was left unchanged.
var ErrFileChanged = errors.New("the rule file has changed")

// Rewrite replaces the content of the rule file if it still is expect, and returns ErrFileChanged if not.
// It exchanges the old and the new file atomically and checks the old one afterwards, so that a text that an editor saves
// at the same moment is found and restored.
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
	copyOwner(temp, info)
	if err := swapIfExpected(temp, path, expect, text); err != nil {
		return err
	}
	return errors.Wrap(syncDir(path), "rewrite rules")
}

// copyOwner gives temp the owner of the rule file; without the permission for that, the owner of this process remains.
func copyOwner(temp string, info fs.FileInfo) {
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		_ = os.Chown(temp, int(stat.Uid), int(stat.Gid))
	}
}

// swapIfExpected exchanges the files temp and path. If the old file, which is then temp, holds expect, it is removed;
// otherwise the exchange is undone and ErrFileChanged is returned.
func swapIfExpected(temp, path, expect, text string) error {
	err := exchangeFiles(temp, path)
	if errors.IsAny(err, unix.EINVAL, unix.ENOSYS, unix.ENOTSUP) {
		// The file system cannot exchange files, so that an edit saved since the check in Rewrite is lost.
		return errors.Wrap(os.Rename(temp, path), "rewrite rules")
	}
	if err != nil {
		return errors.Wrap(errors.CombineErrors(err, os.Remove(temp)), "rewrite rules")
	}
	if (File{Path: temp}).Read() == (FileContent{Text: expect}) {
		return errors.Wrap(os.Remove(temp), "rewrite rules")
	}
	if (File{Path: path}).Read() != (FileContent{Text: text}) {
		// Another text was saved after the exchange; undoing the exchange would overwrite it.
		return errors.Wrapf(ErrFileChanged, "the text saved before the exchange is kept as %s", temp)
	}
	if err := exchangeFiles(temp, path); err != nil {
		return errors.Wrapf(err, "rewrite rules: the text saved before the exchange is kept as %s", temp)
	}
	return errors.CombineErrors(ErrFileChanged, os.Remove(temp))
}

func exchangeFiles(a, b string) error {
	err := unix.Renameat2(unix.AT_FDCWD, a, unix.AT_FDCWD, b, unix.RENAME_EXCHANGE)
	return errors.Wrapf(err, "exchange %s and %s", a, b)
}

// writeTemp writes text to a new file in the folder of path, syncs it and returns its path.
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

// syncDir syncs the folder of path, so that a rename in it survives a crash.
func syncDir(path string) error {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.CombineErrors(dir.Sync(), dir.Close())
}
