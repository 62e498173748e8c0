package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	coldLength   = 3 * time.Second        // of the cold start, as in the table
	coldRate     = 35.0                   // requests a second that a cold back end takes, as in the table
	coldBound    = coldRate*1.5 + 5       // requests in one second, with cold_overage 1.5 and cold_slack 5
	coldWork     = 60 * time.Millisecond  // service time of a warm back end; a cold one takes twice as long
	crashRate    = 2 * coldRate           // requests in one second at which a cold back end crashes
	coldTimeout  = time.Second            // timeout of the route and time limit of the clients
	requestPause = 8 * time.Millisecond   // between two requests to one node
	afterReport  = 100 * time.Millisecond // from a liveness report to the moment at which the back end turns cold
)

// cold lets one of three warm back ends turn cold under an even load.
func cold(r *record, trouble bool) error {
	c, err := newCluster(r, "booking", "booking", "booking")
	if err != nil {
		return err
	}
	defer c.stop()
	var backends []*backend
	for i, v := range c.nodes {
		b := newBackend(v, r, fmt.Sprintf("i-%08x", 0x7f3a91c0+i))
		b.work = coldWork
		backends = append(backends, b)
	}
	b := backends[0]
	var from atomic.Pointer[time.Time] // when the back end turns cold
	b.tooMany = func() bool {
		at := from.Load()
		return at != nil && b.coldTime() > 0 && float64(r.mostInOneSecond(b.id, *at, time.Now())) > crashRate
	}
	if err := c.serveBooking(backends, coldTimeout); err != nil {
		return err
	}
	defer func() {
		for _, b := range backends {
			b.crash()
		}
	}()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, v := range c.nodes {
		wg.Go(func() { c.sendEvenly(v, stop) })
	}
	time.Sleep(4 * time.Second)
	b.awaitReport()
	time.Sleep(afterReport)
	start := time.Now()
	from.Store(&start)
	if trouble {
		b.turnCold(coldLength)
	}
	time.Sleep(coldLength)
	close(stop)
	wg.Wait()
	most := r.mostInOneSecond(b.id, start, start.Add(coldLength))
	r.add("backend %s: at most %d requests in one second in these %v, the bound for a cold one is %.1f", b.id, most, coldLength, coldBound)
	if trouble && float64(most) > coldBound {
		return fmt.Errorf("%w: a cold back end got %d requests in one second, the bound is %.1f", errBroken, most, coldBound)
	}
	return nil
}

// sendEvenly sends reservations to a node at a fixed rate until stop is closed.
func (c *cluster) sendEvenly(v *vm, stop <-chan struct{}) {
	cl := newClient(c.record, v)
	ticker := time.NewTicker(requestPause)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			wg.Go(func() { cl.do(http.MethodPost, "booking.example", "/reserve/boat", "boat=4", coldTimeout) })
		}
	}
}
