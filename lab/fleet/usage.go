package fleet

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/procfs"
)

// processUsage is the CPU time of one process since its start and its current resident memory.
type processUsage struct {
	cpuTime       time.Duration
	residentBytes int
}

func readUsage(pid int) (processUsage, error) {
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return processUsage{}, errors.Wrapf(err, "read process %d", pid)
	}
	stat, err := proc.Stat()
	if err != nil {
		return processUsage{}, errors.Wrapf(err, "read process %d", pid)
	}
	return processUsage{cpuTime: time.Duration(stat.CPUTime() * float64(time.Second)), residentBytes: stat.ResidentMemory()}, nil
}

// programOf returns the program of a process from its name, such as "node" for "node-s1-zone-1-1".
func programOf(process string) string {
	head, _, _ := strings.Cut(process, "-")
	return head
}
