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
	faultTime  = 4 * time.Second
	freezeTime = 2 * time.Second
	pollTime   = 100 * time.Millisecond
)

// VMs with faults, by their place in the layout.
const (
	coldVM      = 0 // booking, first zone
	straggler   = 2 // booking, second zone
	truncatedVM = 1 // records, first zone
	killedVM    = 4 // booking, third zone
	frozenVM    = 2
)

// step is one fault; heal ends it and may be nil.
type step struct {
	name  string
	start func(ctx context.Context) error
	heal  func(ctx context.Context) error
}

// injectFaults injects one fault after the other while the load runs.
func (r *run) injectFaults(ctx context.Context) error {
	pids, err := r.fleet.ReadPIDs()
	if err != nil {
		return err
	}
	vms := r.fleet.VMs()
	healthy := func(n int) func(context.Context) error { return r.set(vms[n], map[string]any{}) }
	leader := ""
	steps := []step{
		{"silent cold", r.post(vms[coldVM], "/cold", nil), nil},
		{"straggler", r.set(vms[straggler], map[string]any{"straggle": 20}), healthy(straggler)},
		{"fail fast", r.set(vms[straggler], map[string]any{"fail": 1}), healthy(straggler)},
		{"lost responses", r.set(vms[straggler], map[string]any{"reset": 0.3}), healthy(straggler)},
		{"false load reports", r.set(vms[coldVM], map[string]any{"lie": true, "straggle": 10}), healthy(coldVM)},
		{"cut downloads", r.set(vms[truncatedVM], map[string]any{"truncate": 1}), healthy(truncatedVM)},
		{"drain", r.post(vms[straggler], "/drain", nil), r.post(vms[straggler], "/undrain", nil)},
		{"node frozen", signal(pids, vms[frozenVM].NodeName(), syscall.SIGSTOP), signal(pids, vms[frozenVM].NodeName(), syscall.SIGCONT)},
		{"node killed", func(ctx context.Context) error {
			r.mu.Lock()
			r.dead = killedVM
			r.mu.Unlock()
			return signal(pids, vms[killedVM].NodeName(), syscall.SIGKILL)(ctx)
		}, nil},
		{"leader killed", func(ctx context.Context) error { return signal(pids, r.leader(ctx, ""), syscall.SIGKILL)(ctx) }, nil},
		{"no quorum", func(ctx context.Context) error {
			leader = r.leader(ctx, leader)
			return signal(pids, leader, syscall.SIGSTOP)(ctx)
		}, func(ctx context.Context) error { return signal(pids, leader, syscall.SIGCONT)(ctx) }},
	}
	r.turnedCold = vms[coldVM].BackendName
	for _, s := range steps {
		if err := r.runStep(ctx, s); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	r.enter("healed")
	pause.For(ctx, faultTime)
	return ctx.Err()
}

func (r *run) runStep(ctx context.Context, s step) error {
	r.enter(s.name)
	if err := s.start(ctx); err != nil {
		return err
	}
	if s.heal == nil {
		pause.For(ctx, faultTime)
		return nil
	}
	pause.For(ctx, freezeTime)
	err := s.heal(ctx)
	pause.For(ctx, faultTime-freezeTime)
	return err
}

func (r *run) set(v layout.VM, faults map[string]any) func(context.Context) error {
	return r.post(v, "/fault", faults)
}

// post sends a request to the admin listener of a stand-in.
func (r *run) post(v layout.VM, path string, body map[string]any) func(context.Context) error {
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

func signal(pids map[string]int, name string, s syscall.Signal) func(context.Context) error {
	return func(context.Context) error {
		pid, ok := pids[name]
		if !ok {
			return errors.Newf("no process %q", name)
		}
		return errors.Wrapf(syscall.Kill(pid, s), "signal %s", name)
	}
}

// leader returns the leader that the first answering control process knows, except the one named.
func (r *run) leader(ctx context.Context, except string) string {
	for end := time.Now().Add(faultTime); time.Now().Before(end); pause.For(ctx, pollTime) {
		for _, c := range r.fleet.ControlProcesses() {
			status, err := control.Status(ctx, c.Address)
			if err == nil && status.GetCurrent() && status.GetLeader() != except {
				return status.GetLeader()
			}
		}
	}
	return ""
}
