package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 2048                  // further lines are dropped and counted
	batchDelay     = 50 * time.Millisecond // lines are collected this long, so that one write takes many
	closeTimeout   = time.Second
)

// asyncWriter writes lines to w from its own goroutine, so that a reader that stops reading a pipe never blocks the process.
// Lines that do not fit into the queue are dropped, and their number is logged.
type asyncWriter struct {
	w       io.Writer
	mu      sync.Mutex
	queue   [][]byte
	wake    chan struct{}
	done    chan struct{} // closed when writeLoop has returned
	closed  bool
	dropped atomic.Uint64 // lines dropped since the last flush
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{w: w, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.writeLoop()
	return a
}

// Write queues one line or drops it; it never blocks on w and never returns an error.
func (a *asyncWriter) Write(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || len(a.queue) >= maxQueuedLines {
		a.dropped.Add(1)
		return len(b), nil
	}
	a.queue = append(a.queue, append([]byte(nil), b...))
	a.wakeWriter()
	return len(b), nil
}

func (a *asyncWriter) wakeWriter() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *asyncWriter) writeLoop() {
	defer close(a.done)
	for range a.wake {
		// closed is read before the flush: a close during a blocked write causes one more flush, which writes the lines that
		// were queued meanwhile.
		a.mu.Lock()
		closed := a.closed
		a.mu.Unlock()
		a.flush()
		if closed {
			return
		}
		time.Sleep(batchDelay)
	}
}

// flush writes the queued lines, followed by the number of dropped lines if there are any.
func (a *asyncWriter) flush() {
	a.mu.Lock()
	lines := a.queue
	a.queue = nil
	a.mu.Unlock()
	var out []byte
	for _, l := range lines {
		out = append(out, l...)
	}
	if n := a.dropped.Swap(0); n > 0 {
		out = append(out, fmt.Sprintf("{\"msg\":\"log lines dropped\",\"event\":%d,\"lines\":%d}\n", LogLinesDropped, n)...)
	}
	if len(out) > 0 {
		_, _ = a.w.Write(out) // an error cannot be reported: this is the log
	}
}

// close flushes the queue and stops writeLoop. It gives up after closeTimeout, because a blocked reader must not keep the
// process from stopping.
func (a *asyncWriter) close() error {
	a.mu.Lock()
	a.closed = true
	a.wakeWriter()
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
	return nil
}
