package layout

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// ReadPIDs reads the process IDs that the start script writes, one name and number a line, by process name.
func (f Fleet) ReadPIDs() (map[string]int, error) {
	file, err := os.Open(filepath.Join(f.Dir, "pids"))
	if err != nil {
		return nil, errors.Wrap(err, "read process IDs")
	}
	defer file.Close()
	pids := map[string]int{}
	for s := bufio.NewScanner(file); s.Scan(); {
		var name string
		var pid int
		if _, err := fmt.Sscan(s.Text(), &name, &pid); err != nil {
			return nil, errors.Wrapf(err, "read process IDs: %q", s.Text())
		}
		pids[name] = pid
	}
	return pids, nil
}
