package fleet

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/lab/state/layout"
	"pollenhill.example/lab/transport/control"
)

const (
	readyTimeout   = 30 * time.Second
	inForceTimeout = 6 * time.Second // longest time until a change is accepted, and wait after the last one until it is in force
	pollInterval   = 50 * time.Millisecond
)

// measurement is the state of one run.
type measurement struct {
	cfg          Config
	fleet        layout.Fleet
	pids         map[string]int       // by process name
	writeTimes   map[uint64]time.Time // when each change was written to the rule file, by change number
	failedLeader string               // leader that was killed or frozen, empty for none
}

// Run measures the CPU time and memory of idle processes and during rule changes, and the time until each change was in
// force at every node. It prints the results.
func Run(ctx context.Context, cfg Config) error {
	pids, err := cfg.fleet().ReadPIDs()
	if err != nil {
		return err
	}
	m := &measurement{cfg: cfg, fleet: cfg.fleet(), pids: pids, writeTimes: map[uint64]time.Time{}}
	if err := m.waitReady(ctx); err != nil {
		return err
	}
	if err := m.measureUsage(ctx, "idle", func() error { pause.For(ctx, cfg.IdleDuration); return nil }); err != nil {
		return err
	}
	if err := m.measureUsage(ctx, "changes", func() error { return m.makeChanges(ctx) }); err != nil {
		return err
	}
	pause.For(ctx, inForceTimeout)
	return m.reportDelays()
}

// waitReady waits until every node has applied the first rules.
func (m *measurement) waitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for _, v := range m.fleet.VMs() {
		for {
			times, err := readInForceTimes(m.fleet.EventFile(v.NodeName()))
			if err == nil && !times[1].IsZero() {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return errors.Newf("%s has not applied rules after %s: %v", v.NodeName(), readyTimeout, err)
			}
			pause.For(ctx, pollInterval)
		}
	}
	return nil
}

// measureUsage runs workload and prints, for the processes of each program, mean and maximum of the share of one CPU that
// they used meanwhile and of their resident memory in MiB after it.
func (m *measurement) measureUsage(_ context.Context, name string, workload func() error) error {
	before, start := m.processUsages(), time.Now()
	if err := workload(); err != nil {
		return err
	}
	elapsed, after := time.Since(start), m.processUsages()
	for _, program := range []string{"control", "node"} {
		cpu, memory := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3), hdrhistogram.New(1, 1<<40, 3)
		for process, u := range after {
			b, ok := before[process]
			if !ok || programOf(process) != program {
				continue
			}
			cpuShare := float64(u.cpuTime-b.cpuTime) / float64(elapsed)
			_ = cpu.RecordValue(int64(cpuShare * 1e6))
			_ = memory.RecordValue(int64(u.residentBytes))
		}
		fmt.Fprintf(m.cfg.Output, "| %s | %s | %d | %.2f%% | %.2f%% | %.1f | %.1f |\n", name, program, cpu.TotalCount(),
			cpu.Mean()/1e4, float64(cpu.Max())/1e4, memory.Mean()/(1<<20), float64(memory.Max())/(1<<20))
	}
	return nil
}

func (m *measurement) processUsages() map[string]processUsage {
	all := map[string]processUsage{}
	for process, pid := range m.pids {
		if u, err := readUsage(pid); err == nil {
			all[process] = u
		}
	}
	return all
}

// makeChanges edits the rule file of a control process that keeps running. The leader is killed or frozen halfway, if
// Config.LeaderFault says so.
func (m *measurement) makeChanges(ctx context.Context) error {
	leader, err := m.findLeader(ctx)
	if err != nil {
		return err
	}
	editor := m.pickEditor(leader)
	for i := range m.cfg.RuleChanges {
		if i == m.cfg.RuleChanges/2 {
			if err := m.failLeader(leader); err != nil {
				return err
			}
		}
		number := uint64(i + 2)
		m.writeTimes[number] = time.Now()
		if err := m.fleet.ReplaceRuleFile(editor, int(number), "ola: measurement", m.cfg.ruleBody(int(number))); err != nil {
			return err
		}
		pause.For(ctx, m.cfg.ChangeInterval)
		if err := m.waitAccepted(ctx, editor, number); err != nil {
			return err
		}
	}
	return nil
}

// pickEditor returns the first control process that is not the leader, or the only one.
func (m *measurement) pickEditor(leader string) string {
	list := m.fleet.ControlProcesses()
	for _, c := range list {
		if c.Name != leader {
			return c.Name
		}
	}
	return list[0].Name
}

// failLeader kills or freezes the leader as Config.LeaderFault says.
func (m *measurement) failLeader(leader string) error {
	signal := map[string]syscall.Signal{"kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP}[m.cfg.LeaderFault]
	if signal == 0 {
		return nil
	}
	m.failedLeader = leader
	fmt.Fprintf(m.cfg.Output, "%s of the leader %s before change %d\n", m.cfg.LeaderFault, leader, m.cfg.RuleChanges/2+2)
	return errors.Wrapf(syscall.Kill(m.pids[leader], signal), "signal %s", leader)
}

func (m *measurement) findLeader(ctx context.Context) (string, error) {
	for _, c := range m.fleet.ControlProcesses() {
		status, err := control.Status(ctx, c.Address)
		if err == nil && status.GetLeader() != "" {
			return status.GetLeader(), nil
		}
	}
	return "", errors.New("no control process knows a leader")
}

// waitAccepted waits until a control process has accepted a change, because the next change must have the next number.
func (m *measurement) waitAccepted(ctx context.Context, name string, number uint64) error {
	for end := time.Now().Add(inForceTimeout); ; pause.For(ctx, pollInterval) {
		for _, c := range m.fleet.ControlProcesses() {
			if c.Name != name {
				continue
			}
			if status, err := control.Status(ctx, c.Address); err == nil && status.GetNumber() >= number {
				return nil
			}
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.Newf("change %d was not accepted within %s", number, inForceTimeout)
		}
	}
}
