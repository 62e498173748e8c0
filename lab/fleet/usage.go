package fleet

import (
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
