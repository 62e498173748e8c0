package httpserver_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/httpserver"
)

// Guards against answers that reach callers in the order in which they were ready, or with the body of another request,
// and against requests that are started only after the answer to the one before.
func TestAnswersKeepTheOrderOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		depth := rapid.IntRange(1, 8).Draw(t, "depth")
		count := rapid.IntRange(1, depth).Draw(t, "requests")
		done := rapid.Permutation(indices(count)).Draw(t, "order of completion")
		pieces := rapid.IntRange(1, 3).Draw(t, "writes")
		r := newRig(t, func(cfg *httpserver.Config) { cfg.MaxPipelined = depth })
		c := r.call()
		defer c.Close()
		var all bytes.Buffer
		for i := range count {
			all.WriteString(get(path(i)))
		}
		for b := all.Bytes(); len(b) > 0; {
			n := min(len(b), all.Cap()/pieces+1)
			c.send(string(b[:n]))
			b = b[n:]
		}
		for i := range count {
			r.started(path(i))
		}
		for _, i := range done {
			r.answer(path(i))
		}
		for i := range count {
			c.expect(path(i))
		}
		r.stop()
	})
}

// Guards against an answer that waits for a slower one behind it.
func TestFirstAnswerDoesNotWaitForLaterOnes(t *testing.T) {
	r := newRig(t, nil)
	c := r.call()
	defer c.Close()
	c.send(get("/a") + get("/b"))
	r.started("/b")
	r.answer("/a")
	c.expect("/a")
	r.answer("/b")
	c.expect("/b")
	r.stop()
}

// Guards against a reservation that runs although an answer before it may end the connection, which callers take as
// the proof that it did not run, and against requests that overtake a reservation.
func TestUnrepeatableRequestRunsAlone(t *testing.T) {
	r := newRig(t, nil)
	c := r.call()
	defer c.Close()
	c.send(get("/a") + get("/b") + post("/c", "x") + get("/d"))
	r.started("/b")
	r.answer("/b")
	if got := r.count(); got != 2 {
		t.Fatalf("%d requests were started beside an unrepeatable one", got)
	}
	r.answer("/a")
	c.expect("/a")
	c.expect("/b")
	r.started("/c")
	if got := r.count(); got != 3 {
		t.Fatalf("%d requests were started, /c must be alone", got)
	}
	r.answer("/c")
	c.expect("/c")
	r.answer("/d")
	c.expect("/d")
	r.stop()
}

// Guards against work that goes on for a caller that has left, however many of its requests were read.
func TestCallerThatLeavesEndsAllItsRequests(t *testing.T) {
	for name, test := range map[string]struct{ text, last string }{
		"one request":            {get("/a"), "/a"},
		"several":                {get("/a") + get("/b") + get("/c"), "/c"},
		"behind an unrepeatable": {post("/a", "x") + get("/b"), "/a"},
		"at the depth limit":     {get("/a") + get("/b") + get("/c") + get("/d") + get("/e"), "/c"},
		"within a request":       {get("/a") + "GET /b HTT", "/a"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(cfg *httpserver.Config) { cfg.MaxPipelined = 3 })
			c := r.call()
			c.send(test.text)
			first, last := r.started("/a"), r.started(test.last)
			_ = c.Close()
			for _, one := range []*run{first, last} {
				select {
				case <-one.ctx.Done():
				case <-time.After(patience):
					t.Fatalf("%s goes on", one.path)
				}
			}
			r.stop()
		})
	}
}

// Guards against a caller that fills a node with requests that it has not been answered.
func TestRequestsReadAheadAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*httpserver.Config)
		most   int
	}{
		"by connection": {func(cfg *httpserver.Config) { cfg.MaxPipelined = 3 }, 3},
		"by node":       {func(cfg *httpserver.Config) { cfg.MaxReadAhead = 2 }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			const count = 40
			r := newRig(t, test.change)
			c := r.call()
			defer c.Close()
			for i := range count {
				c.send(get(path(i)))
			}
			for i := range count {
				r.started(path(i))
				if got := r.count(); got > i+test.most {
					t.Fatalf("%d requests were started with %d answered", got, i)
				}
				r.answer(path(i))
				c.expect(path(i))
			}
			r.stop()
		})
	}
}

// Guards against one connection that uses up what is read ahead for all and thereby stops another.
func TestBoundOfTheNodeStopsNoConnection(t *testing.T) {
	r := newRig(t, func(cfg *httpserver.Config) { cfg.MaxReadAhead = 1 })
	greedy, other := r.call(), r.call()
	defer greedy.Close()
	defer other.Close()
	greedy.send(get("/g1") + get("/g2") + get("/g3"))
	r.started("/g2")
	other.send(get("/o1") + get("/o2"))
	r.answer("/o1")
	other.expect("/o1")
	r.answer("/o2")
	other.expect("/o2")
	for _, p := range []string{"/g1", "/g2", "/g3"} {
		r.answer(p)
		greedy.expect(p)
	}
	r.stop()
}

// Guards against bytes that are no request spoiling the answers to those before, and against anything behind them that runs.
func TestBytesBehindGoodRequests(t *testing.T) {
	for name, bad := range map[string]string{
		"no request line": "nonsense\r\n\r\n",
		"two lengths":     "POST /x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
		"no host":         "GET /x HTTP/1.1\r\n\r\n",
		"large header":    "GET /x HTTP/1.1\r\nHost: desk.example\r\nX-A: " + strings.Repeat("a", 8<<10) + "\r\n\r\n",
		"large body":      "POST /x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
		"bad chunk":       "POST /x HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil)
			c := r.call()
			c.send(get("/a") + get("/b") + bad + get("/smuggled"))
			r.answer("/b")
			r.answer("/a")
			c.expect("/a")
			c.expect("/b")
			resp, _ := c.read()
			if resp.StatusCode < 400 || resp.StatusCode >= 500 || !resp.Close {
				t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
			}
			c.ends()
			if got := r.count(); got != 2 {
				t.Errorf("%d requests were carried out", got)
			}
			r.stop()
		})
	}
}

