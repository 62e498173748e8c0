package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the pause between the liveness reports of a back end.
const heartbeatInterval = 1500 * time.Millisecond

// backend is a stand-in back end, from one start to the next.
type backend struct {
	vm       *vm
	id       string
	service  string
	record   *record
	born     int64
	work     time.Duration
	slots    int
	sequence atomic.Uint64
	running  atomic.Int64
	leaving  atomic.Bool

	mu        sync.Mutex
	onRun     func(w http.ResponseWriter, r *http.Request) bool // true: it has answered the request itself
	coldUntil time.Time
	tooMany   func() bool   // reports, at each run, whether the back end crashes; nil: never
	reported  chan struct{} // receives a value after each liveness report
	server    *http.Server
	stop      chan struct{}
	crashOnce sync.Once
}

func newBackend(v *vm, r *record, id string) *backend {
	return &backend{vm: v, id: id, service: v.service, record: r, work: 20 * time.Millisecond, slots: 12, reported: make(chan struct{}), stop: make(chan struct{})}
}

// start listens and sends liveness reports.
func (b *backend) start() error {
	ln, err := net.Listen("tcp", b.vm.address(appPort))
	if err != nil {
		return err
	}
	b.born = time.Now().UnixMilli()
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(ln) }()
	b.record.add("backend %s: started at %s", b.id, b.vm.address(appPort))
	go b.beat()
	return nil
}

// crash ends the back end without a word.
func (b *backend) crash() {
	b.crashOnce.Do(func() {
		b.record.add("backend %s: ends with %d requests at work", b.id, b.running.Load())
		close(b.stop)
		_ = b.server.Close()
	})
}

func (b *backend) beat() {
	for {
		if !b.leaving.Load() {
			_, _ = b.report("ready")
			select {
			case b.reported <- struct{}{}:
			default:
			}
		}
		select {
		case <-b.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// reportBody returns the body of a liveness report with the next sequence number.
func (b *backend) reportBody(state string) []byte {
	raw, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.vm.address(appPort), "zone": b.vm.zone, "version": "v1", "slots": b.slots,
		"state": state, "warming": b.coldTime().Milliseconds(), "sequence": b.sequence.Add(1), "born": b.born,
	})
	return raw
}

// report sends a liveness report to the node of this VM.
func (b *backend) report(state string) (int, error) {
	status, err := b.send(http.MethodPut, b.id, b.reportBody(state))
	b.record.add("backend %s: reports %s: status %d %v", b.id, state, status, err)
	return status, err
}

// send sends a call about an instance to the node of this VM.
func (b *backend) send(method, id string, body []byte) (int, error) {
	req, err := http.NewRequest(method, "http://"+b.vm.address(controlPort)+"/backends/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	b.setLoad(w)
	if r.URL.Path == "/health" {
		w.Header().Set(headerNames.Instance, b.id)
		if left := b.coldTime(); left > 0 {
			w.Header().Set(headerNames.Cold, fmt.Sprint(left.Milliseconds()))
			b.record.add("backend %s: a health answer says cold for %d ms", b.id, left.Milliseconds())
		}
		if b.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(headerNames.Request)
	w.Header().Set(headerNames.Request, id)
	if target := r.Header.Get(headerNames.Target); target != "" && target != b.id {
		b.record.add("backend %s: rejects %s, which names the instance %s", b.id, id, target)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.running.Add(1) > int64(b.slots) {
		b.running.Add(-1)
		w.Header().Set(headerNames.Refused, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	b.record.addRun(b.id, id)
	if b.tooMany != nil && b.tooMany() {
		b.crash()
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(b.serviceTime()):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(headerNames.Seal, b.id+"."+id)
	b.mu.Lock()
	onRun := b.onRun
	b.mu.Unlock()
	if onRun != nil && onRun(w, r) {
		return
	}
	fmt.Fprintf(w, "answer to %s by %s", id, b.id)
}

func (b *backend) setLoad(w http.ResponseWriter) {
	w.Header().Set(headerNames.Load, fmt.Sprintf("%d,0,%d,100", b.running.Load(), b.slots))
}

// setOnRun sets a function that may answer requests in place of the back end.
func (b *backend) setOnRun(f func(w http.ResponseWriter, r *http.Request) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onRun = f
}

// awaitReport waits for the next liveness report.
func (b *backend) awaitReport() { <-b.reported }

// turnCold makes the back end cold from now on.
func (b *backend) turnCold(length time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldUntil = time.Now().Add(length)
	b.record.add("backend %s: is cold for %v from now on", b.id, length)
}

// coldTime returns how much longer the back end is cold.
func (b *backend) coldTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, time.Until(b.coldUntil))
}

func (b *backend) serviceTime() time.Duration {
	if b.coldTime() > 0 {
		return 2 * b.work
	}
	return b.work
}
