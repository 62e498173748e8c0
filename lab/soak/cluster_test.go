package soak_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Ports of the listeners, the same on all VMs.
const (
	controlPort = 18144
	backendPort = 18145
	peerPort    = 18146
	callerPort  = 18147
	localPort   = 18148
)

// programs is the folder with the programs, built once.
var programs = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak-programs-*")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "pollenhill.example/control", "pollenhill.example/node").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := programs(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// process is one running program; it is ended by its ID only.
type process struct {
	name    string
	cmd     *exec.Cmd
	exited  chan struct{}
	logPath string
}

// startProcess starts a program with its settings and with further environment variables, such as "GOMAXPROCS=1".
func startProcess(t testing.TB, dir, program, name string, settings map[string]any, env ...string) *process {
	t.Helper()
	programDir, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, exited: make(chan struct{}), logPath: filepath.Join(dir, name+".log")}
	out, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(programDir, program), "--settings", path)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.exited) }()
	t.Cleanup(p.end)
	return p
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// freeze stops the process by SIGSTOP and waits until all of its threads are stopped. The kernel gives the signal to one thread,
// which stops the others when it is scheduled; on a busy machine they run on and answer calls until then.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	for deadline := time.Now().Add(10 * time.Second); !p.isFrozen(); {
		if time.Now().After(deadline) {
			t.Fatalf("%s has threads that run 10 s after SIGSTOP", p.name)
		}
		<-time.After(time.Millisecond)
	}
}

// isFrozen reports whether every thread of the process is in the state T, stopped.
func (p *process) isFrozen() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			return false
		}
		// The name of the program stands in parentheses before the state.
		if _, state, ok := strings.Cut(string(stat), ") "); !ok || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// end stops the process, by SIGKILL after a while.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// cluster is a control process and a node with a back end in each of three zones.
type cluster struct {
	t        *testing.T
	prefix   string
	controls []*process
	nodes    []*process
	runs     [3]atomic.Int64 // requests that reached the back end of each zone
	requests atomic.Int64    // IDs of requests
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

const soakTable = `{"version":2,"routes":[{"name":"read","host":"desk.example","path":"/","kind":"idempotent","timeout":1000,"aim":200,"rank":1,"service":"desk","tries":2}],` +
	`"services":[{"name":"desk","health":"/health","connections":100,"cold":1,"rate":1000}],"limits":{"header":16384,"body":1000000,"read":3000,"idle":15000}}`

func startCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, prefix: freePrefix(t)}
	dir := t.TempDir()
	var seeds []string
	for i := range zones {
		seeds = append(seeds, c.control(i))
	}
	for i, zone := range zones {
		ip := c.controlIP(i)
		if err := os.Mkdir(filepath.Join(dir, fmt.Sprintf("data-%d", i+1)), 0o700); err != nil {
			t.Fatal(err)
		}
		c.controls = append(c.controls, startProcess(t, dir, "control", fmt.Sprintf("control-%d", i+1), map[string]any{
			"zone": zone, "region": "r", "listen": c.control(i), "bind": ip, "data": filepath.Join(dir, fmt.Sprintf("data-%d", i+1)),
			"seeds": seeds, "first": true, "losses": 1, "events": "-",
		}))
	}
	for i, zone := range zones {
		ip := c.nodeIP(i)
		c.startBackend(i)
		c.nodes = append(c.nodes, startProcess(t, dir, "node", fmt.Sprintf("node-%d", i+1), map[string]any{
			"name": fmt.Sprintf("node-%d", i+1), "zone": zone, "region": "r", "bind": ip, "seeds": seeds, "events": "-",
			"caller": address(ip, callerPort), "peer": address(ip, peerPort), "local": address(ip, localPort),
			"backend": map[string]any{"service": "desk", "address": address(ip, backendPort)},
		}))
	}
	c.eventually("the table is accepted", func() bool {
		return c.call(0, http.MethodPut, "/table", soakTable, time.Second) == http.StatusOK
	})
	for i := range zones {
		go c.report(i)
	}
	c.eventually("all nodes use the back ends of all zones", func() bool {
		before := c.counts()
		for i := range c.nodes {
			c.read(i)
		}
		after := c.counts()
		return after[0] > before[0] && after[1] > before[1] && after[2] > before[2]
	})
	return c
}

// prefixes is the number of prefixes that freePrefix has tried.
var prefixes atomic.Int32

