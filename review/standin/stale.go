package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	staleTimeout  = 2 * time.Second        // timeout of the route and time limit of the clients
	staleWork     = 400 * time.Millisecond // service time of the back ends
	staleIdle     = 500 * time.Millisecond // from the first report of the new instance to the first reservation
	staleLoad     = 900 * time.Millisecond // from the first reservation to the late report
	keptPerNode   = 8                      // clients with a kept connection each
	maxLostOnKept = 3                      // requests on kept connections that may end without an answer
)

// stale lets the last report of a former instance arrive after a new one has registered at the same address.
func stale(r *record, trouble bool) error {
	c, err := newCluster(r, "booking", "booking", "booking")
	if err != nil {
		return err
	}
	defer c.stop()
	var backends []*backend
	for i, v := range c.nodes {
		b := newBackend(v, r, fmt.Sprintf("i-%08x", 0x7f3a91c0+i))
		b.work = staleWork
		backends = append(backends, b)
	}
	if err := c.serveBooking(backends, staleTimeout); err != nil {
		return err
	}
	defer func() {
		for _, b := range backends {
			b.crash()
		}
	}()
	former := backends[0]
	late := former.reportBody("ready")
	r.add("backend %s: writes a report that is held up on its way", former.id)
	former.crash()
	time.Sleep(500 * time.Millisecond)
	next := newBackend(former.vm, r, "i-02b5d6e8")
	next.work = staleWork
	backends[0] = next
	if err := next.start(); err != nil {
		return err
	}
	time.Sleep(staleIdle)
	lost := make(chan int)
	go func() { lost <- reserveOnKeptConnections(r, c.nodes[0], staleLoad+4*time.Second) }()
	time.Sleep(staleLoad)
	if trouble {
		status, err := next.send(http.MethodPut, former.id, late)
		r.add("the late report of %s arrives: status %d %v", former.id, status, err)
	}
	n := <-lost
	r.add("%d requests on kept connections were run by a back end and ended without an answer", n)
	if n > maxLostOnKept {
		return fmt.Errorf("%w: %d requests on kept connections were run by a back end and ended without an answer", errBroken, n)
	}
	return nil
}

// reserveOnKeptConnections sends reservations through a node for a time, each client on a connection that it keeps. It
// returns how many of those that did not open a connection ended without an answer before the time limit.
func reserveOnKeptConnections(r *record, v *vm, length time.Duration) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	end := time.Now().Add(length)
	for n := range keptPerNode {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * staleWork / keptPerNode)
			cl := newClient(r, v)
			for time.Now().Before(end) {
				a := cl.do(http.MethodPost, "booking.example", "/reserve/boat", "boat=4", staleTimeout)
				if a.status == 0 && a.kept && !a.gaveUp && r.hasRun(a.id) {
					mu.Lock()
					lost++
					mu.Unlock()
				}
				if a.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	return lost
}
