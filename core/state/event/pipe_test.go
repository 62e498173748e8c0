package event_test

import (
	"bufio"
	"os"
	"strings"
	"testing"

	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
)

// Guards against a process that stops because nobody reads its log, and against lines that vanish without a count.
func TestFullPipeDropsAndCounts(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = w
	log, closing, err := event.Open("node-1", event.StdoutPath)
	os.Stdout = stdout
	if err != nil {
		t.Fatal(err)
	}
	pad := zap.String("pad", strings.Repeat("x", 1000))
	for range 5000 {
		log.Emit(event.CallFailed, pad) // far more than a pipe and the queue hold
	}
	done := make(chan struct{})
	told := false
	go func() {
		defer close(done)
		lines := bufio.NewScanner(r)
		for lines.Scan() {
			told = told || strings.Contains(lines.Text(), "log lines dropped")
		}
	}()
	if err := closing(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	<-done
	if !told {
		t.Error("nothing tells that lines were dropped")
	}
}

// Guards against volume without a bound, and against suppressed lines that are not told.
func TestLimitCounts(t *testing.T) {
	l := event.NewRateLimiter(0.001, 2)
	allowed := 0
	for range 10 {
		if _, ok := l.Allow(); ok {
			allowed++
		}
	}
	if allowed != 2 {
		t.Errorf("%d lines allowed, want 2", allowed)
	}
	l = event.NewRateLimiter(1e9, 1)
	for range 100 {
		if fields, ok := l.Allow(); ok && len(fields) > 0 {
			return
		}
	}
}
