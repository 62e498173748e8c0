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
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/httpserver"
)

// Guards against replies sent in the order of completion or with the body of another request, and against pipelined
// requests that start only after the previous reply.
func TestRepliesKeepRequestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		depth := rapid.IntRange(1, 8).Draw(t, "depth")
		count := rapid.IntRange(1, depth).Draw(t, "requests")
		done := rapid.Permutation(indices(count)).Draw(t, "order of completion")
		pieces := rapid.IntRange(1, 3).Draw(t, "writes")
		s := newTestServer(t, func(cfg *httpserver.Config) { cfg.MaxPipelined = depth })
		c := s.dial()
		defer c.Close()
		var all bytes.Buffer
		for i := range count {
			all.WriteString(get(numberedPath(i)))
		}
		for b := all.Bytes(); len(b) > 0; {
			n := min(len(b), all.Cap()/pieces+1)
			c.send(string(b[:n]))
			b = b[n:]
		}
		for i := range count {
			s.awaitStarted(numberedPath(i))
		}
		for _, i := range done {
			s.reply(numberedPath(i))
		}
		for i := range count {
			c.expectReply(numberedPath(i))
		}
		s.stop()
	})
}

// Guards against a reply that is held back until a later, slower request completes.
func TestFirstReplyDoesNotWaitForLaterOnes(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	defer c.Close()
	c.send(get("/a") + get("/b"))
	s.awaitStarted("/b")
	s.reply("/a")
	c.expectReply("/a")
	s.reply("/b")
	c.expectReply("/b")
	s.stop()
}

// Guards against a non-idempotent request that runs although an earlier reply may close the connection, which clients
// take as proof that it did not run, and against later requests that overtake it.
func TestExclusiveRequestRunsAlone(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	defer c.Close()
	c.send(get("/a") + get("/b") + post("/c", "x") + get("/d"))
	s.awaitStarted("/a")
	s.awaitStarted("/b")
	s.reply("/b")
	if got := s.startedCount(); got != 2 {
		t.Fatalf("%d requests were started, want 2 before the exclusive one", got)
	}
	s.reply("/a")
	c.expectReply("/a")
	c.expectReply("/b")
	s.awaitStarted("/c")
	if got := s.startedCount(); got != 3 {
		t.Fatalf("%d requests were started, want 3: /c must run alone", got)
	}
	s.reply("/c")
	c.expectReply("/c")
	s.reply("/d")
	c.expectReply("/d")
	s.stop()
}

// Guards against requests that keep running after their client has disconnected, whether one was read, several, as many as
// MaxPipelined allows, or part of another, and whether or not the connection takes further requests.
func TestDisconnectCancelsAllRequests(t *testing.T) {
	for name, test := range map[string]struct{ text, last string }{
		"one request":                 {get("/a"), "/a"},
		"several":                     {get("/a") + get("/b") + get("/c"), "/c"},
		"after an exclusive request":  {post("/a", "x") + get("/b"), "/a"},
		"at the pipelining limit":     {get("/a") + get("/b") + get("/c") + get("/d") + get("/e"), "/c"},
		"in the middle of a request":  {get("/a") + "GET /b HTT", "/a"},
		"that asked to close":         {closing("/a"), "/a"},
		"the last one asked to close": {get("/a") + closing("/b"), "/b"},
		"behind the last one":         {get("/a") + closing("/b") + get("/c"), "/b"},
		"before a malformed request":  {get("/a") + "GET /b\r\n\r\n", "/a"},
		"in the middle of a body":     {get("/a") + "GET /b HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\n\r\nab", "/a"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, func(cfg *httpserver.Config) { cfg.MaxPipelined = 3 })
			c := s.dial()
			c.send(test.text)
			first, last := s.awaitStarted("/a"), s.awaitStarted(test.last)
			_ = c.Close()
			for _, req := range []*startedRequest{first, last} {
				select {
				case <-req.ctx.Done():
				case <-time.After(testTimeout):
					t.Fatalf("%s was not cancelled", req.path)
				}
			}
			s.stop()
		})
	}
}

// Guards against unlimited read-ahead, by which one client could fill the memory of a node with unanswered requests.
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
			s := newTestServer(t, test.change)
			c := s.dial()
			defer c.Close()
			for i := range count {
				c.send(get(numberedPath(i)))
			}
			for i := range count {
				s.awaitStarted(numberedPath(i))
				if got := s.startedCount(); got > i+test.most {
					t.Fatalf("%d requests were started with %d answered", got, i)
				}
				s.reply(numberedPath(i))
				c.expectReply(numberedPath(i))
			}
			s.stop()
		})
	}
}

