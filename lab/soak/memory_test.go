package soak_test

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/control/controlconnect"
)

// controlMemory is the memory that a control process may use, in MiB (docs/design.md, 1.4).
const controlMemory = 256

// controlGroup is a group of control processes without nodes. Each has one core, as on a small VM.
type controlGroup struct {
	t        testing.TB
	dir      string
	seeds    []string
	controls []*process
	calls    int // to the processes, one after the other
	version  int // of the newest table
	peak     int // most memory of a process, in MiB, up to the last call of notePeak
}

func startControlGroup(t testing.TB) *controlGroup {
	t.Helper()
	g := &controlGroup{t: t, dir: t.TempDir()}
	prefix := freePrefix(t)
	for i := range zones {
		g.seeds = append(g.seeds, address(fmt.Sprintf("%s.%d", prefix, 10+i), controlPort))
		if err := os.Mkdir(g.dataDir(i), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	g.start(true)
	return g
}

func (g *controlGroup) dataDir(i int) string {
	return filepath.Join(g.dir, fmt.Sprintf("data-%d", i+1))
}

// start starts all processes; first says that the group is new.
func (g *controlGroup) start(first bool) {
	g.controls = nil
	for i, zone := range zones {
		ip, _, _ := strings.Cut(g.seeds[i], ":")
		g.controls = append(g.controls, startProcess(g.t, g.dir, "control", fmt.Sprintf("control-%d", i+1), map[string]any{
			"zone": zone, "region": "r", "listen": g.seeds[i], "bind": ip, "data": g.dataDir(i),
			"seeds": g.seeds, "first": first, "losses": 1, "events": "-", "memory": controlMemory,
		}, "GOMAXPROCS=1"))
	}
}

// restart kills all processes at the same moment and starts them again.
func (g *controlGroup) restart() {
	for _, p := range g.controls {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range g.controls {
		<-p.exited
	}
	g.peak = 0
	g.start(false)
}

// table returns a whole table; its routes differ from those of other versions in their timeouts.
func (g *controlGroup) table(version, routes int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"services":[{"name":"desk","health":"/health","connections":100,"cold":1,"rate":1000}],"routes":[`, version)
	for i := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%05d","host":"desk.example","path":"/read%05d/","kind":"idempotent","timeout":%d,"aim":200,"rank":2,"service":"desk","tries":2}`, i, i, 1200+version)
	}
	b.WriteString("]}")
	return b.String()
}

// change sends the next whole table until it is acknowledged.
func (g *controlGroup) change(routes int) {
	g.t.Helper()
	body := g.table(g.version+1, routes)
	base := strconv.Itoa(g.version)
	g.await("the table is acknowledged", func(control string) bool {
		status, _ := exchange(http.MethodPut, "http://"+control+"/table", base, body, callTimeout)
		return status == http.StatusOK
	})
	g.version++
	g.notePeak()
}

// awaitTable waits until every process answers a read with the newest table.
func (g *controlGroup) awaitTable() {
	g.t.Helper()
	want := fmt.Sprintf(`{"version":%d,`, g.version)
	for range g.controls {
		g.await("the newest table is read", func(control string) bool {
			_, body := exchange(http.MethodGet, "http://"+control+"/table", "", "", callTimeout)
			return strings.HasPrefix(body, want)
		})
		g.notePeak()
	}
}

// callTimeout is how long a call to a control process may take before another process is asked.
const callTimeout = 2 * time.Second

// patience is how long await waits; it bounds a test that would hang, on machines of any speed.
const patience = 2 * time.Minute

// await calls ok with one process after another until it returns true; each call begins with another process.
func (g *controlGroup) await(what string, ok func(control string) bool) {
	g.t.Helper()
	for end := time.Now().Add(patience); ; {
		g.calls++
		if ok(g.seeds[g.calls%len(g.seeds)]) {
			return
		}
		g.notePeak()
		if time.Now().After(end) {
			g.t.Fatalf("timed out waiting until %s", what)
		}
		<-time.After(20 * time.Millisecond)
	}
}

// notePeak reads how much memory the processes have used at most.
func (g *controlGroup) notePeak() {
	for _, p := range g.controls {
		g.peak = max(g.peak, p.peakMemory())
	}
}

// peakMemory returns the most memory that the process has used since its start in MiB, 0 if it has ended.
func (p *process) peakMemory() int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) == 3 && fields[0] == "VmHWM:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib >> 10
		}
	}
	return 0
}

