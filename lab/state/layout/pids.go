package layout

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// ReadPIDs returns process IDs by process name. It reads the file "pids" of the start script, which has a name and a
// process ID on each line.
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
