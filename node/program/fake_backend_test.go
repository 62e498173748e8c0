package program_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
)

// fakeBackend is an HTTP back end that counts the requests that it runs. Without a handler it echoes them.
type fakeBackend struct {
	server  *httptest.Server
	mu      sync.Mutex
	runs    map[string]int // by method and path, such as "GET /free"
	handler http.HandlerFunc
	probes  atomic.Int32 // requests for /health and /load, which are not counted as runs
}

func newFakeBackend(t testing.TB, handler http.HandlerFunc) *fakeBackend {
	f := &fakeBackend{runs: map[string]int{}, handler: handler}
	f.server = httptest.NewUnstartedServer(http.HandlerFunc(f.serve))
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeBackend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" || r.URL.Path == "/load" {
		f.probes.Add(1)
		return
	}
	f.mu.Lock()
	f.runs[r.Method+" "+r.URL.Path]++
	f.mu.Unlock()
	if f.handler != nil {
		f.handler(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Echo", r.Method+" "+r.URL.RequestURI())
	_, _ = w.Write(append([]byte("echo "), body...))
}

func (f *fakeBackend) address() string { return f.server.Listener.Addr().String() }

// runCount returns how many requests with a method and path, such as "GET /free", were run.
func (f *fakeBackend) runCount(request string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[request]
}

func (f *fakeBackend) totalRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, runs := range f.runs {
		n += runs
	}
	return n
}
