package program_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startPair starts an entry node without a back end and a destination node beside f, and waits until requests pass.
func startPair(t testing.TB, ctl *fakeControl, f *fakeBackend, issuers ...tlsIssuer) (entry, destination *testNode) {
	t.Helper()
	entry = startNode(t, ctl, testSettings(t, "entry", issuers...))
	destination = startNode(t, ctl, testSettings(t, "destination", issuers...))
	destination.keepAnnounced(t, f, "desk-1")
	eventually(t, "entry node answers", func() bool {
		resp := sendRequest(t, entry, "GET", "/warm", "", nil)
		return resp.StatusCode == http.StatusOK
	})
	return entry, destination
}

// callerTransport sends the requests of tests. It is not http.DefaultTransport, since httptest.Server.Close at the end of a
// parallel test closes the idle connections of that one, even a connection that has just been taken for a request.
var callerTransport = http.DefaultTransport.(*http.Transport).Clone()

// response is an HTTP response with its body.
type response struct {
	*http.Response
	body string
	err  error // from reading the body
}

// sendRequest sends a request for the service desk to the caller listener of node.
func sendRequest(t testing.TB, node *testNode, method, path, body string, header map[string]string) response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+node.settings.CallerAddress.String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "desk.example"
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := callerTransport.RoundTrip(req)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{Response: resp, body: string(raw), err: err}
}

// Guards against requests or responses that lose, change or gain a part between caller and back end.
func TestRequestPassesThroughTwoNodes(t *testing.T) {
	withAndWithoutTLS(t, requestPassesThroughTwoNodes)
}

func requestPassesThroughTwoNodes(t *testing.T, issuer tlsIssuer) {
	f := newFakeBackend(t, nil)
	entry, destination := startPair(t, newFakeControl(), f, issuer)
	for _, node := range []*testNode{entry, destination} {
		resp := sendRequest(t, node, "POST", "/reserve/7?boat=3", "two oars", map[string]string{"X-Club": "Bygdøy", "Connection": "X-Hop", "X-Hop": "1"})
		if resp.StatusCode != http.StatusOK || resp.body != "echo two oars" || resp.err != nil {
			t.Fatalf("%s: %d %q %v", node.settings.Name, resp.StatusCode, resp.body, resp.err)
		}
		if got := resp.Header.Get("X-Echo"); got != "POST /reserve/7?boat=3" {
			t.Errorf("back end saw %q", got)
		}
		if got := resp.Header.Get("Pollenhill-Outcome"); got != "answered" {
			t.Errorf("outcome %q", got)
		}
		for name := range resp.Header {
			if strings.HasPrefix(name, "Pollenhill-") && name != "Pollenhill-Outcome" {
				t.Errorf("%s reached the caller", name)
			}
		}
	}
	if got := f.runCount("POST /reserve/7"); got != 2 {
		t.Errorf("%d runs, want 2", got)
	}
}

// Guards against a pipelined request that starts only after the response to the request before it, and against responses that
// come in another order than their requests.
func TestRequestBehindAnotherIsStartedAtOnce(t *testing.T) {
	first := make(chan struct{})
	f := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/first":
			<-first
		case "/second":
			close(first)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	entry, _ := startPair(t, newFakeControl(), f)
	c, err := net.Dial("tcp", entry.settings.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	const host = " HTTP/1.1\r\nHost: desk.example\r\n\r\n"
	if _, err := io.WriteString(c, "GET /first"+host+"GET /second"+host); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	for _, want := range []string{"/first", "/second"} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != want {
			t.Errorf("body %q, error %v, want %q", body, err, want)
		}
	}
}
