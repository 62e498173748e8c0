package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests to the nodes; each request is one attempt of a client.
type clients struct {
	w     *world
	http  *http.Client
	next  atomic.Int64
	mu    sync.Mutex
	sent  map[string]time.Time // by ID
	total map[int]int          // by status, 0 for no answer
	wg    sync.WaitGroup
	ended chan struct{}
}

func newClients(w *world) *clients {
	return &clients{w: w, sent: map[string]time.Time{}, total: map[int]int{}, ended: make(chan struct{}), http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// request describes the requests of one kind.
type request struct {
	method  string
	path    string
	body    string
	timeout time.Duration
	quiet   bool // not in the record
}

// one sends one request to a node and returns its ID and status, 0 for no answer.
func (c *clients) one(node *machine, r request) (string, int) {
	id := fmt.Sprintf("%06x", c.next.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, r.method, "http://"+node.address("outbound")+r.path, strings.NewReader(r.body))
	req.Host = "app.example"
	req.Header.Set(c.w.headers["request"], id)
	req.Header.Set(c.w.headers["deadline"], fmt.Sprint(r.timeout.Milliseconds()))
	at := time.Now()
	c.mu.Lock()
	c.sent[id] = at
	c.mu.Unlock()
	status, text := 0, ""
	resp, err := c.http.Do(req)
	if err == nil {
		status = resp.StatusCode
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			status = 0
		}
		_ = resp.Body.Close()
	}
	if err != nil {
		text = " (no whole answer)"
	}
	c.mu.Lock()
	c.total[status]++
	c.mu.Unlock()
	if !r.quiet {
		c.w.rec.add("request %s %s %s to %s, sent at %.4f: %d%s", id, r.method, r.path, node.name, at.Sub(c.w.rec.start).Seconds(), status, text)
	}
	return id, status
}

// begin sends so many requests a second, evenly over the nodes, until end.
func (c *clients) begin(perSecond float64, nodes []*machine, r request) {
	c.beginFor(time.Hour, perSecond, nodes, r)
}

// beginFor is begin for a limited time.
func (c *clients) beginFor(d time.Duration, perSecond float64, nodes []*machine, r request) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		over := time.After(d)
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-c.ended:
				return
			case <-over:
				return
			case <-ticker.C:
			}
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.one(nodes[i%len(nodes)], r)
			}()
		}
	}()
}

// end ends the load and waits for the last answers.
func (c *clients) end() {
	close(c.ended)
	c.wg.Wait()
}
