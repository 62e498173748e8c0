package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Uint64

// answer is what a client got for one attempt.
type answer struct {
	id      string
	status  int // 0: no complete answer
	headAt  time.Duration
	took    time.Duration // until the end of the answer, or until the client gave up
	bytes   int64
	gaveUp  bool // the time limit of the client passed
	sealed  bool
	kept    bool // sent on a connection that had carried a request before
	failure error
}

// client sends requests to the node of one VM.
type client struct {
	record *record
	vm     *vm
	http   http.Client
}

func newClient(r *record, v *vm) *client {
	return &client{record: r, vm: v, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// do sends one attempt with a time limit and reads the answer to its end.
func (c *client) do(method, host, path, body string, limit time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x5eed000000000000+requestNumber.Add(1))}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused }}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), trace), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.vm.address(callerPort)+path, strings.NewReader(body))
	if err != nil {
		a.failure = err
		return a
	}
	if body == "" {
		req.Body = http.NoBody
	}
	req.Host = host
	req.Header.Set(headerNames.Request, a.id)
	req.Header.Set(headerNames.Deadline, fmt.Sprint(limit.Milliseconds()))
	start := time.Now()
	resp, err := c.http.Do(req)
	a.headAt = time.Since(start)
	if err == nil {
		a.sealed = resp.Header.Get(headerNames.Seal) != ""
		a.bytes, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.status = resp.StatusCode
		}
	}
	a.took = time.Since(start)
	a.failure = err
	a.gaveUp = ctx.Err() != nil
	c.record.add("client at %s: %s %s %s: status %d, head after %d ms, end after %d ms, %d bytes, kept connection %t, gave up %t, %v",
		c.vm.name, a.id, method, path, a.status, a.headAt.Milliseconds(), a.took.Milliseconds(), a.bytes, a.kept, a.gaveUp, err)
	return a
}
