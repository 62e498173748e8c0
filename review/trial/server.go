package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Times of a server.
const (
	beatInterval = 1500 * time.Millisecond
	workTime     = 5 * time.Millisecond
)

// server is a sound server beside a node: it runs every request for it and reports itself.
type server struct {
	id     string
	node   *nodeProcess
	beat   string // format of a report
	ran    atomic.Int64
	onRun  func(id string)
	http   http.Server
	cancel context.CancelFunc
	ended  chan struct{}
}

// startServer starts the server of a node.
func startServer(n *nodeProcess, data string, onRun func(id string)) (*server, error) {
	beat, err := os.ReadFile(filepath.Join(data, "beat.json"))
	if err != nil {
		return nil, err
	}
	s := &server{id: "i-" + n.name, node: n, beat: string(beat), onRun: onRun, ended: make(chan struct{})}
	s.http = http.Server{Addr: n.backend, Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.ListenAndServe() }()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.report(ctx)
	return s, nil
}

func (s *server) stop() {
	s.cancel()
	<-s.ended
	_ = s.http.Close()
}

// serve answers a health check or runs a request.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(s.node.headers.Load, "1,0,12,100")
	if r.URL.Path == "/health" {
		h.Set(s.node.headers.Instance, s.id)
		return
	}
	id := r.Header.Get(s.node.headers.Request)
	h.Set(s.node.headers.Request, id)
	if target := r.Header.Get(s.node.headers.Target); target != "" && target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.onRun(id)
	time.Sleep(workTime)
	h.Set(s.node.headers.Seal, "seal-"+id)
	h.Set("Content-Length", "2")
	_, _ = w.Write([]byte("ok"))
}

// report sends the reports of the server to its node until ctx ends.
func (s *server) report(ctx context.Context) {
	defer close(s.ended)
	born := strconv.FormatInt(time.Now().UnixMilli(), 10)
	client := http.Client{Timeout: patience}
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body := strings.NewReplacer("@backend@", s.node.backend, "@zone@", s.node.zone, "@sequence@", strconv.Itoa(sequence),
			"@born@", born).Replace(s.beat)
		url := fmt.Sprintf("http://%s/backends/%s", s.node.local, s.id)
		if req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(body)); err == nil {
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}
