package peer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/peer"
)

// startFakeNode starts a destination node that answers each request with the text that reply returns, and returns its
// address. In the text, %ID stands for the attempt ID of the request. The node closes the connection after a text that
// is empty or contains X-Close.
func startFakeNode(t *testing.T, reply func(request int, h *fasthttp.RequestHeader) string) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	requests := 0
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					var req fasthttp.Request
					if req.Read(r) != nil {
						return
					}
					mu.Lock()
					requests++
					n := requests
					mu.Unlock()
					text := reply(n, &req.Header)
					text = strings.ReplaceAll(text, "%ID", string(req.Header.Peek(attempt.HeaderAttempt)))
					_, err := io.WriteString(c, text)
					if err != nil || text == "" || strings.Contains(text, "X-Close") {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	return netip.MustParseAddrPort(ln.Addr().String())
}

func newTestClient(t *testing.T, confirmed func() bool, offerRules func(uint64, string)) *peer.Client {
	c := peer.NewClient(peer.ClientConfig{
		Node:            "entry",
		Dialer:          tcp.Dialer{Timeout: 5 * time.Second},
		MaxConnections:  4,
		IdleTimeout:     time.Minute,
		BodyReadTimeout: 5 * time.Second,
		RulesRevision:   func() uint64 { return 5 },
		RulesConfirmed:  confirmed,
		OfferRules:      offerRules,
	})
	t.Cleanup(c.Close)
	return c
}

func newRequest() *message.Request {
	req := &message.Request{}
	req.Header.SetMethod("POST")
	req.Header.SetRequestURI("/reserve")
	req.Header.SetHost("desk.example")
	req.Header.SetContentLength(0)
	return req
}

func newAttempt(sequence uint64) message.Attempt {
	return message.Attempt{
		ID:       attempt.ID{Node: "entry", Incarnation: 1, Sequence: sequence},
		Deadline: time.Now().Add(10 * time.Second),
		Depth:    2,
		Service:  "desk",
	}
}

const answeredResponse = "HTTP/1.1 200 OK\r\nPollenhill-Attempt: %ID\r\nPollenhill-Outcome: answered\r\nPollenhill-Hint: 1 2 3 4\r\nContent-Length: 2\r\n\r\nok"

// Guards against a response to another attempt that reaches the caller, and against an outcome that the response of the
// destination does not prove.
func TestDestinationFaults(t *testing.T) {
	tests := map[string]struct {
		reply   string
		outcome attempt.Outcome
		result  balancer.Result
		body    string
	}{
		"answered":                    {answeredResponse, attempt.Answered, balancer.Succeeded, "ok"},
		"another attempt":             {strings.Replace(answeredResponse, "%ID", "entry/1/99", 1), attempt.Unknown, balancer.Lost, ""},
		"an earlier incarnation":      {strings.Replace(answeredResponse, "%ID", "entry/0/1", 1), attempt.Unknown, balancer.Lost, ""},
		"no attempt":                  {strings.Replace(answeredResponse, "Pollenhill-Attempt: %ID\r\n", "", 1), attempt.Unknown, balancer.Lost, ""},
		"two responses":               {answeredResponse + answeredResponse, attempt.Answered, balancer.Succeeded, "ok"},
		"truncated body":              {strings.Replace(answeredResponse, "Length: 2", "Length: 9\r\nX-Close: 1", 1), attempt.Unknown, balancer.Lost, ""},
		"closed without response":     {"", attempt.Unknown, balancer.Lost, ""},
		"refused by destination":      {refusedResponse("full", 2), attempt.NotRun, balancer.Refused, ""},
		"refused down the call chain": {refusedResponse("full", 4), attempt.NotRun, balancer.Refused, ""},
		"server error":                {strings.Replace(answeredResponse, "200 OK", "500 Oops", 1), attempt.Answered, balancer.Failed, "ok"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address := startFakeNode(t, func(int, *fasthttp.RequestHeader) string { return test.reply })
			c := newTestClient(t, func() bool { return false }, nil)
			target := balancer.Target{Node: "destination", PeerAddress: address, Incarnation: 1}
			for sequence := range uint64(3) {
				reply := c.Send(context.Background(), target, newAttempt(sequence+1), newRequest())
				if reply.Outcome != test.outcome || reply.Result != test.result {
					t.Fatalf("outcome %s, result %s, want %s, %s", reply.Outcome, reply.Result, test.outcome, test.result)
				}
				body := ""
				if reply.Body != nil {
					raw, err := io.ReadAll(reply.Body)
					if err != nil {
						t.Fatal(err)
					}
					body = string(raw)
				}
				if body != test.body {
					t.Errorf("body %q, want %q", body, test.body)
				}
			}
		})
	}
}

