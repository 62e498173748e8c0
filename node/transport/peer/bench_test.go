package peer_test

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/mtls/mtlstest"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/peer"
)

// fixedSizeDestination answers every attempt with a body of fixed size.
type fixedSizeDestination struct{ body []byte }

func (d fixedSizeDestination) Serve(context.Context, message.Attempt, *message.Request) *message.Reply {
	r := &message.Reply{Outcome: attempt.Answered, Length: len(d.body), Body: io.NopCloser(bytes.NewReader(d.body))}
	r.Header.SetStatusCode(200)
	r.Header.SetContentLength(len(d.body))
	return r
}

func (fixedSizeDestination) Cancel(context.Context, destination.Cancel) destination.CancelOutcome {
	return destination.Unknown
}

// startServer starts the peer server of a destination node and returns its address; size is the length of responses.
func startServer(b *testing.B, credentials *mtls.Credentials, size int) netip.AddrPort {
	b.Helper()
	ln, err := tcp.Listen(b.Context(), netip.MustParseAddrPort("127.0.0.1:0"), nil)
	if err != nil {
		b.Fatal(err)
	}
	s := peer.NewServer(peer.ServerConfig{
		Node: "destination", Destination: fixedSizeDestination{body: make([]byte, size)},
		LocalHint:      func() hint.Hint { return hint.Hint{} },
		Rules:          func() (uint64, string) { return 1, "" },
		OnPeerRevision: func(string, uint64) {},
		MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, BodyMemory: semaphore.NewWeighted(64 << 20),
		ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute, WriteTimeout: 10 * time.Second,
		TLS: credentials,
	})
	go func() { _ = s.Serve(ln) }()
	b.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return netip.MustParseAddrPort(ln.Addr().String())
}

func newBenchClient(b *testing.B, credentials *mtls.Credentials) *peer.Client {
	b.Helper()
	c := peer.NewClient(peer.ClientConfig{
		Node: "entry", Dialer: credentials.WrapDialer(tcp.Dialer{Timeout: time.Second}),
		MaxConnections: 256, IdleTimeout: 30 * time.Second, BodyReadTimeout: 10 * time.Second,
		Destination: fixedSizeDestination{}, RulesRevision: func() uint64 { return 1 }, OfferRules: func(uint64, string) {},
	})
	b.Cleanup(c.Close)
	return c
}

// sendAttempt makes one attempt and reads the body of its response.
func sendAttempt(b *testing.B, c *peer.Client, target balancer.Target, sequence uint64) {
	req := &message.Request{}
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI("/free")
	req.Header.SetHost("booking.example")
	a := message.Attempt{ID: attempt.ID{Node: "entry", Incarnation: 1, Sequence: sequence}, Deadline: time.Now().Add(time.Minute), Service: "booking"}
	reply := c.Send(context.Background(), target, a, req)
	if reply.Outcome != attempt.Answered {
		b.Fatalf("outcome %v, %+v", reply.Outcome, reply.Refusal)
	}
	if reply.Body == nil {
		return
	}
	if _, err := io.Copy(io.Discard, reply.Body); err != nil {
		b.Fatal(err)
	}
	_ = reply.Body.Close()
}

// forEachTransport runs a benchmark over plain and over TLS connections; source is nil for plain ones.
func forEachTransport(b *testing.B, run func(*testing.B, *mtls.Credentials)) {
	b.Run("plain", func(b *testing.B) { run(b, nil) })
	b.Run("tls", func(b *testing.B) {
		credentials, err := mtls.LoadCredentials(mtlstest.NewAuthority(b).Issue(b, b.TempDir(), "process", time.Now().Add(time.Hour)))
		if err != nil {
			b.Fatal(err)
		}
		run(b, credentials)
	})
}

// bodySizes are the lengths of response bodies in BenchmarkAttempt.
var bodySizes = []struct {
	name  string
	bytes int
}{{"200B", 200}, {"64KB", 64 << 10}, {"1MB", 1 << 20}}

// BenchmarkAttempt measures one attempt over a pooled connection; both nodes run in this process.
func BenchmarkAttempt(b *testing.B) {
	for _, size := range bodySizes {
		b.Run(size.name, func(b *testing.B) {
			forEachTransport(b, func(b *testing.B, credentials *mtls.Credentials) {
				target := balancer.Target{Node: "destination", PeerAddress: startServer(b, credentials, size.bytes)}
				c := newBenchClient(b, credentials)
				sendAttempt(b, c, target, 1)
				b.ReportAllocs()
				sequence := uint64(1)
				for b.Loop() {
					sequence++
					sendAttempt(b, c, target, sequence)
				}
			})
		})
	}
}

// BenchmarkConnection measures an attempt that opens its connection.
func BenchmarkConnection(b *testing.B) {
	forEachTransport(b, func(b *testing.B, credentials *mtls.Credentials) {
		target := balancer.Target{Node: "destination", PeerAddress: startServer(b, credentials, 200)}
		sequence := uint64(0)
		for b.Loop() {
			sequence++
			c := newBenchClient(b, credentials)
			sendAttempt(b, c, target, sequence)
			c.Close()
		}
	})
}

// idleConnections is the number of connections of which BenchmarkMemory takes the average.
const idleConnections = 200

// BenchmarkMemory measures the heap that both ends of an idle pooled connection hold after one attempt on it.
func BenchmarkMemory(b *testing.B) {
	forEachTransport(b, func(b *testing.B, credentials *mtls.Credentials) {
		target := balancer.Target{Node: "destination", PeerAddress: startServer(b, credentials, 200)}
		for b.Loop() {
			before := heapBytes()
			clients := make([]*peer.Client, idleConnections)
			for i := range clients {
				clients[i] = newBenchClient(b, credentials)
				sendAttempt(b, clients[i], target, uint64(i+1))
			}
			b.ReportMetric(float64(heapBytes()-before)/idleConnections, "B/connection")
			for _, c := range clients {
				c.Close()
			}
		}
	})
}

// heapBytes returns the bytes of live heap objects after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
