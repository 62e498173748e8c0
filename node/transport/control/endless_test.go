package control_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"pollenhill.example/core/protocol/control"
	client "pollenhill.example/node/transport/control"
)

// endlessBytes is what an endlessProcess sends in one response before it gives up, in bytes.
const endlessBytes = 256 << 20

// startEndlessProcess starts a stand-in for a control process that answers every call with bytes without end. The channel receives
// a value when a response has ended.
func startEndlessProcess(t *testing.T) (client.Server, <-chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{}, 1)
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	srv := &http.Server{Protocols: p, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeEndless(w, r)
		select {
		case ended <- struct{}{}:
		default:
		}
	})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return client.Server{Name: "faulty", Address: netip.MustParseAddrPort(ln.Addr().String()), Region: "home"}, ended
}

// writeEndless sends one message; in a stream its length is announced as the largest that fits.
func writeEndless(w http.ResponseWriter, r *http.Request) {
	kind := r.Header.Get("Content-Type")
	w.Header().Set("Content-Type", kind)
	if strings.Contains(kind, "connect") {
		_, _ = w.Write([]byte{0, 0x7f, 0xff, 0xff, 0xff})
	}
	block := make([]byte, 64<<10)
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// heapBound is how far the heap may grow meanwhile, in bytes: half of the 256 MB of a node.
const heapBound = 128 << 20

// Guards against a faulty control process whose endless answer a node keeps until it has no memory left.
func TestEndlessAnswerIsNotKept(t *testing.T) {
	server, ended := startEndlessProcess(t)
	c := client.New(client.Config{Node: "n", Region: "home", Servers: []client.Server{server}})
	c.Announce(&control.Member{Node: "n"})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	go func() { defer close(done); _ = c.Run(ctx) }()
	<-ended
	runtime.ReadMemStats(&after)
	stop()
	<-done
	// A few calls run at a time, each with a buffer that grows to the limit.
	if grown := after.HeapSys - before.HeapSys; grown > heapBound {
		t.Errorf("the heap has grown by %d MiB for answers without end, want %d at most", grown>>20, heapBound>>20)
	}
}
