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

	"pollenhill.example/node/transport/inbound"
)

// Server reads requests ahead and answers them in their order; it is safe for concurrent use.
type Server struct {
	cfg     Config
	ahead   *semaphore.Weighted
	leaving atomic.Bool
	ending  atomic.Bool // connections are closed as soon as they are not in use
	buffers sync.Pool   // of *bufio.Reader
	served  sync.WaitGroup

	mu    sync.Mutex // guards what follows
	ln    net.Listener
	conns map[*conn]struct{}
}

// Config bounds what a Server reads and says how requests are carried out.
type Config struct {
	Handler        *inbound.Handler
	Exclusive      func(*fasthttp.RequestHeader) bool // the request must not run beside others of its connection
	MaxHeaderBytes int                                // largest header, in bytes
	MaxBodyBytes   int                                // largest body, in bytes
	MaxPipelined   int                                // requests of one connection that are read and not answered
	MaxReadAhead   int                                // requests of all connections that were read while an earlier one was not answered
	ReadTimeout    time.Duration                      // longest time for receiving a request
	IdleTimeout    time.Duration                      // after which an unused connection is closed
}

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, ahead: semaphore.NewWeighted(int64(cfg.MaxReadAhead)), conns: map[*conn]struct{}{}}
	s.buffers.New = func() any { return bufio.NewReaderSize(nil, cfg.MaxHeaderBytes) }
	return s
}

// Serve accepts connections until Shutdown; an error means that the listener has failed.
func (s *Server) Serve(ln net.Listener) error {
	if !s.open(ln) {
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
		s.serve(raw)
	}
}

// open remembers the listener; false after Shutdown.
func (s *Server) open(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln = ln
	return !s.ending.Load()
}

func (s *Server) serve(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending.Load() {
		_ = raw.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.served.Go(c.serve)
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// DrainConnections makes the last answer of every connection close it, so that callers move to other nodes.
func (s *Server) DrainConnections() {
	s.leaving.Store(true)
}

// Shutdown stops accepting, closes unused connections and waits until every request that was read has its answer.
// The error is that of ctx if it ends earlier.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DrainConnections()
	s.mu.Lock()
	s.ending.Store(true)
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		c.wake()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.served.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
