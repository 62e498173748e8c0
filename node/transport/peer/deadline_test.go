package peer_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Guards against a back end that is handed more time than the caller has left, because the deadline of an attempt was counted
// from the end of its body.
func TestDeadlineCountsFromHeader(t *testing.T) {
	_, d, address := startPeerServer(t, nil)
	c, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var h fasthttp.RequestHeader
	newRequest().Header.CopyTo(&h)
	h.SetContentLength(4)
	h.Set("Expect", "100-continue")
	a := newAttempt(1)
	a.Route, a.Objective = "r", 5*time.Second
	sent := time.Now()
	a.Deadline = sent.Add(10 * time.Second)
	a.Write(&h, sent)
	if _, err := c.Write(h.Header()); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusContinue {
		t.Fatalf("%v, %v", resp, err)
	}
	asked := time.Now()
	fmt.Fprint(c, "body")
	if got := <-d.attempts; got.Deadline.After(asked.Add(10*time.Second)) || got.Objective >= 5*time.Second {
		t.Errorf("deadline %v after the header, objective %v", got.Deadline.Sub(asked), got.Objective)
	}
}