// Guards against control processes that keep or load more than their VM has memory for (review/12): after whole tables of 4,200
// routes, before and after a kill of all, where each start would be killed again.
func TestControlMemoryIsBounded(t *testing.T) {
	t.Parallel()
	const routes, changes = 4200, 90
	g := startControlGroup(t)
	for range changes {
		g.change(routes)
	}
	if g.peak > controlMemory {
		t.Errorf("a control process used %d MiB before the restart, want at most %d", g.peak, controlMemory)
	}
	t.Logf("before the restart: %d MiB", g.peak)
	g.restart()
	g.awaitTable()
	if g.peak > controlMemory {
		t.Errorf("a control process used %d MiB after the restart, want at most %d", g.peak, controlMemory)
	}
	t.Logf("after the restart: %d MiB", g.peak)
}

// BenchmarkControlMemory measures the most memory of a control process and the time of a restart of all, by the routes and the
// number of whole tables; run it with -benchtime 1x.
func BenchmarkControlMemory(b *testing.B) {
	for _, size := range []struct{ routes, changes int }{{5, 315}, {1405, 315}, {2800, 160}, {4200, 60}, {4200, 300}} {
		b.Run(fmt.Sprintf("routes=%d/changes=%d", size.routes, size.changes), func(b *testing.B) {
			for range b.N {
				g := startControlGroup(b)
				for range size.changes {
					g.change(size.routes)
				}
				b.ReportMetric(float64(g.peak), "MiB")
				g.restart()
				begin := time.Now()
				g.awaitTable()
				b.ReportMetric(time.Since(begin).Seconds(), "s-to-table")
				b.ReportMetric(float64(g.peak), "MiB-restarted")
			}
		})
	}
}

// BenchmarkControlMemoryOfClaims measures the most memory of a control process that keeps as many bytes of claims as it may beside a
// large table that changes; run it with -benchtime 1x.
func BenchmarkControlMemoryOfClaims(b *testing.B) {
	const claims, bodySize, callers, routes, changes = 16_000, 2_000, 32, 4200, 30
	body := make([]byte, bodySize)
	for range b.N {
		g := startControlGroup(b)
		g.change(5)
		p := new(http.Protocols)
		p.SetUnencryptedHTTP2(true)
		rpc := controlconnect.NewControlClient(&http.Client{Transport: &http.Transport{Protocols: p}}, "http://"+g.seeds[0])
		var next atomic.Int64
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for n := next.Add(1); n <= claims; n = next.Add(1) {
					claim := &control.ClaimRequest{Service: "desk", Key: strconv.FormatInt(n, 10), Attempt: "a"}
					finish := &control.FinishRequest{Service: "desk", Key: claim.GetKey(), Attempt: "a", Answer: &control.Answer{Status: 200, Body: body}}
					_, err := rpc.Claim(b.Context(), connect.NewRequest(claim))
					if err == nil {
						_, err = rpc.Finish(b.Context(), connect.NewRequest(finish))
					}
					if err != nil {
						b.Log(err)
					}
				}
			})
		}
		wg.Wait()
		g.notePeak()
		b.ReportMetric(float64(g.peak), "MiB")
		for range changes {
			g.change(routes)
		}
		b.ReportMetric(float64(g.peak), "MiB-changed")
		g.restart()
		g.awaitTable()
		b.ReportMetric(float64(g.peak), "MiB-restarted")
	}
}
