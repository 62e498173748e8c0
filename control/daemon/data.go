package daemon

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// layout is the first line of the file that names the layout of the data folder.
const layout = "pollenhill data 1"

// prepare checks that the data folder exists, has a layout that this program knows, and can be written.
func prepare(folder string) error {
	info, err := os.Stat(folder)
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	if !info.IsDir() {
		return errors.Newf("data folder: %s is not a folder", folder)
	}
	if err := probe(folder); err != nil {
		return errors.Wrap(err, "data folder cannot be written")
	}
	return version(folder)
}

// probe writes, syncs and removes a file.
func probe(folder string) error {
	f, err := os.CreateTemp(folder, "probe-*")
	if err != nil {
		return err
	}
	_, err = f.WriteString(layout)
	err = errors.CombineErrors(err, f.Sync())
	err = errors.CombineErrors(err, f.Close())
	return errors.CombineErrors(err, os.Remove(f.Name()))
}

// version compares the layout of the folder with that of the program; a new folder gets it.
func version(folder string) error {
	path := filepath.Join(folder, "layout")
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return writeLayout(folder, path)
	}
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	if got := strings.TrimSpace(string(raw)); got != layout {
		return errors.Newf("data folder: %s says %q, this program reads %q", path, got, layout)
	}
	return nil
}

func writeLayout(folder, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	_, err = f.WriteString(layout + "\n")
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
