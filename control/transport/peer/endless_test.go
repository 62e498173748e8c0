package peer_test

import (
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"testing"

	"pollenhill.example/control/transport/peer"
	"pollenhill.example/core/protocol/control"
)

const (
	endlessBytes = 256 << 20 // what the faulty process sends before it gives up
	heapBound    = 128 << 20 // bytes by which the heap may grow meanwhile
)

// Guards against a faulty control process whose endless answer another one keeps until it has no memory left.
func TestEndlessAnswerIsNotKept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	srv := &http.Server{Protocols: p, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
		block := make([]byte, 64<<10)
		for sent := 0; sent < endlessBytes; sent += len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	c := peer.NewClients(peer.Config{Name: "c1", Peers: []peer.Peer{{Name: "c2", Address: netip.MustParseAddrPort(ln.Addr().String())}}})
	defer c.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if resp, err := c.Exchange(t.Context(), "c2", &control.ExchangeRequest{}); err == nil {
		t.Errorf("an answer without end counts as %v", resp)
	}
	runtime.ReadMemStats(&after)
	if grown := after.HeapSys - before.HeapSys; grown > heapBound {
		t.Errorf("the heap has grown by %d MiB for an answer without end, want %d at most", grown>>20, heapBound>>20)
	}
}
