package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"pollenhill.example/control/daemon"
	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/coordination/membership"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/control/controlconnect"
	"pollenhill.example/core/state/replica"
	client "pollenhill.example/node/transport/control"
)

const (
	benchClients  = 60
	benchServices = 110
	benchWindow   = 10 * time.Second
	benchChanges  = 10 // per second
)

// largeRuleText returns a rule file of target size: 110 services with eight rules each.
func largeRuleText(number uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "format 1\nchange %d # kari: bench\nzone oslo-a region=oslo # ola: first site\n", number)
	for i := range benchServices {
		s := fmt.Sprintf("s%03d", i)
		fmt.Fprintf(&b, "service %s host=%s.example path=/ # kari: service\n", s, s)
		for _, rest := range []string{
			"limit %s slots=12 connections=240 queue=24", "deadline %s 2s", "retry %s 10%%", "hedge %s 5%% after=p95",
			"probe %s 1%%", "cold %s 2", "spill %s 80%%",
		} {
			fmt.Fprintf(&b, rest+" # ola: default\n", s)
		}
	}
	return b.String()
}

// byteMeter counts the bytes of connections in both directions, without TCP and IP headers.
type byteMeter struct{ bytes atomic.Int64 }

func (m *byteMeter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	c, err := d.DialContext(ctx, network, address)
	return meteredConn{c, m}, err
}

type meteredConn struct {
	net.Conn
	meter *byteMeter
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// startClients runs the control clients of n nodes, which announce one back end each, until the benchmark ends.
func startClients(b *testing.B, m *byteMeter, n int, servers ...daemon.Settings) []*client.Client {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	b.Cleanup(func() { cancel(); wg.Wait() })
	clients := make([]*client.Client, n)
	for i := range clients {
		cfg := client.Config{Node: fmt.Sprintf("node%04d", i), Zone: fmt.Sprintf("z%d", i%3), Region: "oslo", Dial: m.dial}
		for _, s := range servers {
			cfg.Servers = append(cfg.Servers, client.Server{Name: s.Name, Address: s.Listen, Region: s.Region})
		}
		c := client.New(cfg)
		c.Announce(benchMember(i))
		wg.Go(func() { _ = c.Run(ctx) })
		clients[i] = c
	}
	return clients
}

func benchMember(i int) *control.Member {
	node := fmt.Sprintf("node%04d", i)
	return &control.Member{
		Node: node, Address: fmt.Sprintf("127.1.%d.%d:7000", i/250, i%250+1), Zone: fmt.Sprintf("z%d", i%14), Region: "oslo",
		Incarnation: 1764810000000, Backends: []*control.Backend{{
			Name: fmt.Sprintf("backend-%04d", i), Service: fmt.Sprintf("s%03d", i%benchServices), Address: "127.0.0.1:8000",
			Slots: 12, Connections: 240, State: control.State_STATE_READY,
		}},
	}
}

// waitAllMembers waits until every client is confirmed and knows all members.
func waitAllMembers(b *testing.B, clients []*client.Client) {
	b.Helper()
	for _, c := range clients {
		awaitState(b, c, "members", func(s *follow.State) bool { return s.Confirmed && len(s.Members) == len(clients) })
	}
}

// submitLargeRules submits a change that must be accepted and returns its revision.
func submitLargeRules(b *testing.B, d *daemon.Daemon, number uint64) uint64 {
	b.Helper()
	res, err := d.SubmitRules(b.Context(), number, largeRuleText(number))
	if err != nil || res.Verdict != replica.VerdictAccepted {
		b.Fatalf("change %d: %v %s %v", number, res.Verdict, res.Problem, err)
	}
	return res.Change.Revision
}

// cpuTime returns the CPU time used by this process, which runs the control process and all clients.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTraffic reports bytes and CPU time per client, idle and at ten changes per second.
func BenchmarkTraffic(b *testing.B) {
	for _, rate := range []int{0, benchChanges} {
		b.Run(fmt.Sprintf("changes=%d", rate), func(b *testing.B) {
			s := singleSettings(b)
			d, _ := start(b, s)
			var m byteMeter
			clients := startClients(b, &m, benchClients, s)
			waitAllMembers(b, clients)
			number := uint64(1)
			revision := submitLargeRules(b, d, number)
			for _, c := range clients {
				awaitState(b, c, "change", func(s *follow.State) bool { return s.Revision >= revision })
			}
			<-time.After(membership.WarmupDuration + time.Second) // after its warm-up the control process sends all members once
			for b.Loop() {
				bytes, used := m.bytes.Load(), cpuTime(b)
				callAtRate(func() {
					number++
					submitLargeRules(b, d, number)
				}, rate)
				seconds := benchWindow.Seconds() * benchClients
				b.ReportMetric(float64(m.bytes.Load()-bytes)/seconds, "B/s/client")
				b.ReportMetric(100*(cpuTime(b)-used).Seconds()/seconds, "%core/client")
			}
		})
	}
}

// callAtRate calls f rate times per second for benchWindow.
func callAtRate(f func(), rate int) {
	end := time.After(benchWindow)
	if rate == 0 {
		<-end
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-end:
			return
		}
	}
}

