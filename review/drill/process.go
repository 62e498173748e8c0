package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one program of the system on a machine of its own, which is a loopback address.
type process struct {
	name     string
	program  string // target/node or target/control
	settings string // path of its settings file
	log      string // path of its output

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	closed bool // must not start again
}

// start starts the program with the command of the deploy file.
func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New(p.name + " must not start any more")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the running program.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the program at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}

// wait waits for the end of the program and reports whether it came in time.
func (p *process) wait(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// world is a small deployment.
type world struct {
	root    string // of the repository
	dir     string // temporary
	rec     *record
	block   int // second number of all loopback addresses
	control []*machine
	nodes   []*machine
	headers map[string]string // names of headers, as the settings of nodes hold them
}

// machine is a machine with one process.
type machine struct {
	*process
	ip      string
	zone    string
	service string
	data    string // data folder of a control process
	ports   map[string]int
	fields  fields
}

// address returns the address of a listener.
func (m *machine) address(listener string) string {
	return fmt.Sprintf("%s:%d", m.ip, m.ports[listener])
}

// newWorld prepares a deployment in a temporary folder; its processes do not run yet.
func newWorld(rec *record, controls int, services []string) (*world, error) {
	root, err := filepath.Abs(".")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "drill-")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, rec: rec, block: 16 + os.Getpid()%200}
	zones := []string{"z1", "z2", "z3"}
	for i := range controls {
		m := w.newMachine("control", i, zones[i%len(zones)])
		m.data = filepath.Join(dir, m.name+"-data")
		if err := os.Mkdir(m.data, 0o755); err != nil {
			return nil, err
		}
		w.control = append(w.control, m)
	}
	for i, service := range services {
		m := w.newMachine("node", i, zones[i%len(zones)])
		m.service = service
		w.nodes = append(w.nodes, m)
	}
	worldsMu.Lock()
	worlds = append(worlds, w)
	worldsMu.Unlock()
	return w, w.writeSettings(true)
}

// worlds are those whose processes may run.
var (
	worldsMu sync.Mutex
	worlds   []*world
)

func closeWorlds() {
	worldsMu.Lock()
	defer worldsMu.Unlock()
	for _, w := range worlds {
		w.close()
	}
}

func (w *world) newMachine(kind string, i int, zone string) *machine {
	third := 1
	if kind == "node" {
		third = 2
	}
	m := &machine{ip: fmt.Sprintf("127.%d.%d.%d", w.block, third, i+1), zone: zone, ports: map[string]int{}}
	m.process = &process{name: fmt.Sprintf("%s-%d", kind, i+1), program: filepath.Join(w.root, "target", kind)}
	m.settings = filepath.Join(w.dir, m.name+".json")
	m.log = filepath.Join(w.dir, m.name+".log")
	for _, l := range []string{"outbound", "inbound", "control", "ready", "app", "range"} {
		m.ports[l] = freePort(m.ip, l == "range")
	}
	return m
}

// writeSettings writes the settings of all machines from the templates of the repository.
func (w *world) writeSettings(first bool) error {
	var seeds []string
	for _, c := range w.control[:min(3, len(w.control))] {
		seeds = append(seeds, c.address("control"))
	}
	for _, m := range append(append([]*machine{}, w.control...), w.nodes...) {
		template := "node.json"
		if m.data != "" {
			template = "control.json"
		}
		text, err := os.ReadFile(filepath.Join(w.root, "platform", template))
		if err != nil {
			return err
		}
		m.fields = fields{
			"node": m.name, "zone": m.zone, "region": "r1", "ip": m.ip, "service": m.service,
			"listen.outbound": m.address("outbound"), "listen.inbound": m.address("inbound"),
			"listen.control": m.address("control"), "listen.ready": m.address("ready"),
			"port_range.0": m.ports["range"], "app_addr": m.address("app"), "seeds": seeds,
			"bounds.grace_s": 6, "bounds.retry_budget_ratio": 0.2,
			"data_dir": m.data, "bootstrap": first, "fault_tolerance.machines": 1,
		}
		if err := os.WriteFile(m.settings, []byte(render(string(text), m.fields)), 0o644); err != nil {
			return err
		}
	}
	return w.readHeaderNames()
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, m := range append(append([]*machine{}, w.control...), w.nodes...) {
		m.mu.Lock()
		m.closed = true
		m.mu.Unlock()
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
