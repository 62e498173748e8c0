package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 300 * time.Millisecond

// process is one program of the system and the platform's part in it: it is started again when it has ended.
type process struct {
	name     string
	program  string
	settings func(first bool) string // content of the settings file; first says that the system starts for the first time
	folder   string
	rec      *record

	mu       sync.Mutex
	cmd      *exec.Cmd
	starts   int
	started  time.Time
	stopping bool
	done     chan struct{} // closed when the process of cmd has ended
}

// start writes the settings and starts the program.
func (p *process) start() error {
	starting.RLock()
	defer starting.RUnlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return nil
	}
	path := filepath.Join(p.folder, p.name+".json")
	if err := os.WriteFile(path, []byte(p.settings(p.starts == 0)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.program, "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1") // the platform shows one core to each process
	if err := cmd.Start(); err != nil {
		return err
	}
	p.starts++
	p.started = time.Now()
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	running.Store(p, true)
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// running holds each process that was started, as a key, so that a signal to this program ends them too.
var running sync.Map

// starting is held for writing once no process may start any more.
var starting sync.RWMutex

// endAfter ends all processes and this program on SIGTERM and SIGINT, and after a limit.
func endAfter(limit time.Duration, folder func() string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	starting.Lock() // never unlocked
	running.Range(func(p, _ any) bool { p.(*process).stop(); return true })
	_ = os.RemoveAll(folder())
	os.Exit(exitNotRun)
}

// kill ends the running process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	_ = cmd.Process.Kill()
	<-done
}

// stop ends the process for good.
func (p *process) stop() {
	p.mu.Lock()
	p.stopping = true
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		p.kill()
	}
}

// ended reports whether the process has ended and is to be started again.
func (p *process) ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return !p.stopping
	default:
		return false
	}
}

// age returns the time since the last start.
func (p *process) age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.started)
}

// peakMB returns the most memory that the process has used since its start in MiB, without the pages of its program file; 0 if it
// has ended.
func (p *process) peakMB() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	kib := map[string]int{}
	for s := bufio.NewScanner(f); s.Scan(); {
		if fields := strings.Fields(s.Text()); len(fields) == 3 && fields[2] == "kB" {
			kib[fields[0]], _ = strconv.Atoi(fields[1])
		}
	}
	return (kib["VmHWM:"] - kib["RssFile:"]) / 1024
}

// Ports of the processes. The system takes ports for outgoing connections from above this range.
const (
	firstPort = 15000
	lastPort  = 30000
)

// freeAddresses returns n addresses on the loopback interface whose TCP and UDP ports are free.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for tries := 0; len(list) < n; tries++ {
		if tries > 100*n {
			return nil, errors.New("no free ports")
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if taken[address] || !isFree(address) {
			continue
		}
		taken[address] = true
		list = append(list, address)
	}
	return list, nil
}

// taken holds the addresses that freeAddresses has returned.
var taken = map[string]bool{}

func isFree(address string) bool {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer ln.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}
