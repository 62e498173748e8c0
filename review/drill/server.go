package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// app is what the back ends of a deployment have in common.
type app struct {
	slots int
	work  time.Duration // of one request
}

// server is a stand-in back end; start begins a new boot of it.
type server struct {
	w *world
	m *machine
	app
	coldFor time.Duration // cold start of the next boot
	beat    time.Duration // between two reports

	mu        sync.Mutex
	id        string
	born      time.Time
	coldUntil time.Time
	sequence  int
	running   int
	waiting   int
	free      chan struct{}
	http      *http.Server
	conns     map[net.Conn]struct{}
	stop      context.CancelFunc // ends the boot
	ctx       context.Context
	arrivals  []arrival
	beatDelay time.Duration // that the network adds to each report
	crashed   bool          // the current boot has ended by crash
	noBeats   bool
}

// arrival is a request that the back end began to work on.
type arrival struct {
	id   string
	at   time.Time
	cold bool
}

// start boots the back end under an ID. Its first report is sent at once.
func (s *server) start(id string) error {
	l, err := net.Listen("tcp", s.m.address("app"))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.id, s.born, s.sequence, s.running, s.waiting, s.crashed = id, time.Now(), 0, 0, 0, false
	s.coldUntil = s.born.Add(s.coldFor)
	s.free = make(chan struct{}, s.slots)
	s.conns = map[net.Conn]struct{}{}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.connState, IdleTimeout: 10 * time.Second}
	ctx, h := s.ctx, s.http
	s.mu.Unlock()
	s.w.rec.add("boot %s of %s, cold for %v", id, s.m.name, s.coldFor)
	go func() { _ = h.Serve(l) }()
	go s.report(ctx)
	return nil
}

// crash ends the boot without a word and resets its connections.
func (s *server) crash() {
	s.mu.Lock()
	if s.crashed {
		s.mu.Unlock()
		return
	}
	s.crashed = true
	s.stop()
	h, conns, running := s.http, s.conns, s.running
	s.conns = map[net.Conn]struct{}{}
	s.mu.Unlock()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = h.Close()
	s.w.rec.add("crash of the back end at %s with %d requests at work", s.m.name, running)
}

func (s *server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (s *server) loadHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots)
}

// maxColdPerSecond is the rate of requests at which a cold back end crashes: twice the rate that it tolerates, which is above
// what the rule allows.
const maxColdPerSecond = 2 * coldPerSecond

// coldBegun returns how many requests the cold back end has begun since a time; the caller holds mu.
func (s *server) coldBegun(since time.Time) int {
	n := 0
	for i := len(s.arrivals) - 1; i >= 0 && s.arrivals[i].at.After(since); i-- {
		if s.arrivals[i].cold {
			n++
		}
	}
	return n
}

func (s *server) coldLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, time.Until(s.coldUntil))
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	names := s.w.headers
	s.mu.Lock()
	id, ctx, free := s.id, s.ctx, s.free
	s.mu.Unlock()
	w.Header().Set(names["load"], s.loadHeader())
	w.Header().Set(names["instance"], id)
	if r.URL.Path == "/health" {
		if left := s.coldLeft(); left > 0 {
			w.Header().Set(names["cold"], fmt.Sprint(left.Milliseconds()))
			s.w.rec.add("health of %s at %s: cold for %d ms more", id, s.m.name, left.Milliseconds())
		}
		return
	}
	request := r.Header.Get(names["request"])
	w.Header().Set(names["request"], request)
	if request == "" {
		w.Header().Set(names["refused"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if target := r.Header.Get(names["target"]); target != "" && target != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !s.acquire(ctx, r.Context(), free) {
		w.Header().Set(names["refused"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	at, cold := time.Now(), s.coldLeft() > 0
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{request, at, cold})
	overloaded := cold && s.coldBegun(at.Add(-time.Second)) > maxColdPerSecond
	s.mu.Unlock()
	s.w.rec.addAt(at, "run %s at %s %s cold=%v", request, s.m.name, id, cold)
	defer s.release(free)
	if overloaded {
		s.crash()
		return
	}
	select {
	case <-time.After(s.work):
	case <-ctx.Done():
		return
	case <-r.Context().Done():
		return
	}
	w.Header().Set(names["load"], s.loadHeader())
	w.Header().Set(names["seal"], "seal-"+request)
	_, _ = fmt.Fprintf(w, "answer to %s\n", request)
}

// acquire waits for a slot; the queue holds four requests a slot.
func (s *server) acquire(boot, request context.Context, free chan struct{}) bool {
	s.mu.Lock()
	if s.waiting >= 4*s.slots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	ok := false
	select {
	case free <- struct{}{}:
		ok = true
	case <-boot.Done():
	case <-request.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if ok {
		s.running++
	}
	return ok
}

func (s *server) release(free chan struct{}) {
	<-free
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// reportBody returns the next report of the boot.
func (s *server) reportBody(state string) (id string, sequence int, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	body, _ = json.Marshal(map[string]any{
		"service": s.m.service, "address": s.m.address("app"), "zone": s.m.zone, "version": "v1", "slots": s.slots,
		"state": state, "warming": max(0, time.Until(s.coldUntil)).Milliseconds(), "sequence": s.sequence,
		"born": s.born.UnixMilli(),
	})
	return s.id, s.sequence, body
}

// report sends the reports of one boot. What the network delays arrives even if the boot has ended meanwhile.
func (s *server) report(ctx context.Context) {
	for {
		s.mu.Lock()
		delay, silent := s.beatDelay, s.noBeats
		s.mu.Unlock()
		if !silent {
			id, sequence, body := s.reportBody("ready")
			if delay > 0 {
				time.AfterFunc(delay, func() { s.sendReport(id, sequence, body) })
			} else {
				go s.sendReport(id, sequence, body)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.beat):
		}
	}
}

// sendReport delivers a report to the node of the machine, the only one that is asked.
func (s *server) sendReport(id string, sequence int, body []byte) (status int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.m.address("control")+"/backends/"+id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := reportClient.Do(req)
	if err != nil {
		s.w.rec.add("report %d of %s at %s: no answer", sequence, id, s.m.name)
		return 0
	}
	_ = resp.Body.Close()
	s.w.rec.add("report %d of %s at %s: %d %s", sequence, id, s.m.name, resp.StatusCode, body)
	return resp.StatusCode
}

var reportClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
