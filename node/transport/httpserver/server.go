package httpserver

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/transport/inbound"
)

// Server is an HTTP/1.1 server that reads pipelined requests ahead and replies in their order; it is safe for concurrent use.
type Server struct {
	cfg            Config
	readAheadSlots *semaphore.Weighted // MaxReadAhead slots
	draining       atomic.Bool         // replies close their connections
	shuttingDown   atomic.Bool         // connections close as soon as they are unused
	readerPool     sync.Pool           // of *bufio.Reader
	connGoroutines sync.WaitGroup

	mu    sync.Mutex // guards the fields below
	ln    net.Listener
	conns map[*conn]struct{}
}

// Config holds the handler and the limits of a Server.
type Config struct {
	Handler        *inbound.Handler
	Exclusive      func(*fasthttp.RequestHeader) bool                            // reports whether a request must not run concurrently with others of its connection
	Deadline       func(h *fasthttp.RequestHeader, arrived time.Time) time.Time  // deadline for receiving the body; nil or a zero result for none
	Unwanted       func(*fasthttp.RequestHeader) refusal.Reason                  // reports why a request is refused before its body is read, or None; nil for never
	AdmitBody      func(h *fasthttp.RequestHeader, arrived time.Time) BodyTicket // decides when the body of a request that expects 100 Continue is received; nil: at once
	MaxHeaderBytes int                                                           // limit of one request header
	MaxBodyBytes   int                                                           // limit of one request body
	MaxPipelined   int                                                           // limit of unanswered requests per connection
	MaxReadAhead   int                                                           // limit, over all connections, of requests read while an earlier one of their connection is unanswered
	ReadTimeout    time.Duration                                                 // for the first byte on a new connection, for each request header and for each body
	IdleTimeout    time.Duration                                                 // after which an unused connection is closed
}

// New returns a Server; Serve starts it.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, readAheadSlots: semaphore.NewWeighted(int64(cfg.MaxReadAhead)), conns: map[*conn]struct{}{}}
	s.readerPool.New = func() any { return bufio.NewReaderSize(nil, cfg.MaxHeaderBytes) }
	return s
}

// Serve accepts connections from ln until Shutdown and then returns nil; other errors of the listener are returned.
func (s *Server) Serve(ln net.Listener) error {
	if !s.setListener(ln) {
		return ln.Close()
	}
	for {
		raw, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			return err
		}
		s.serveConn(raw)
	}
}

// setListener stores the listener for Shutdown to close; false means that Shutdown was called already.
func (s *Server) setListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln = ln
	return !s.shuttingDown.Load()
}

func (s *Server) serveConn(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown.Load() {
		_ = raw.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.connGoroutines.Go(c.serve)
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// DrainConnections closes each connection after the reply to its last request that was read, so that clients reconnect
// to other nodes.
func (s *Server) DrainConnections() {
	s.draining.Store(true)
}

// Shutdown stops accepting, closes unused connections and waits until every request that was read has its reply; requests that
// are read to their end after its call are refused. If ctx ends first, it closes all connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DrainConnections()
	s.mu.Lock()
	s.shuttingDown.Store(true)
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		c.interruptWait()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.connGoroutines.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.closeConns()
		return ctx.Err()
	}
}

// closeConns closes all connections and cancels their requests.
func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abandon()
		_ = c.net.Close()
	}
}