// Guards against a connection that uses all read-ahead slots of the server and thereby blocks another connection.
func TestReadAheadLimitDoesNotBlockOtherConnections(t *testing.T) {
	s := newTestServer(t, func(cfg *httpserver.Config) { cfg.MaxReadAhead = 1 })
	greedy, other := s.dial(), s.dial()
	defer greedy.Close()
	defer other.Close()
	greedy.send(get("/g1") + get("/g2") + get("/g3"))
	s.awaitStarted("/g2")
	other.send(get("/o1") + get("/o2"))
	s.reply("/o1")
	other.expectReply("/o1")
	s.reply("/o2")
	other.expectReply("/o2")
	for _, p := range []string{"/g1", "/g2", "/g3"} {
		s.reply(p)
		greedy.expectReply(p)
	}
	s.stop()
}

// Guards against an invalid request that damages the replies to earlier ones, and against request smuggling: nothing after
// an invalid request may run.
func TestInvalidRequestAfterValidOnes(t *testing.T) {
	for name, bad := range map[string]string{
		"no request line": "nonsense\r\n\r\n",
		"two lengths":     "POST /x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
		"no host":         "GET /x HTTP/1.1\r\n\r\n",
		"large header":    "GET /x HTTP/1.1\r\nHost: desk.example\r\nX-A: " + strings.Repeat("a", 8<<10) + "\r\n\r\n",
		"large body":      "POST /x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
		"bad chunk":       "POST /x HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, nil)
			c := s.dial()
			c.send(get("/a") + get("/b") + bad + get("/smuggled"))
			s.reply("/b")
			s.reply("/a")
			c.expectReply("/a")
			c.expectReply("/b")
			resp, _ := c.readResponse()
			if resp.StatusCode < 400 || resp.StatusCode >= 500 || !resp.Close {
				t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
			}
			c.expectEOF()
			if got := s.startedCount(); got != 2 {
				t.Errorf("%d requests were started, want 2", got)
			}
			s.stop()
		})
	}
}

// Guards against a shutdown that drops requests already read, or that sends "Connection: close" with a reply while a later
// request has been started.
func TestDrainingRepliesToRequestsAlreadyRead(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	c.send(get("/a") + get("/b") + get("/c") + post("/d", "x"))
	s.awaitStarted("/c")
	s.server.DrainConnections()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.stop()
	}()
	for _, p := range []string{"/c", "/a", "/b"} {
		s.reply(p)
	}
	for _, p := range []string{"/a", "/b"} {
		if c.expectReply(p).Close {
			t.Errorf("the reply to %s closes the connection before the reply to /c", p)
		}
	}
	if !c.expectReply("/c").Close {
		t.Error("the last reply does not close the connection")
	}
	c.expectEOF()
	<-stopped
	if got := s.startedCount(); got != 3 {
		t.Errorf("%d requests were started, want 3 without the exclusive one", got)
	}
}

// Guards against requests that are accepted just before a shutdown, start to run and get no reply.
func TestShutdownRepliesToRunningRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clients := rapid.IntRange(1, 8).Draw(t, "callers")
		s := newTestServer(t, nil)
		var sent, done sync.WaitGroup
		answered := make([]bool, clients)
		for i := range clients {
			c := s.dial()
			sent.Add(1)
			done.Go(func() {
				defer c.Close()
				_, _ = io.WriteString(c, get(numberedPath(i)))
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
			s.stop()
		}()
		for over := false; !over; {
			select {
			case <-stopped:
				over = true
			case <-time.After(time.Millisecond):
			}
			s.mu.Lock()
			for _, req := range s.started {
				select {
				case req.reply <- textReply(req.path):
				default:
				}
			}
			s.mu.Unlock()
		}
		done.Wait()
		for i := range clients {
			s.mu.Lock()
			ran := s.started[numberedPath(i)] != nil
			s.mu.Unlock()
			if ran && !answered[i] {
				t.Fatalf("request %d of %d ran and got no reply", i, clients)
			}
		}
	})
}

// Guards against a connection reset caused by unread input, which may destroy the last reply before the client reads it.
func TestUnreadInputDoesNotTruncateLastReply(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	c.send("GET /a HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\r\n" + strings.Repeat(get("/late"), 500))
	s.reply("/a")
	if !c.expectReply("/a").Close {
		t.Error("the reply does not close the connection")
	}
	c.expectEOF()
	if got := s.startedCount(); got != 1 {
		t.Errorf("%d requests were started, want 1", got)
	}
	s.stop()
}

// Guards against a truncated reply that looks complete, or that is followed by the reply to the next request: both happen
// if a body that fails does not end the connection.
func TestTruncatedReplyClosesConnection(t *testing.T) {
	for name, length := range map[string]int{"with a length": 100, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, nil)
			c := s.dial()
			defer c.Close()
			c.send(get("/a") + get("/b"))
			next := s.awaitStarted("/b")
			truncated := &message.Reply{Outcome: attempt.Answered, Length: length, Body: truncatedBody{}}
			truncated.Header.SetStatusCode(http.StatusOK)
			s.awaitStarted("/a").reply <- truncated
			resp, err := http.ReadResponse(c.r, nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			if err == nil {
				t.Error("the truncated reply looks complete")
			}
			select {
			case <-next.ctx.Done():
			case <-time.After(testTimeout):
				t.Error("the request after the truncated reply was not cancelled")
			}
			s.stop()
		})
	}
}

