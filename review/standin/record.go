package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a script notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	runs  map[string]int // runs of each request at back ends
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now(), runs: map[string]int{}}, err
}

// add writes one line with the seconds since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// addRun notes that a back end runs a request.
func (r *record) addRun(backend, id string) {
	r.add("backend %s: runs %s", backend, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// hasRun reports whether a back end has run a request.
func (r *record) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id] > 0
}
