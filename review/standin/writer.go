package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	writerSequence = 1000            // of the report of the other writer
	drainingLength = 5 * time.Second // for which the draining back end goes on serving
	writerPause    = 1 * time.Second // from the report of the other writer to the draining report
)

// writer sends a report with missing fields about a back end, which then drains.
func writer(r *record, trouble bool) error {
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
	if err := c.serveBooking(backends, time.Second); err != nil {
		return err
	}
	defer func() {
		for _, b := range backends {
			b.crash()
		}
	}()
	b := backends[0]
	if trouble {
		incomplete, _ := json.Marshal(map[string]any{
			"service": b.service, "address": b.vm.address(appPort), "slots": b.slots, "state": "ready", "sequence": writerSequence, "born": b.born,
		})
		status, err := b.send(http.MethodPut, b.id, incomplete)
		r.add("a report of another writer without zone, version and remaining cold time: status %d %v", status, err)
	}
	time.Sleep(writerPause)
	b.leaving.Store(true)
	status, err := b.report("draining")
	acked := time.Now()
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("the draining report was not acknowledged")
	}
	go func() {
		for range 3 {
			time.Sleep(heartbeatInterval)
			_, _ = b.report("draining")
		}
	}()
	c.reserve(c.nodes, drainingLength)
	late := r.runsAfter(b.id, acked.Add(drainBound))
	r.add("%d requests reached the draining back end later than %v after the acknowledgement", late, drainBound)
	if late > 0 {
		return fmt.Errorf("%w: %d requests reached a back end later than %v after its draining was acknowledged", errBroken, late, drainBound)
	}
	return nil
}