// Guards against a panic in the handler that ends the process, or whose reply says that the request did not run.
func TestPanicFailsOneRequest(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	defer c.Close()
	c.send(get("/a") + get("/panic") + get("/b"))
	s.reply("/a")
	s.reply("/b")
	c.expectReply("/a")
	resp, _ := c.readResponse()
	if got := resp.Header.Get("Pollenhill-Outcome"); resp.StatusCode < 500 || got != attempt.Unknown.String() {
		t.Errorf("status %d, outcome %q", resp.StatusCode, got)
	}
	c.expectReply("/b")
	s.stop()
}

// Guards against idle connections that stay open forever, and against an idle timeout while a request is in flight.
func TestIdleConnectionIsClosed(t *testing.T) {
	s := newTestServer(t, func(cfg *httpserver.Config) { cfg.IdleTimeout = 20 * time.Millisecond })
	c := s.dial()
	c.send(get("/a"))
	req := s.awaitStarted("/a")
	select {
	case <-req.ctx.Done():
		t.Error("a connection with a request in flight was closed as idle")
	case <-time.After(10 * 20 * time.Millisecond):
	}
	s.reply("/a")
	c.expectReply("/a")
	c.expectEOF()
	s.stop()
}

// Guards against a 100 Continue that is sent while an earlier reply is due: the client would take it for that reply.
func TestContinueWaitsForEarlierReplies(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	defer c.Close()
	c.send(get("/a") + "POST /b HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
	s.reply("/a")
	c.expectReply("/a")
	if line, err := c.r.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("line %q, error %v", line, err)
	}
	_, _ = c.r.ReadString('\n')
	c.send("x")
	s.reply("/b")
	c.expectReply("/b")
	s.stop()
}

// streamReply returns a reply whose streamed body is text, with a deadline.
func streamReply(text string, deadline time.Time) *message.Reply {
	reply := textReply(text)
	reply.Length = tcp.Chunked
	reply.Deadline = deadline
	return reply
}

// Guards against a deadline that closes a connection on which the reply was written in time, and against a reply that begins
// after its deadline because it waited for the one in front of it.
func TestDeadlineOfPipelinedReplies(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial()
	defer c.Close()
	c.send(get("/1") + get("/2"))
	expired := time.Now().Add(20 * time.Millisecond)
	s.awaitStarted("/2").reply <- streamReply("/2", expired)
	<-time.After(time.Until(expired))
	s.awaitStarted("/1").reply <- streamReply("/1", time.Now().Add(testTimeout))
	c.expectReply("/1")
	if resp, _ := c.readResponse(); resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d for the reply whose deadline passed", resp.StatusCode)
	}
	c.send(get("/3"))
	deadline := time.Now().Add(testTimeout / 100)
	s.awaitStarted("/3").reply <- streamReply("/3", deadline)
	c.expectReply("/3")
	<-time.After(time.Until(deadline.Add(20 * time.Millisecond)))
	c.send(get("/4"))
	s.awaitStarted("/4").reply <- streamReply("/4", time.Now().Add(testTimeout))
	c.expectReply("/4")
	s.stop()
}

// Guards against clients that announce long bodies and send little of them, so that there is no memory for the bodies of
// others, and against bytes that are lost where a buffer grows.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	s := newTestServer(t, nil)
	const slow = 2 * bodyMemory / (64 << 10) // together they announce twice the budget
	for range slow {
		c := s.dial()
		defer c.Close()
		c.send("POST /slow HTTP/1.1\r\nHost: desk.example\r\nExpect: 100-continue\r\nContent-Length: 65536\r\n\r\n")
		if resp, err := http.ReadResponse(c.r, nil); err != nil || resp.StatusCode != http.StatusContinue {
			t.Fatalf("%v, %v", resp, err)
		}
		c.send(strings.Repeat("b", 10<<10)) // more than fasthttp reads before the handler takes memory
	}
	for _, length := range []int{1, 16 << 10, 16<<10 + 1, 40_000, 64 << 10} {
		c := s.dial()
		path := numberedPath(length)
		c.send(post(path, strings.Repeat("b", length)))
		req := s.awaitStarted(path)
		if string(req.body) != strings.Repeat("b", length) {
			t.Errorf("%d bytes: %d arrived", length, len(req.body))
		}
		s.reply(path)
		c.expectReply(path)
		c.Close()
	}
}