// refusedResponse returns a refusal by a node at the given depth of the call chain.
func refusedResponse(reason string, depth int) string {
	return "HTTP/1.1 503 Service Unavailable\r\nPollenhill-Attempt: %ID\r\nPollenhill-Outcome: not-run\r\nRetry-After: 1\r\n" +
		"Proxy-Status: d; error=connection_limit_reached; details=\"" + reason + "\"; level=" + string(rune('0'+depth)) +
		"\r\nContent-Length: 0\r\n\r\n"
}

// Guards against the outcome "not run" for an attempt of which the destination may have received a byte, and against
// "unknown" for one whose connection was refused.
func TestUnreachableDestinationProvesNotRun(t *testing.T) {
	address := startFakeNode(t, func(int, *fasthttp.RequestHeader) string { return "" })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := netip.MustParseAddrPort(ln.Addr().String())
	ln.Close()
	c := newTestClient(t, func() bool { return false }, nil)
	if reply := c.Send(context.Background(), balancer.Target{PeerAddress: closed}, newAttempt(1), newRequest()); reply.Outcome != attempt.NotRun {
		t.Errorf("connection refused: outcome %s, want %s", reply.Outcome, attempt.NotRun)
	}
	if reply := c.Send(context.Background(), balancer.Target{PeerAddress: address}, newAttempt(2), newRequest()); reply.Outcome != attempt.Unknown {
		t.Errorf("closed after the request: outcome %s, want %s", reply.Outcome, attempt.Unknown)
	}
}

// Guards against a cancel that returns "not run" without such a response, or from one to another attempt.
func TestCancelOutcomes(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nPollenhill-Attempt: %ID\r\nPollenhill-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		reply string
		want  destination.CancelOutcome
	}{
		"not run":         {answer, destination.NotRun},
		"started":         {strings.Replace(answer, "not-run", "started", 1), destination.Started},
		"unknown":         {strings.Replace(answer, "not-run", "unknown", 1), destination.Unknown},
		"another attempt": {strings.Replace(answer, "%ID", "entry/1/99", 1), destination.Unknown},
		"no response":     {"", destination.Unknown},
	}
	for name, test := range tests {
		address := startFakeNode(t, func(int, *fasthttp.RequestHeader) string { return test.reply })
		if got := newTestClient(t, func() bool { return false }, nil).Cancel(context.Background(), balancer.Target{PeerAddress: address}, newAttempt(1).ID); got != test.want {
			t.Errorf("%s: outcome %s, want %s", name, got, test.want)
		}
	}
}

// Guards against newer rules that are not fetched although a response of a peer names their revision, and against nodes that send
// each other whole rules, which takes their links from requests, while a control process keeps them up to date.
func TestNewerRevisionIsFetched(t *testing.T) {
	const rules = "HTTP/1.1 200 OK\r\nPollenhill-Revision: 9\r\nContent-Length: 5\r\n\r\nrules"
	for name, confirmedChecks := range map[string]int32{"no control process": 0, "control process until later": 3} {
		t.Run(name, func(t *testing.T) {
			var checks atomic.Int32
			address := startFakeNode(t, func(_ int, h *fasthttp.RequestHeader) string {
				if strings.HasPrefix(string(h.RequestURI()), "/rules?after=5") {
					if n := checks.Load(); n <= confirmedChecks {
						t.Errorf("fetched after %d checks", n)
					}
					return rules
				}
				return strings.Replace(answeredResponse, "Content-Length", "Pollenhill-Revision: 9\r\nContent-Length", 1)
			})
			got := make(chan string, 1)
			c := newTestClient(t, func() bool { return checks.Add(1) <= confirmedChecks }, func(revision uint64, text string) {
				if revision == 9 {
					got <- text
				}
			})
			c.Send(context.Background(), balancer.Target{PeerAddress: address}, newAttempt(1), newRequest())
			if text := <-got; text != "rules" {
				t.Errorf("rules %q, want rules", text)
			}
		})
	}
}
