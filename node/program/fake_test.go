package program_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
)

// fake is a small back end that counts what it ran.
type fake struct {
	server *httptest.Server
	mu     sync.Mutex
	runs   map[string]int // by method and path
	answer http.HandlerFunc
	checks atomic.Int32 // health and load checks
}

func newFake(t testing.TB, answer http.HandlerFunc) *fake {
	f := &fake{runs: map[string]int{}, answer: answer}
	f.server = httptest.NewUnstartedServer(http.HandlerFunc(f.serve))
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

func (f *fake) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" || r.URL.Path == "/load" {
		f.checks.Add(1)
		return
	}
	f.mu.Lock()
	f.runs[r.Method+" "+r.URL.Path]++
	f.mu.Unlock()
	if f.answer != nil {
		f.answer(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Echo", r.Method+" "+r.URL.RequestURI())
	_, _ = w.Write(append([]byte("echo "), body...))
}

func (f *fake) address() string { return f.server.Listener.Addr().String() }

func (f *fake) ran(what string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[what]
}

func (f *fake) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, runs := range f.runs {
		n += runs
	}
	return n
}
