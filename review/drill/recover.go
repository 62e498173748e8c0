package main

import (
	"fmt"
	"syscall"
	"time"
)

// Terms of the final fault.
const (
	downTime     = 900 * time.Millisecond
	recoveryTime = 15 * time.Second
	reportDelay  = 4 * time.Second // of a report on its way
	servedShare  = 0.25            // of the requests that has to be served after recoveryTime
)

// lookup is a request that may run more than once.
var lookup = request{method: "GET", path: "/desk/free/boat", timeout: 1200 * time.Millisecond}

// powerLoss takes the power from all machines and gives it back, while reports of back ends are on their way.
func powerLoss(rec *record, t trouble) (bool, error) {
	w, servers, err := startWorld(rec, []string{"desk", "desk", "desk", "library"}, app{slots: 14, work: 60 * time.Millisecond}, 0)
	if err != nil {
		return false, err
	}
	defer w.close()
	if t == all {
		for _, s := range servers {
			s.delayReports(reportDelay)
		}
	}
	before, after := newClients(w), newClients(w)
	before.begin(40, w.nodes, lookup)
	time.Sleep(8 * time.Second)
	before.end()
	if t != none {
		if err := w.losePower(servers); err != nil {
			return false, err
		}
	}
	time.Sleep(recoveryTime)
	after.begin(40, w.nodes, lookup)
	time.Sleep(10 * time.Second)
	after.end()
	for _, m := range w.nodes {
		rec.add("%s says that it is ready: %v", m.name, m.ready())
	}
	first, last := before.served(), after.served()
	rec.add("share served before the power loss: %.3f, from %v after it on: %.3f; the rule asks for %.2f", first, recoveryTime, last, servedShare)
	if first < servedShare {
		return false, fmt.Errorf("only %.3f was served before the power loss", first)
	}
	return last < servedShare, nil
}

// losePower ends all processes and back ends at once and starts them again, the back ends under new IDs.
func (w *world) losePower(servers []*server) error {
	w.rec.add("all machines lose power")
	for _, m := range append(append([]*machine{}, w.control...), w.nodes...) {
		m.signal(syscall.SIGKILL)
	}
	for _, s := range servers {
		s.crash()
	}
	time.Sleep(downTime)
	if err := w.writeSettings(false); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	for _, s := range servers {
		if err := s.start("i-" + s.m.name + "-2"); err != nil {
			return err
		}
	}
	w.rec.add("all machines are back")
	return nil
}

// startWorld starts a deployment of three control processes and one node for each service in the list, with a back end beside
// it, and waits until all nodes are ready. The first idle nodes have no back end yet.
func startWorld(rec *record, services []string, like app, idle int) (*world, []*server, error) {
	w, err := newWorld(rec, 3, services)
	if err != nil {
		return nil, nil, err
	}
	servers, err := w.begin(like, idle)
	if err != nil {
		w.close()
		return nil, nil, err
	}
	return w, servers, nil
}

func (w *world) begin(like app, idle int) ([]*server, error) {
	if err := w.startAll(); err != nil {
		return nil, err
	}
	names := map[string]bool{}
	var services []string
	for _, n := range w.nodes {
		if !names[n.service] {
			services = append(services, n.service)
		}
		names[n.service] = true
	}
	if err := w.order("PUT", "/table", "0", table(1, services), 10*time.Second); err != nil {
		return nil, err
	}
	var servers []*server
	for _, n := range w.nodes[idle:] {
		s := &server{w: w, m: n, app: like, beat: beatInterval}
		if err := s.start("i-" + n.name + "-1"); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return servers, nil
}

// startAll starts the processes of all machines.
func (w *world) startAll() error {
	for _, list := range [][]*machine{w.control, w.nodes} {
		for _, m := range list {
			if err := m.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// served returns the share of the requests that were answered with success.
func (c *clients) served() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := 0
	for _, n := range c.total {
		all += n
	}
	return float64(c.total[200]) / float64(max(1, all))
}

// delayReports makes each report that is sent from now on arrive later.
func (s *server) delayReports(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beatDelay = d
}
