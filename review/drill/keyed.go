package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// proxy stands between clients and a node, for one connection after the other.
type proxy struct {
	listener net.Listener
	target   string
	resets   atomic.Int64 // answers that are still to be lost
}

func newProxy(ip, target string) (*proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

// pass carries bytes both ways. With resets left, it resets the connection of the client when the answer begins to arrive.
func (p *proxy) pass(client net.Conn) {
	defer client.Close()
	node, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer node.Close()
	go func() { _, _ = io.Copy(node, client) }()
	answer := bufio.NewReader(node)
	if _, err := answer.Peek(1); err == nil && p.resets.Add(-1) >= 0 {
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	_, _ = io.Copy(client, answer)
}

// lookups is how many lookups the case sends, one after the other.
const lookups = 20

// keyedLookup sends lookups with an idempotency key each; a connection is reset as the answer arrives, and the client sends the
// lookup again with the same key.
func keyedLookup(rec *record, t trouble) (bool, error) {
	w, _, err := startWorld(rec, []string{"desk", "desk"}, app{slots: 14, work: 60 * time.Millisecond}, 0)
	if err != nil {
		return false, err
	}
	defer w.close()
	p, err := newProxy(w.nodes[0].ip, w.nodes[0].address("outbound"))
	if err != nil {
		return false, err
	}
	defer p.listener.Close()
	wrong := 0
	for i := range lookups {
		if t != none && i%2 == 0 {
			p.resets.Store(1)
		}
		key := fmt.Sprintf("b1f6-%d", i)
		if t == part {
			key = ""
		}
		for try := 1; try <= 3; try++ {
			good, err := w.keyedTry(p, fmt.Sprintf("%04x-%d", i, try), key)
			if err != nil {
				continue // an idempotent request is sent again after any failure
			}
			if !good {
				wrong++
			}
			break
		}
	}
	rec.add("successes without the mark of a back end, or with the answer to another request: %d of %d lookups; the rule allows none", wrong, lookups)
	return wrong > 0, nil
}

// keyedTry sends one attempt on a connection of its own. It reports whether a success bears the mark of the back end and is
// the answer to this attempt.
func (w *world) keyedTry(p *proxy, id, key string) (good bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listener.Addr().String()+"/desk/free/boat", nil)
	req.Host = "app.example"
	req.Header.Set(w.headers["request"], id)
	req.Header.Set(w.headers["deadline"], "1200")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := reportClient.Do(req)
	if err != nil {
		w.rec.add("request %s with key %q: no answer", id, key)
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	w.rec.add("request %s with key %q: %d, mark %q, body %q", id, key, resp.StatusCode, resp.Header.Get(w.headers["seal"]), body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false, errors.New("no success")
	}
	return resp.Header.Get(w.headers["seal"]) == "seal-"+id && string(body) == "answer to "+id+"\n", nil
}
