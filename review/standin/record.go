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
	runs  []run
}

// run is a request that a back end has begun to work on.
type run struct {
	backend, id string
	at          time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
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
	r.runs = append(r.runs, run{backend: backend, id: id, at: time.Now()})
}

// hasRun reports whether a back end has run a request.
func (r *record) hasRun(id string) bool {
	return r.count(func(run run) bool { return run.id == id }) > 0
}

// runsAfter returns how many requests a back end began after the given time.
func (r *record) runsAfter(backend string, t time.Time) int {
	return r.count(func(run run) bool { return run.backend == backend && run.at.After(t) })
}

// mostInOneSecond returns the most requests that a back end began within one second between two times.
func (r *record) mostInOneSecond(backend string, from, to time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var recent []time.Time
	most := 0
	for _, run := range r.runs {
		if run.backend != backend || run.at.Before(from) || run.at.After(to) {
			continue
		}
		recent = append(recent, run.at)
		for run.at.Sub(recent[0]) >= time.Second {
			recent = recent[1:]
		}
		most = max(most, len(recent))
	}
	return most
}

func (r *record) count(match func(run) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, run := range r.runs {
		if match(run) {
			n++
		}
	}
	return n
}