// freePrefix returns the first three bytes of loopback addresses that no other cluster uses.
func freePrefix(t testing.TB) string {
	for range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 60+os.Getpid()%100, prefixes.Add(1))
		if ln, err := net.Listen("tcp", prefix+".10:"+fmt.Sprint(controlPort)); err == nil {
			ln.Close()
			return prefix
		}
	}
	t.Fatal("no free loopback addresses")
	return ""
}

func address(ip string, port int) string  { return fmt.Sprintf("%s:%d", ip, port) }
func (c *cluster) controlIP(i int) string { return fmt.Sprintf("%s.%d", c.prefix, 10+i) }
func (c *cluster) nodeIP(i int) string    { return fmt.Sprintf("%s.%d", c.prefix, 100+i) }
func (c *cluster) control(i int) string   { return address(c.controlIP(i), controlPort) }
func (c *cluster) counts() (n [3]int64) {
	for i := range n {
		n[i] = c.runs[i].Load()
	}
	return n
}
func (c *cluster) controlURL(i int) string { return "http://" + c.control(i) }

// startBackend serves the back end beside a node until the test ends.
func (c *cluster) startBackend(i int) {
	ln, err := net.Listen("tcp", address(c.nodeIP(i), backendPort))
	if err != nil {
		c.t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		c.runs[i].Add(1)
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = s.Serve(ln) }()
	c.t.Cleanup(func() { _ = s.Close() })
}

// report sends the heartbeats of a back end until the test ends.
func (c *cluster) report(i int) {
	born := time.Now().UnixMilli()
	for sequence := 1; c.t.Context().Err() == nil; sequence++ {
		body := fmt.Sprintf(`{"service":"desk","address":%q,"zone":%q,"version":"v1","slots":50,"state":"ready","warming":0,"sequence":%d,"born":%d}`,
			address(c.nodeIP(i), backendPort), zones[i], sequence, born)
		_ = do(http.MethodPut, fmt.Sprintf("http://%s/backends/i-%d", address(c.nodeIP(i), localPort), i), body, time.Second)
		select {
		case <-time.After(300 * time.Millisecond):
		case <-c.t.Context().Done():
		}
	}
}

// read sends a request through a node.
func (c *cluster) read(i int) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address(c.nodeIP(i), callerPort)+"/x", http.NoBody)
	if err != nil {
		c.t.Error(err)
		return
	}
	req.Host = "desk.example"
	resp, err := (&http.Client{Timeout: 2 * time.Second}).Do(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// loadPause is the time between two requests of one client.
const loadPause = 5 * time.Millisecond

// load sends requests through all nodes for a time.
func (c *cluster) load(length time.Duration) {
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for i := range c.nodes {
		for range 4 {
			wg.Go(func() {
				for time.Now().Before(end) {
					c.read(i)
					<-time.After(loadPause)
				}
			})
		}
	}
	wg.Wait()
}

// call sends a call of the change interface to a control process and returns the status, 0 without a response.
func (c *cluster) call(i int, method, path, body string, timeout time.Duration) int {
	return do(method, c.controlURL(i)+path, body, timeout)
}

// do sends a call and returns the status, 0 without a response. A whole table replaces the first, empty one.
func do(method, url, body string, timeout time.Duration) int {
	base := ""
	if method == http.MethodPut && strings.HasSuffix(url, "/table") {
		base = "0"
	}
	status, _ := exchange(method, url, base, body, timeout)
	return status
}

// exchange sends a call and returns the status and the body of the response, 0 without one. Base is the version that a change of
// the table builds on, empty for other calls.
func exchange(method, url, base, body string, timeout time.Duration) (status int, response string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	if base != "" {
		req.Header.Set("If-Match", base)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(raw)
}

// order sends an order about a zone until the control process acknowledges it.
func (c *cluster) order(control int, method, zone string) {
	c.t.Helper()
	c.eventually(method+" "+zone+" is acknowledged", func() bool {
		return c.call(control, method, "/zones/"+zone+"/out", "", time.Second) == http.StatusOK
	})
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	end := time.After(30 * time.Second)
	for !ok() {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-end:
			c.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// expectEmpty fails the test if requests reach a zone later than evacuationBound after now; load must be the only load.
func (c *cluster) expectEmpty(zone int) {
	c.t.Helper()
	c.load(evacuationBound)
	before := c.runs[zone].Load()
	c.load(2 * time.Second)
	if n := c.runs[zone].Load() - before; n > 0 {
		c.t.Errorf("%d requests reached %s later than %v after its evacuation was acknowledged", n, zones[zone], evacuationBound)
	}
}

// evacuationBound is the time after which an evacuated zone gets no request.
const evacuationBound = 5 * time.Second
