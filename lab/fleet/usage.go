package fleet

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/procfs"
)

// usage is what one process has used so far.
type usage struct {
	cpu    time.Duration
	memory int // bytes resident
}

// readPIDs reads the file that the start script writes: one name and process ID a line.
func readPIDs(dir string) (map[string]int, error) {
	f, err := os.Open(filepath.Join(dir, "pids"))
	if err != nil {
		return nil, errors.Wrap(err, "read process IDs")
	}
	defer f.Close()
	pids := map[string]int{}
	for s := bufio.NewScanner(f); s.Scan(); {
		var name string
		var pid int
		if _, err := fmt.Sscan(s.Text(), &name, &pid); err != nil {
			return nil, errors.Wrapf(err, "read process IDs: %q", s.Text())
		}
		pids[name] = pid
	}
	return pids, nil
}

func readUsage(pid int) (usage, error) {
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return usage{}, errors.Wrapf(err, "read process %d", pid)
	}
	stat, err := proc.Stat()
	if err != nil {
		return usage{}, errors.Wrapf(err, "read process %d", pid)
	}
	return usage{cpu: time.Duration(stat.CPUTime() * float64(time.Second)), memory: stat.ResidentMemory()}, nil
}

// role returns the program of a process name such as node-s1-zone-1-1.
func role(process string) string {
	head, _, _ := strings.Cut(process, "-")
	return head
}
