package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// call makes one call of the operator at one control process; status 0 means no answer within a second.
func (w *world) call(m *machine, method, path, match string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+m.address("control")+path, bytes.NewReader(body))
	if match != "" {
		req.Header.Set("If-Match", match)
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := reportClient.Do(req)
	if err != nil {
		w.rec.add("operator %s %s at %s: no answer", method, path, m.name)
		return 0, ""
	}
	text, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	w.rec.add("operator %s %s at %s: %d", method, path, m.name, resp.StatusCode)
	return resp.StatusCode, string(text)
}

// order repeats a call at one control process after the other until it is acknowledged.
func (w *world) order(method, path, match string, body []byte, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for i := 0; time.Now().Before(end); i++ {
		m := w.control[i%len(w.control)]
		status, text := w.call(m, method, path, match, body)
		switch {
		case status >= 200 && status < 300:
			return nil
		case status >= 400 && status < 500 && status != 408 && status != 429:
			return fmt.Errorf("%s %s: %d %s", method, path, status, text)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("no acknowledgement of " + method + " " + path)
}

// table returns a table with a route for lookups and one for reservations of each service.
func table(version int, services []string) []byte {
	var routes, list []map[string]any
	for _, s := range services {
		routes = append(routes,
			map[string]any{"name": "lookup-" + s, "host": "app.example", "path": "/" + s + "/free/", "kind": "idempotent", "timeout": 1200, "aim": 200, "rank": 2, "service": s, "tries": 2},
			map[string]any{"name": "reserve-" + s, "host": "app.example", "path": "/" + s + "/book/", "kind": "unsafe", "timeout": 1500, "aim": 250, "rank": 1, "service": s, "tries": 2})
		list = append(list, map[string]any{"name": s, "health": "/health", "connections": 260, "protocol": "h1", "tls": false, "cold": 3.0, "rate": 42.0})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"header": 16384, "body": 67108864, "read": 3000, "idle": 15000},
	})
	return b
}

// awaitReady waits until all nodes say that they are ready.
func (w *world) awaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, n := range w.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return errors.New(n.name + " is not ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// ready asks a node whether it takes clients.
func (m *machine) ready() bool {
	resp, err := readyClient.Get("http://" + m.address("ready") + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