// Guards against a shutdown that cuts requests that were read, or that says on an answer that the connection closes
// although a later request has been started.
func TestLeavingAnswersWhatWasRead(t *testing.T) {
	r := newRig(t, nil)
	c := r.call()
	c.send(get("/a") + get("/b") + get("/c") + post("/d", "x"))
	r.started("/c")
	r.server.DrainConnections()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		r.stop()
	}()
	for _, p := range []string{"/c", "/a", "/b"} {
		r.answer(p)
	}
	for _, p := range []string{"/a", "/b"} {
		if c.expect(p).Close {
			t.Errorf("the answer to %s closes the connection before that to /c", p)
		}
	}
	if !c.expect("/c").Close {
		t.Error("the last answer does not close the connection")
	}
	c.ends()
	<-stopped
	if got := r.count(); got != 3 {
		t.Errorf("%d requests were carried out, the unrepeatable one must not be", got)
	}
}

// Guards against requests that were accepted just before a shutdown and are cut off without an answer after they began to run.
func TestShutdownAnswersWhatRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		callers := rapid.IntRange(1, 8).Draw(t, "callers")
		r := newRig(t, nil)
		var sent, done sync.WaitGroup
		answered := make([]bool, callers)
		for i := range callers {
			c := r.call()
			sent.Add(1)
			done.Go(func() {
				defer c.Close()
				_, _ = io.WriteString(c, get(path(i)))
				sent.Done()
				resp, err := http.ReadResponse(c.r, nil)
				answered[i] = err == nil && resp.StatusCode == http.StatusOK
			})
		}
		if rapid.Bool().Draw(t, "after the send") {
			sent.Wait()
		}
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			r.stop()
		}()
		for over := false; !over; {
			select {
			case <-stopped:
				over = true
			case <-time.After(time.Millisecond):
			}
			r.mu.Lock()
			for _, one := range r.runs {
				select {
				case one.reply <- text(one.path):
				default:
				}
			}
			r.mu.Unlock()
		}
		done.Wait()
		for i := range callers {
			r.mu.Lock()
			ran := r.runs[path(i)] != nil
			r.mu.Unlock()
			if ran && !answered[i] {
				t.Fatalf("request %d of %d ran and got no answer", i, callers)
			}
		}
	})
}

// Guards against unread bytes that reset the connection before the caller has read the last answer.
func TestUnreadBytesDoNotCutTheLastAnswer(t *testing.T) {
	r := newRig(t, nil)
	c := r.call()
	c.send("GET /a HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\r\n" + strings.Repeat(get("/late"), 500))
	r.answer("/a")
	if !c.expect("/a").Close {
		t.Error("the answer does not close the connection")
	}
	c.ends()
	if got := r.count(); got != 1 {
		t.Errorf("%d requests were carried out", got)
	}
	r.stop()
}

// Guards against an answer that was cut and looks whole, or that is followed by the answer to the next request.
func TestAnswerThatBreaksEndsTheConnection(t *testing.T) {
	for name, length := range map[string]int{"with a length": 100, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil)
			c := r.call()
			defer c.Close()
			c.send(get("/a") + get("/b"))
			next := r.started("/b")
			cut := &message.Reply{Outcome: attempt.Answered, Length: length, Body: broken{}}
			cut.Header.SetStatusCode(http.StatusOK)
			r.started("/a").reply <- cut
			resp, err := http.ReadResponse(c.r, nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			if err == nil {
				t.Error("the cut answer looks whole")
			}
			select {
			case <-next.ctx.Done():
			case <-time.After(patience):
				t.Error("the request behind the cut answer goes on")
			}
			r.stop()
		})
	}
}

// Guards against one request that takes a whole process down, or that is said not to have run.
func TestPanicEndsOneRequest(t *testing.T) {
	r := newRig(t, nil)
	c := r.call()
	defer c.Close()
	c.send(get("/a") + get("/panic") + get("/b"))
	r.answer("/a")
	r.answer("/b")
	c.expect("/a")
	resp, _ := c.read()
	if got := resp.Header.Get("Pollenhill-Outcome"); resp.StatusCode < 500 || got != attempt.Unknown.String() {
		t.Errorf("status %d, outcome %q", resp.StatusCode, got)
	}
	c.expect("/b")
	r.stop()
}

// Guards against unused connections that stay open for ever, and against used ones that are closed as unused.
func TestUnusedConnectionIsClosed(t *testing.T) {
	r := newRig(t, func(cfg *httpserver.Config) { cfg.IdleTimeout = 20 * time.Millisecond })
	c := r.call()
	c.send(get("/a"))
	one := r.started("/a")
	select {
	case <-one.ctx.Done():
		t.Error("a connection with a request in flight was closed as unused")
	case <-time.After(10 * 20 * time.Millisecond):
	}
	r.answer("/a")
	c.expect("/a")
	c.ends()
	r.stop()
}

// Guards against a body that is asked for while an earlier answer is due: the caller would read the interim answer in its place.
func TestContinueKeepsTheOrder(t *testing.T) {
	r := newRig(t, nil)
	c := r.call()
	defer c.Close()
	c.send(get("/a") + "POST /b HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
	r.answer("/a")
	c.expect("/a")
	if line, err := c.r.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("line %q, error %v", line, err)
	}
	_, _ = c.r.ReadString('\n')
	c.send("x")
	r.answer("/b")
	c.expect("/b")
	r.stop()
}
