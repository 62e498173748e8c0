package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a pipe.
const (
	pipeLines = 2048                  // lines that wait; further ones are dropped and counted
	pipeWait  = 50 * time.Millisecond // lines are gathered this long, so that many take one write
)

// pipe passes lines on without ever blocking the process: a reader that does not read costs lines, which are counted.
type pipe struct {
	w       io.Writer
	mu      sync.Mutex
	lines   [][]byte
	wake    chan struct{}
	done    chan struct{}
	closed  bool
	dropped atomic.Uint64
}

func newPipe(w io.Writer) *pipe {
	p := &pipe{w: w, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go p.run()
	return p
}

// Write takes one line; it never fails.
func (p *pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.lines) >= pipeLines {
		p.dropped.Add(1)
		return len(b), nil
	}
	p.lines = append(p.lines, append([]byte(nil), b...))
	p.signal()
	return len(b), nil
}

func (p *pipe) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *pipe) run() {
	defer close(p.done)
	for range p.wake {
		// Read first: lines that come while a write waits for its reader are written too.
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		p.flush()
		if closed {
			return
		}
		time.Sleep(pipeWait)
	}
}

// flush writes everything that waits, and how much was dropped before it.
func (p *pipe) flush() {
	p.mu.Lock()
	lines := p.lines
	p.lines = nil
	p.mu.Unlock()
	var out []byte
	for _, l := range lines {
		out = append(out, l...)
	}
	if n := p.dropped.Swap(0); n > 0 {
		out = append(out, fmt.Sprintf("{\"msg\":\"log lines dropped\",\"event\":%d,\"lines\":%d}\n", LogLinesDropped, n)...)
	}
	if len(out) > 0 {
		_, _ = p.w.Write(out) // there is no other place to tell that the log can't be written
	}
}

// close writes what waits, for as long as a reader takes it within a moment.
func (p *pipe) close() error {
	p.mu.Lock()
	p.closed = true
	p.signal()
	p.mu.Unlock()
	select {
	case <-p.done:
	case <-time.After(time.Second):
	}
	return nil
}
