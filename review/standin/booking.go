package main

import (
	"errors"
	"net/http"
	"time"
)

// bookingTable returns a table with one route for reservations, which must not run twice.
func bookingTable(timeout time.Duration) table {
	return table{
		Version: 1,
		Routes: []route{{
			Name: "r-reserve", Host: "booking.example", Path: "/reserve/", Kind: "unsafe",
			Timeout: int(timeout.Milliseconds()), Aim: 250, Rank: 1, Service: "booking", Tries: 2,
		}},
		Services: []service{{Name: "booking", Health: "/health", Connections: 240, Protocol: "h1", Cold: 3, Rate: 35}},
		Limits:   map[string]int{"header": 16384, "body": 67108864, "read": 3000, "idle": 15000},
	}
}

// inTouchAfter is how long machines must run without a disruption to be in touch (contact_ms), with a second to spare.
const inTouchAfter = 4 * time.Second

// serveBooking starts all processes and back ends, sends the table, and waits until every node serves reservations and is
// in touch.
func (c *cluster) serveBooking(backends []*backend, timeout time.Duration) error {
	if err := c.startAll(); err != nil {
		return err
	}
	for _, b := range backends {
		if err := b.start(); err != nil {
			return err
		}
	}
	if err := newOperator(c).putTable(0, bookingTable(timeout)); err != nil {
		return err
	}
	served := func() bool {
		for _, v := range c.nodes {
			if newClient(c.record, v).do(http.MethodPost, "booking.example", "/reserve/boat", "boat=4", timeout).status != http.StatusOK {
				return false
			}
		}
		return true
	}
	if !pollUntil(20*time.Second, served) {
		return errors.New("the deployment does not serve")
	}
	time.Sleep(inTouchAfter)
	return nil
}
