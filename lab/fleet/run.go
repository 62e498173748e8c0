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
	readyTime  = 30 * time.Second
	settleTime = 6 * time.Second // a change must be in force everywhere within this time
	poll       = 50 * time.Millisecond
)

// run is the state of one measurement.
type run struct {
	cfg     Config
	fleet   layout.Fleet
	pids    map[string]int
	written map[uint64]time.Time // when each change was written to the file
	stopped string               // control process that was killed or frozen
}

// Run measures idle cost, cost under changes and the time until each change was in force at every node.
func Run(ctx context.Context, cfg Config) error {
	pids, err := cfg.fleet().ReadPIDs()
	if err != nil {
		return err
	}
	r := &run{cfg: cfg, fleet: cfg.fleet(), pids: pids, written: map[uint64]time.Time{}}
	if err := r.ready(ctx); err != nil {
		return err
	}
	if err := r.measure(ctx, "idle", func() error { pause.For(ctx, cfg.IdleDuration); return nil }); err != nil {
		return err
	}
	if err := r.measure(ctx, "changes", func() error { return r.change(ctx) }); err != nil {
		return err
	}
	pause.For(ctx, settleTime)
	return r.report()
}

// ready waits until every node has the first rules.
func (r *run) ready(ctx context.Context) error {
	end := time.Now().Add(readyTime)
	for _, v := range r.fleet.VMs() {
		for {
			times, err := inForce(r.fleet.EventFile(v.NodeName()))
			if err == nil && !times[1].IsZero() {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return errors.Newf("%s has no rules after %s: %v", v.NodeName(), readyTime, err)
			}
			pause.For(ctx, poll)
		}
	}
	return nil
}

// measure prints what each role used while do ran.
func (r *run) measure(_ context.Context, name string, do func() error) error {
	before, start := r.usages(), time.Now()
	if err := do(); err != nil {
		return err
	}
	elapsed, after := time.Since(start), r.usages()
	for _, program := range []string{"control", "node"} {
		cpu, memory := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3), hdrhistogram.New(1, 1<<40, 3)
		for process, u := range after {
			b, ok := before[process]
			if !ok || role(process) != program {
				continue
			}
			share := float64(u.cpu-b.cpu) / float64(elapsed)
			_ = cpu.RecordValue(int64(share * 1e6))
			_ = memory.RecordValue(int64(u.memory))
		}
		fmt.Fprintf(r.cfg.Output, "| %s | %s | %d | %.2f%% | %.2f%% | %.1f | %.1f |\n", name, program, cpu.TotalCount(),
			cpu.Mean()/1e4, float64(cpu.Max())/1e4, memory.Mean()/(1<<20), float64(memory.Max())/(1<<20))
	}
	return nil
}

func (r *run) usages() map[string]usage {
	all := map[string]usage{}
	for process, pid := range r.pids {
		if u, err := readUsage(pid); err == nil {
			all[process] = u
		}
	}
	return all
}

// change edits the rule file of a control process that keeps running; the leader fails halfway.
func (r *run) change(ctx context.Context) error {
	leader, err := r.leader(ctx)
	if err != nil {
		return err
	}
	editor := r.editor(leader)
	for i := range r.cfg.RuleChanges {
		if i == r.cfg.RuleChanges/2 {
			if err := r.failLeader(leader); err != nil {
				return err
			}
		}
		number := uint64(i + 2)
		r.written[number] = time.Now()
		if err := r.fleet.ReplaceRuleFile(editor, int(number), "ola: measurement", r.cfg.body(int(number))); err != nil {
			return err
		}
		pause.For(ctx, r.cfg.ChangeInterval)
		if err := r.accepted(ctx, editor, number); err != nil {
			return err
		}
	}
	return nil
}

// editor returns the first control process that is not the leader, or the only one.
func (r *run) editor(leader string) string {
	list := r.fleet.ControlProcesses()
	for _, c := range list {
		if c.Name != leader {
			return c.Name
		}
	}
	return list[0].Name
}

func (r *run) failLeader(leader string) error {
	signal := map[string]syscall.Signal{"kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP}[r.cfg.LeaderFault]
	if signal == 0 {
		return nil
	}
	r.stopped = leader
	fmt.Fprintf(r.cfg.Output, "%s of the leader %s before change %d\n", r.cfg.LeaderFault, leader, r.cfg.RuleChanges/2+2)
	return errors.Wrapf(syscall.Kill(r.pids[leader], signal), "signal %s", leader)
}

func (r *run) leader(ctx context.Context) (string, error) {
	for _, c := range r.fleet.ControlProcesses() {
		status, err := control.Status(ctx, c.Address)
		if err == nil && status.GetLeader() != "" {
			return status.GetLeader(), nil
		}
	}
	return "", errors.New("no control process knows a leader")
}

// accepted waits until the editor's control process has accepted a change, since the next number depends on it.
func (r *run) accepted(ctx context.Context, name string, number uint64) error {
	for end := time.Now().Add(settleTime); ; pause.For(ctx, poll) {
		for _, c := range r.fleet.ControlProcesses() {
			if c.Name != name {
				continue
			}
			if status, err := control.Status(ctx, c.Address); err == nil && status.GetNumber() >= number {
				return nil
			}
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.Newf("change %d was not accepted within %s", number, settleTime)
		}
	}
}
