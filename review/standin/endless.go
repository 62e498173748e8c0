package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const endlessTimeout = 1000 * time.Millisecond // timeout of the route

const endlessShare = 10 // one of so many answers does not end

// endless lets back ends send some bodies that do not end until the caller closes.
func endless(r *record, trouble bool) error {
	c, err := newCluster(r, "booking", "booking", "booking")
	if err != nil {
		return err
	}
	defer c.stop()
	var backends []*backend
	for i, v := range c.nodes {
		b := newBackend(v, r, fmt.Sprintf("i-%08x", 0x7f3a9100+i))
		backends = append(backends, b)
	}
	if err := c.serveBooking(backends, endlessTimeout); err != nil {
		return err
	}
	defer func() {
		for _, b := range backends {
			b.crash()
		}
	}()
	clients := make([]*client, len(c.nodes))
	for i, v := range c.nodes {
		clients[i] = newClient(r, v)
	}
	if trouble {
		r.add("back ends: one answer in %d does not end from now on", endlessShare)
		var answers atomic.Int64
		for _, b := range backends {
			b.setOnRun(func(w http.ResponseWriter, req *http.Request) bool {
				if answers.Add(1)%endlessShare != 0 {
					return false
				}
				r.add("backend %s: sends a body without end to %s", b.id, req.Header.Get(headerNames.Request))
				sendEndless(w)
				r.add("backend %s: the caller of %s has closed", b.id, req.Header.Get(headerNames.Request))
				return true
			})
		}
	}
	return judgeEndless(r, clients)
}

// sendEndless sends a body in chunks until the caller closes.
func sendEndless(w http.ResponseWriter) {
	chunk := make([]byte, 32<<10)
	for i := range chunk {
		chunk[i] = 'x'
	}
	for {
		if _, err := w.Write(chunk); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// judgeEndless sends reservations and counts those that last longer than the timeout of the route, and those of them that
// have no final answer half a second later.
func judgeEndless(r *record, clients []*client) error {
	const requests, limit = 120, 4 * time.Second
	var mu sync.Mutex
	var wg sync.WaitGroup
	long, unanswered := 0, 0
	for n := range requests {
		time.Sleep(50 * time.Millisecond)
		wg.Go(func() {
			a := clients[n%len(clients)].do(http.MethodPost, "booking.example", "/reserve/boat", "boat=4", limit)
			mu.Lock()
			defer mu.Unlock()
			if a.took > endlessTimeout {
				long++
			}
			if a.took > endlessTimeout+500*time.Millisecond {
				unanswered++
			}
		})
	}
	wg.Wait()
	r.add("%d of %d requests lasted longer than the timeout of %v, %d had no final answer 0.5 s later", long, requests, endlessTimeout, unanswered)
	if unanswered >= 8 && unanswered*4 > long {
		return fmt.Errorf("%w: %d of %d requests that lasted longer than the timeout had no final answer 0.5 s after it", errBroken, unanswered, long)
	}
	return nil
}