// BenchmarkJoin reports the time, bytes and memory until a new node has its first complete state at target size.
func BenchmarkJoin(b *testing.B) {
	const members = 2860
	s := singleSettings(b)
	d, _ := start(b, s)
	submitLargeRules(b, d, 1)
	rpc := controlconnect.NewControlClient(http.DefaultClient, "http://"+s.Listen.String())
	announce := func() {
		for i := range members {
			in := benchMember(i)
			in.Sequence = uint64(time.Now().UnixNano())
			if _, err := rpc.Announce(b.Context(), connect.NewRequest(&control.AnnounceRequest{Member: in})); err != nil {
				b.Fatal(err)
			}
		}
	}
	for b.Loop() {
		announce()
		var m byteMeter
		before := heapInUse()
		cfg := client.Config{
			Node: "joiner", Zone: "z1", Region: "oslo", Dial: m.dial,
			Servers: []client.Server{{Name: s.Name, Address: s.Listen, Region: s.Region}},
		}
		c := client.New(cfg)
		ctx, cancel := context.WithCancel(b.Context())
		done := make(chan struct{})
		begin := time.Now()
		go func() { _ = c.Run(ctx); close(done) }()
		got := awaitState(b, c, "members", func(s *follow.State) bool { return len(s.Members) >= 1300 && s.Revision > 0 })
		b.ReportMetric(float64(time.Since(begin).Milliseconds()), "ms")
		b.ReportMetric(float64(len(got.Members)), "members")
		b.ReportMetric(float64(m.bytes.Load()), "B")
		b.ReportMetric(float64(heapInUse()-before)/1e6, "MB-heap-both-sides")
		cancel()
		<-done
	}
}

// BenchmarkWatchers reports the memory of each of 300 streams at 2,860 members, and the CPU time per changed member and
// stream.
func BenchmarkWatchers(b *testing.B) {
	const watchers, members, changes = 300, 2860, 100
	s := singleSettings(b)
	start(b, s)
	rpc := controlconnect.NewControlClient(http.DefaultClient, "http://"+s.Listen.String())
	announce := func(i int, state control.State) {
		in := benchMember(i)
		in.Sequence = uint64(time.Now().UnixNano())
		in.Backends[0].State = state
		if _, err := rpc.Announce(b.Context(), connect.NewRequest(&control.AnnounceRequest{Member: in})); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		for i := range members {
			announce(i, control.State_STATE_READY)
		}
		ctx, cancel := context.WithCancel(b.Context())
		var wg sync.WaitGroup
		var seen atomic.Int64
		before, used := heapInUse(), cpuTime(b)
		for i := range watchers {
			wg.Go(func() { countStreamedMembers(ctx, rpc, i, &seen) })
		}
		for seen.Load() < watchers*1300 {
			<-time.After(time.Millisecond)
		}
		b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/watchers/1000, "ms-cpu/join-both-sides")
		b.ReportMetric(float64(heapInUse()-before)/watchers/1000, "kB-heap/stream-both-sides")
		used = cpuTime(b)
		for i := range changes {
			announce(i, control.State_STATE_DRAINING)
		}
		b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/watchers/changes, "us-cpu/stream/change-both-sides")
		cancel()
		wg.Wait()
	}
}

// countStreamedMembers opens a stream and adds the number of members that it receives to seen.
func countStreamedMembers(ctx context.Context, rpc controlconnect.ControlClient, i int, seen *atomic.Int64) {
	req := &control.WatchRequest{Node: fmt.Sprintf("w%d", i), Zone: fmt.Sprintf("z%d", i%14), Region: "oslo"}
	in, err := rpc.Watch(ctx, connect.NewRequest(req))
	if err != nil {
		return
	}
	defer in.Close()
	for in.Receive() {
		seen.Add(int64(len(in.Msg().GetMembers().GetSet())))
	}
}

func heapInUse() int64 {
	for range 3 { // sync.Pool releases its content at the second collection
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
