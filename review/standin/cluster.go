package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

//go:embed names.json
var namesJSON []byte

// headerNames are the platform's header names, read from names.json.
var headerNames struct {
	Request, Deadline, Target, Seal, Refused, Load, Instance, Cold, Caller string
}

func init() {
	if err := json.Unmarshal(namesJSON, &headerNames); err != nil {
		panic(err)
	}
}

// Ports of the listeners, the same on all VMs.
const (
	readyPort   = 18141
	controlPort = 18144
	appPort     = 18145
	inboundPort = 18146
	callerPort  = 18147
	hintPort    = 17380
)

// vm is one VM of the deployment; a VM with a disk runs control, the others run a node.
type vm struct {
	name    string
	zone    string
	ip      string
	service string // of the back end, empty for control
	data    string // data folder of control
	program string
	first   bool // the whole system starts for the first time
	process *exec.Cmd
	exited  chan struct{}
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// cluster is a small deployment on loopback addresses.
type cluster struct {
	root     string // of the repository
	dir      string // temporary folder
	record   *record
	controls []*vm
	nodes    []*vm
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newCluster prepares one control VM in each zone and a node for each service named, in the zones by turns.
func newCluster(r *record, services ...string) (*cluster, error) {
	root, err := filepath.Abs(os.Getenv("REPOSITORY"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-*")
	if err != nil {
		return nil, err
	}
	c := &cluster{root: root, dir: dir, record: r}
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	for i, zone := range zones {
		v := &vm{name: fmt.Sprintf("control-%d", i+1), zone: zone, ip: fmt.Sprintf("%s.%d", prefix, 10+i), program: "control", first: true}
		v.data = filepath.Join(dir, v.name)
		if err := os.Mkdir(v.data, 0o700); err != nil {
			return nil, err
		}
		c.controls = append(c.controls, v)
	}
	for i, service := range services {
		c.nodes = append(c.nodes, &vm{
			name: fmt.Sprintf("node-%d", i+1), zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", prefix, 100+i), service: service, program: "node",
		})
	}
	return c, nil
}

// freePrefix returns the first three bytes of loopback addresses on which the ports are free.
func freePrefix() (string, error) {
	for range 20 {
		prefix := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 10+rand.IntN(200))
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", prefix, controlPort))
		if err == nil {
			return prefix, ln.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

// settings fills in the template of a program as the platform does.
func (c *cluster) settings(v *vm) (string, error) {
	raw, err := os.ReadFile(filepath.Join(c.root, "platform", v.program+".json"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, control := range c.controls {
		seeds = append(seeds, `"`+control.address(controlPort)+`"`)
	}
	listenControl := v.address(controlPort)
	text := strings.NewReplacer(
		`{{node}}`, v.name, `{{zone}}`, v.zone, `{{region}}`, "region-1", `{{ip}}`, v.ip, `{{service}}`, v.service,
		`{{listen.outbound}}`, v.address(callerPort), `{{listen.inbound}}`, v.address(inboundPort), `{{listen.control}}`, listenControl,
		`{{listen.ready}}`, v.address(readyPort), `{{port_range.0}}`, fmt.Sprint(hintPort), `{{app_addr}}`, v.address(appPort),
		`{{data_dir}}`, v.data, `{{bootstrap|json}}`, fmt.Sprint(v.first), `{{fault_tolerance.machines|json}}`, "1",
		`{{#bounds.grace_s}}"kill": "{{.}}s",{{/bounds.grace_s}}`, `"kill": "6s",`,
		`{{#bounds.retry_budget_ratio}}"extra": {{.}},{{/bounds.retry_budget_ratio}}`, `"extra": 0.2,`,
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, strings.Join(seeds, ","),
	).Replace(string(raw))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("%s.json has a placeholder without a value", v.program)
	}
	path := filepath.Join(c.dir, v.name+".json")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the process of a VM with the command of the deploy file.
func (c *cluster) start(v *vm) error {
	path, err := c.settings(v)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(c.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	v.process = exec.Command(filepath.Join("target", v.program), "--settings", path)
	v.process.Dir = c.root
	v.process.Env = append(os.Environ(), "GOMAXPROCS=1") // the platform shows one core to each process
	v.process.Stdout, v.process.Stderr = out, out
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with this program
	if err := v.process.Start(); err != nil {
		return err
	}
	v.first = false
	v.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		c.record.add("%s: process %d ended: %v", v.name, cmd.Process.Pid, err)
		close(exited)
	}(v.process, v.exited)
	c.record.add("%s: process %d started in %s at %s", v.name, v.process.Process.Pid, v.zone, v.ip)
	return nil
}

// startAll starts all processes.
func (c *cluster) startAll() error {
	for _, v := range append(append([]*vm{}, c.controls...), c.nodes...) {
		if err := c.start(v); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a VM.
func (c *cluster) signal(v *vm, sig syscall.Signal) {
	c.record.add("%s: %s", v.name, sig)
	_ = v.process.Process.Signal(sig)
}

// stop ends all processes and removes the temporary folder.
func (c *cluster) stop() {
	all := append(append([]*vm{}, c.nodes...), c.controls...)
	for _, v := range all {
		if v.process != nil {
			_ = v.process.Process.Signal(syscall.SIGCONT)
			_ = v.process.Process.Signal(syscall.SIGTERM)
		}
	}
	deadline := time.After(8 * time.Second)
	for _, v := range all {
		if v.process == nil {
			continue
		}
		select {
		case <-v.exited:
		case <-deadline:
			_ = v.process.Process.Kill()
			<-v.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}
