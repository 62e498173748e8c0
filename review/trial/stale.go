package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Sizes of the case.
const (
	staleNodes      = 4
	staleRoutes     = 1005 // five and 1,000 that a growth of the table adds
	staleChanges    = 810  // whole tables; a snapshot is taken after some 450, and the log holds the others
	exchangeAt      = 600  // version in which the last route makes way for another one
	checkAt         = 800  // version after which the nodes are asked, before the disruption
	staleChangeTime = 80 * time.Second
	inTouchAfter    = 6 * time.Second  // twice the contact time, after a fault that took most of the core
	watchTime       = 20 * time.Second // after the processes are back
	requestInterval = 25 * time.Millisecond
)

// runStale exchanges a route, goes on with other changes, kills all processes and asks the nodes for both routes.
func runStale(o options) (int, error) {
	folder, err := newWorkFolder()
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(folder)
	data := filepath.Dir(o.names)
	controls, addresses, err := controlProcesses(o, folder, 3)
	if err != nil {
		return exitNotRun, err
	}
	op, err := newOperator(o.names, addresses)
	if err != nil {
		return exitNotRun, err
	}
	processes := controls
	var nodes []*nodeProcess
	for i := range staleNodes {
		node, err := newNode(o, folder, data, string(rune('a'+i)), addresses)
		if err != nil {
			return exitNotRun, err
		}
		nodes = append(nodes, node)
		processes = append(processes, node.process)
	}
	for _, p := range processes {
		defer p.stop()
		if err := p.start(); err != nil {
			return exitNotRun, err
		}
	}
	var mu sync.Mutex
	ran := map[string]int{} // runs by request ID
	for _, node := range nodes {
		srv, err := startServer(node, data, func(id string) {
			mu.Lock()
			defer mu.Unlock()
			ran[id]++
		})
		if err != nil {
			return exitNotRun, err
		}
		defer srv.stop()
	}

	dropped, added := fmt.Sprintf("/lohu%05d/x", staleRoutes-1), fmt.Sprintf("/lohu%05d/x", staleRoutes)
	acked, end := 0, time.Now().Add(staleChangeTime)
	for acked < staleChanges {
		last := staleRoutes - 1
		if acked+1 >= exchangeAt {
			last = staleRoutes
		}
		if !op.send(op.table(acked+1, staleRoutes, last), acked, end) {
			return exitNotRun, fmt.Errorf("version %d was not acknowledged in time", acked+1)
		}
		if acked++; acked == checkAt {
			if err := checkRoutes(nodes, dropped, added); err != nil {
				return exitNotRun, err
			}
		}
		if acked%50 == 0 {
			o.record.line("version %d is acknowledged; its last route is number %d", acked, last)
		}
	}
	peak := peakOf(controls)
	if o.trouble {
		for _, p := range processes {
			p.kill()
		}
		o.record.line("all processes are killed")
		time.Sleep(downTime)
		for _, p := range processes {
			if err := p.start(); err != nil {
				return exitNotRun, err
			}
		}
		o.record.line("all processes are started again")
	}
	back := time.Now()
	late, answers := 0, map[string]int{}
	for i := 0; time.Since(back) < watchTime; i++ {
		node, path := nodes[i/2%len(nodes)], added
		if i%2 == 1 {
			path = dropped
		}
		id, sent := fmt.Sprintf("late-%d", i), time.Since(back)
		status := ask(node, id, path)
		mu.Lock()
		runs := ran[id]
		mu.Unlock()
		answers[fmt.Sprintf("%s %d", path, status)]++
		if path == added && status == http.StatusNotFound || path == dropped && runs > 0 {
			o.record.line("%s sent to %s %.2f s after the start on %s: answered %d, runs %d", id, node.name, sent.Seconds(), path, status, runs)
			if sent > inTouchAfter {
				late++
			}
		}
		time.Sleep(requestInterval)
	}
	peak = max(peak, peakOf(controls))
	o.record.line("most memory of a control process: %d MB", peak)
	if peak > memoryLimitMB {
		return exitNotRun, fmt.Errorf("a control process used %d MB, the platform would have killed it", peak)
	}
	o.record.line("%s was added and %s dropped by version %d; answers: %v", added, dropped, exchangeAt, answers)
	o.record.line("the table reads as version %d, acknowledged is %d", op.read(), acked)
	if late > 0 {
		o.record.line("CONFIG: %d requests were handled as only versions before %d allow, later than %v after the start", late, exchangeAt, inTouchAfter)
		return exitBroken, nil
	}
	return exitHeld, nil
}

// peakOf returns the most memory in MiB that one of the processes has used since its start.
func peakOf(processes []*process) int {
	peak := 0
	for _, p := range processes {
		peak = max(peak, p.peakMB())
	}
	return peak
}

// checkRoutes returns an error unless all nodes refuse the dropped route and serve the added one.
func checkRoutes(nodes []*nodeProcess, dropped, added string) error {
	time.Sleep(3 * time.Second)
	for _, node := range nodes {
		if status := ask(node, "before-"+node.name, dropped); status != http.StatusNotFound {
			return fmt.Errorf("%s answers %d on the dropped route before the disruption", node.name, status)
		}
		if status := ask(node, "added-"+node.name, added); status != http.StatusOK {
			return fmt.Errorf("%s answers %d on the added route before the disruption", node.name, status)
		}
	}
	return nil
}

// ask sends one request to the node and returns the status, 0 without an answer.
func ask(n *nodeProcess, id, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.caller+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "ficu95.example"
	req.Header.Set(n.headers.Request, id)
	req.Header.Set(n.headers.Deadline, "1000")
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
