package daemon

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// dataLayout is the content of the file "layout", which identifies the format of the data folder.
const dataLayout = "pollenhill data 1"

// prepareDataDir checks that the data folder exists, is writable, and has the layout that this program reads.
func prepareDataDir(folder string) error {
	info, err := os.Stat(folder)
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	if !info.IsDir() {
		return errors.Newf("data folder: %s is not a folder", folder)
	}
	if err := probeWrite(folder); err != nil {
		return errors.Wrap(err, "data folder cannot be written")
	}
	return checkLayout(folder)
}

// probeWrite checks that the folder is writable by writing, syncing and removing a file.
func probeWrite(folder string) error {
	f, err := os.CreateTemp(folder, "probe-*")
	if err != nil {
		return err
	}
	_, err = f.WriteString(dataLayout)
	err = errors.CombineErrors(err, f.Sync())
	err = errors.CombineErrors(err, f.Close())
	return errors.CombineErrors(err, os.Remove(f.Name()))
}

// checkLayout compares the layout of the folder with dataLayout; in a new folder it writes the layout file.
func checkLayout(folder string) error {
	path := filepath.Join(folder, "layout")
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return writeLayout(folder, path)
	}
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	if got := strings.TrimSpace(string(raw)); got != dataLayout {
		return errors.Newf("data folder: %s says %q, this program reads %q", path, got, dataLayout)
	}
	return nil
}

func writeLayout(folder, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	_, err = f.WriteString(dataLayout + "\n")
	err = errors.CombineErrors(err, f.Sync())
	err = errors.CombineErrors(err, f.Close())
	return errors.Wrap(errors.CombineErrors(err, syncFolder(folder)), "data folder")
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}
