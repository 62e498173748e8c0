package event_test

import (
	"bufio"
	"os"
	"strings"
	"testing"

	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
)

// Guards against a process that blocks because nobody reads its standard output, and against dropped lines that the log does
// not mention. The reader starts only after 5000 lines of 1 kB.
func TestBlockedReaderDropsAndCountsLines(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = w
	log, closeLog, err := event.Open("node-1", event.StdoutPath)
	os.Stdout = stdout
	if err != nil {
		t.Fatal(err)
	}
	padding := zap.String("pad", strings.Repeat("x", 1000))
	for range 5000 {
		log.Emit(event.CallFailed, padding) // more than the pipe and the queue can hold
	}
	done := make(chan struct{})
	reported := false
	go func() {
		defer close(done)
		scanner := bufio.NewScanner(r)
		for scanner.Scan() {
			reported = reported || strings.Contains(scanner.Text(), "log lines dropped")
		}
	}()
	if err := closeLog(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	<-done
	if !reported {
		t.Error("the log does not report the dropped lines")
	}
}
