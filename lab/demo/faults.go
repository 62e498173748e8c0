package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/lab/state/layout"
	"pollenhill.example/lab/transport/control"
)

const (
	stepDuration       = 4 * time.Second // of a fault and the time after it
	faultDuration      = 2 * time.Second // of a fault that is ended within its step
	leaderPollInterval = 100 * time.Millisecond
)

// Indices in Fleet.VMs of the VMs with faults.
const (
	coldVM      = 0 // booking, first zone
	stragglerVM = 2 // booking, second zone
	truncatedVM = 1 // records, first zone
	killedVM    = 4 // booking, third zone
	frozenVM    = 2 // booking, second zone
)

// faultStep injects one fault; end is nil if the fault is not ended.
type faultStep struct {
	name   string
	inject func(ctx context.Context) error
	end    func(ctx context.Context) error
}

// injectFaults injects one fault after the other.
func (d *demonstration) injectFaults(ctx context.Context) error {
	pids, err := d.fleet.ReadPIDs()
	if err != nil {
		return err
	}
	vms := d.fleet.VMs()
	endFaults := func(n int) func(context.Context) error { return d.setFaults(vms[n], map[string]any{}) }
	leader := ""
	steps := []faultStep{
		{"silent cold", d.postAdmin(vms[coldVM], "/cold", nil), nil},
		{"straggler", d.setFaults(vms[stragglerVM], map[string]any{"straggle": 20}), endFaults(stragglerVM)},
		{"fail fast", d.setFaults(vms[stragglerVM], map[string]any{"fail": 1}), endFaults(stragglerVM)},
		{"lost responses", d.setFaults(vms[stragglerVM], map[string]any{"reset": 0.3}), endFaults(stragglerVM)},
		{"false load reports", d.setFaults(vms[coldVM], map[string]any{"lie": true, "straggle": 10}), endFaults(coldVM)},
		{"cut downloads", d.setFaults(vms[truncatedVM], map[string]any{"truncate": 1}), endFaults(truncatedVM)},
		{"drain", d.postAdmin(vms[stragglerVM], "/drain", nil), d.postAdmin(vms[stragglerVM], "/undrain", nil)},
		{"node frozen", signalProcess(pids, vms[frozenVM].NodeName(), syscall.SIGSTOP), signalProcess(pids, vms[frozenVM].NodeName(), syscall.SIGCONT)},
		{"node killed", func(ctx context.Context) error {
			d.mu.Lock()
			d.killedCaller = killedVM
			d.mu.Unlock()
			return signalProcess(pids, vms[killedVM].NodeName(), syscall.SIGKILL)(ctx)
		}, nil},
		{"leader killed", func(ctx context.Context) error {
			return signalProcess(pids, d.findLeader(ctx, ""), syscall.SIGKILL)(ctx)
		}, nil},
		{"no quorum", func(ctx context.Context) error {
			leader = d.findLeader(ctx, leader)
			return signalProcess(pids, leader, syscall.SIGSTOP)(ctx)
		}, func(ctx context.Context) error { return signalProcess(pids, leader, syscall.SIGCONT)(ctx) }},
	}
	d.silentColdBackend = vms[coldVM].BackendName
	for _, s := range steps {
		if err := d.runStep(ctx, s); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	d.setPhase("healed")
	pause.For(ctx, stepDuration)
	return ctx.Err()
}

func (d *demonstration) runStep(ctx context.Context, s faultStep) error {
	d.setPhase(s.name)
	if err := s.inject(ctx); err != nil {
		return err
	}
	if s.end == nil {
		pause.For(ctx, stepDuration)
		return nil
	}
	pause.For(ctx, faultDuration)
	err := s.end(ctx)
	pause.For(ctx, stepDuration-faultDuration)
	return err
}

// setFaults replaces the faults that the stand-in of a VM injects.
func (d *demonstration) setFaults(v layout.VM, faults map[string]any) func(context.Context) error {
	return d.postAdmin(v, "/fault", faults)
}

// postAdmin returns a function that sends a POST request to the admin address of a stand-in.
func (d *demonstration) postAdmin(v layout.VM, path string, body map[string]any) func(context.Context) error {
	return func(ctx context.Context) error {
		raw, err := json.Marshal(body)
		if err != nil {
			return errors.Wrapf(err, "encode %s", path)
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.AdminAddress().String()+path, bytes.NewReader(raw))
		if err != nil {
			return errors.Wrapf(err, "post %s to %s", path, v.BackendName)
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return errors.Wrapf(err, "post %s to %s", path, v.BackendName)
		}
		defer resp.Body.Close()
		if resp.StatusCode >= http.StatusMultipleChoices {
			return errors.Newf("post %s to %s: status %d", path, v.BackendName, resp.StatusCode)
		}
		return nil
	}
}

func signalProcess(pids map[string]int, name string, s syscall.Signal) func(context.Context) error {
	return func(context.Context) error {
		pid, ok := pids[name]
		if !ok {
			return errors.Newf("no process %q", name)
		}
		return errors.Wrapf(syscall.Kill(pid, s), "signal %s", name)
	}
}

// findLeader returns the first leader that a control process with current state reports, other than except. It returns
// an empty string after stepDuration.
func (d *demonstration) findLeader(ctx context.Context, except string) string {
	for end := time.Now().Add(stepDuration); time.Now().Before(end); pause.For(ctx, leaderPollInterval) {
		for _, c := range d.fleet.ControlProcesses() {
			status, err := control.Status(ctx, c.Address)
			if err == nil && status.GetCurrent() && status.GetLeader() != except {
				return status.GetLeader()
			}
		}
	}
	return ""
}
