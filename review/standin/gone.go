package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	goneTimeout   = time.Second            // timeout of the route and time limit of the clients
	goneRestart   = 500 * time.Millisecond // from the kill of the node to its start
	goneLoad      = 3 * time.Second        // length of the load that is judged
	goneLoadPause = 10 * time.Millisecond  // between two requests of a client
	drainBound    = 2 * time.Second        // drain_ms
	drainWork     = 50 * time.Millisecond  // service time of the back ends
)

// gone restarts the node of a back end that has deregistered, and then lets a report arrive that the back end had sent
// before that.
func gone(r *record, trouble bool) error {
	c, err := newCluster(r, "booking", "booking", "booking")
	if err != nil {
		return err
	}
	defer c.stop()
	var backends []*backend
	for i, v := range c.nodes {
		b := newBackend(v, r, fmt.Sprintf("i-%08x", 0x7f3a91c0+i))
		b.work = drainWork
		backends = append(backends, b)
	}
	if err := c.serveBooking(backends, goneTimeout); err != nil {
		return err
	}
	defer func() {
		for _, b := range backends {
			b.crash()
		}
	}()
	leaving := backends[0]
	late := leaving.reportBody("ready")
	r.add("backend %s: sends a report that is held up on its way", leaving.id)
	leaving.leaving.Store(true)
	status, err := leaving.send(http.MethodDelete, leaving.id, nil)
	acked := time.Now()
	r.add("backend %s: deregisters and goes on serving: status %d %v", leaving.id, status, err)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("the deregistration was not acknowledged")
	}
	if trouble {
		c.signal(leaving.vm, syscall.SIGKILL)
		<-leaving.vm.exited
		time.Sleep(goneRestart)
		if err := c.start(leaving.vm); err != nil {
			return err
		}
	}
	time.Sleep(inTouchAfter)
	if trouble {
		status, err := leaving.send(http.MethodPut, leaving.id, late)
		r.add("the held up report of %s arrives: status %d %v", leaving.id, status, err)
	}
	c.reserve(c.nodes, goneLoad)
	late2 := r.runsAfter(leaving.id, acked.Add(drainBound))
	r.add("%d requests reached the back end that had deregistered, later than %v after the acknowledgement", late2, drainBound)
	if late2 > 0 {
		return fmt.Errorf("%w: %d requests reached a back end later than %v after its deregistration was acknowledged", errBroken, late2, drainBound)
	}
	return nil
}

// reserve sends reservations through nodes for a time, with more clients than two back ends have slots.
func (c *cluster) reserve(nodes []*vm, length time.Duration) {
	const clientsPerNode = 10
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for _, v := range nodes {
		for range clientsPerNode {
			wg.Go(func() {
				cl := newClient(c.record, v)
				for time.Now().Before(end) {
					cl.do(http.MethodPost, "booking.example", "/reserve/boat", "boat=4", goneTimeout)
					time.Sleep(goneLoadPause)
				}
			})
		}
	}
	wg.Wait()
}
