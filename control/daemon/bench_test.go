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
	benchChanges  = 10 // a second
)

// wide returns a rule file of the target size: 110 services with eight rules each.
func wide(number uint64) string {
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

// meter counts the bytes of a client's connections in both directions, without TCP and IP headers.
type meter struct{ bytes atomic.Int64 }

func (m *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	c, err := d.DialContext(ctx, network, address)
	return metered{c, m}, err
}

type metered struct {
	net.Conn
	m *meter
}

func (c metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.bytes.Add(int64(n))
	return n, err
}

func (c metered) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.bytes.Add(int64(n))
	return n, err
}

// fleet runs clients that announce one back end each.
func fleet(b *testing.B, m *meter, n int, servers ...daemon.Settings) []*client.Client {
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
		c.Announce(announced(i))
		wg.Go(func() { _ = c.Run(ctx) })
		clients[i] = c
	}
	return clients
}

func announced(i int) *control.Member {
	node := fmt.Sprintf("node%04d", i)
	return &control.Member{
		Node: node, Address: fmt.Sprintf("127.1.%d.%d:7000", i/250, i%250+1), Zone: fmt.Sprintf("z%d", i%14), Region: "oslo",
		Incarnation: 1764810000000, Backends: []*control.Backend{{
			Name: fmt.Sprintf("backend-%04d", i), Service: fmt.Sprintf("s%03d", i%benchServices), Address: "127.0.0.1:8000",
			Slots: 12, Connections: 240, State: control.State_STATE_READY,
		}},
	}
}

// settled waits until every client is confirmed and knows all members.
func settled(b *testing.B, clients []*client.Client) {
	b.Helper()
	for _, c := range clients {
		await(b, c, "members", func(s *follow.State) bool { return s.Confirmed && len(s.Members) == len(clients) })
	}
}

// change submits the next change and returns its revision.
func change(b *testing.B, d *daemon.Daemon, number uint64) uint64 {
	b.Helper()
	res, err := d.SubmitRules(b.Context(), number, wide(number))
	if err != nil || res.Verdict != replica.VerdictAccepted {
		b.Fatalf("change %d: %v %s %v", number, res.Verdict, res.Problem, err)
	}
	return res.Change.Revision
}

// cpu returns the processor time of this process, which runs the control process and all clients.
func cpu(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTraffic reports bytes and processor time per client, idle and at ten changes a second.
func BenchmarkTraffic(b *testing.B) {
	for _, rate := range []int{0, benchChanges} {
		b.Run(fmt.Sprintf("changes=%d", rate), func(b *testing.B) {
			s := single(b)
			d, _ := start(b, s)
			var m meter
			clients := fleet(b, &m, benchClients, s)
			settled(b, clients)
			number := uint64(1)
			revision := change(b, d, number)
			for _, c := range clients {
				await(b, c, "change", func(s *follow.State) bool { return s.Revision >= revision })
			}
			<-time.After(membership.WarmupDuration + time.Second) // the control process sends complete members once after its warm-up
			for b.Loop() {
				bytes, used := m.bytes.Load(), cpu(b)
				pace(func() {
					number++
					change(b, d, number)
				}, rate)
				seconds := benchWindow.Seconds() * benchClients
				b.ReportMetric(float64(m.bytes.Load()-bytes)/seconds, "B/s/client")
				b.ReportMetric(100*(cpu(b)-used).Seconds()/seconds, "%core/client")
			}
		})
	}
}

// pace calls f at a rate per second for benchWindow.
func pace(f func(), rate int) {
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

// BenchmarkJoin reports what a node needs for its first complete state at the target size.
func BenchmarkJoin(b *testing.B) {
	const members = 2860
	s := single(b)
	d, _ := start(b, s)
	change(b, d, 1)
	rpc := controlconnect.NewControlClient(http.DefaultClient, "http://"+s.Listen.String())
	announce := func() {
		for i := range members {
			in := announced(i)
			in.Sequence = uint64(time.Now().UnixNano())
			if _, err := rpc.Announce(b.Context(), connect.NewRequest(&control.AnnounceRequest{Member: in})); err != nil {
				b.Fatal(err)
			}
		}
	}
	for b.Loop() {
		announce()
		var m meter
		before := heap()
		cfg := client.Config{
			Node: "joiner", Zone: "z1", Region: "oslo", Dial: m.dial,
			Servers: []client.Server{{Name: s.Name, Address: s.Listen, Region: s.Region}},
		}
		c := client.New(cfg)
		ctx, cancel := context.WithCancel(b.Context())
		done := make(chan struct{})
		begin := time.Now()
		go func() { _ = c.Run(ctx); close(done) }()
		got := await(b, c, "members", func(s *follow.State) bool { return len(s.Members) >= 1300 && s.Revision > 0 })
		b.ReportMetric(float64(time.Since(begin).Milliseconds()), "ms")
		b.ReportMetric(float64(len(got.Members)), "members")
		b.ReportMetric(float64(m.bytes.Load()), "B")
		b.ReportMetric(float64(heap()-before)/1e6, "MB-heap-both-sides")
		cancel()
		<-done
	}
}

// BenchmarkWatchers reports what each of 300 streams costs the control process at 2,860 members:
// memory, and processor time per changed member.
func BenchmarkWatchers(b *testing.B) {
	const watchers, members, changes = 300, 2860, 100
	s := single(b)
	start(b, s)
	rpc := controlconnect.NewControlClient(http.DefaultClient, "http://"+s.Listen.String())
	announce := func(i int, state control.State) {
		in := announced(i)
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
		before, used := heap(), cpu(b)
		for i := range watchers {
			wg.Go(func() { follower(ctx, rpc, i, &seen) })
		}
		for seen.Load() < watchers*1300 {
			<-time.After(time.Millisecond)
		}
		b.ReportMetric(float64((cpu(b)-used).Microseconds())/watchers/1000, "ms-cpu/join-both-sides")
		b.ReportMetric(float64(heap()-before)/watchers/1000, "kB-heap/stream-both-sides")
		used = cpu(b)
		for i := range changes {
			announce(i, control.State_STATE_DRAINING)
		}
		b.ReportMetric(float64((cpu(b)-used).Microseconds())/watchers/changes, "us-cpu/stream/change-both-sides")
		cancel()
		wg.Wait()
	}
}

// follower reads one stream and counts the members it gets.
func follower(ctx context.Context, rpc controlconnect.ControlClient, i int, seen *atomic.Int64) {
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

func heap() int64 {
	for range 3 { // pools give up their content at the second collection
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
