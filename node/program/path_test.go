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

// pair starts an entry node without a back end and a destination node with one.
func pair(t testing.TB, g *group, f *fake, files ...issue) (entry, destination *vm) {
	t.Helper()
	entry = start(t, g, config(t, "entry", files...))
	destination = start(t, g, config(t, "destination", files...))
	destination.keep(t, f, "desk-1")
	eventually(t, "entry node answers", func() bool {
		resp := send(t, entry, "GET", "/warm", "", nil)
		return resp.StatusCode == http.StatusOK
	})
	return entry, destination
}

// callers carries the requests of tests. The default transport is not used: the end of any fake back end of a parallel
// test closes its idle connections, even one that has just been taken for a request.
var callers = http.DefaultTransport.(*http.Transport).Clone()

type answer struct {
	*http.Response
	body string
	err  error // of reading the body
}

func send(t testing.TB, v *vm, method, path, body string, header map[string]string) answer {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+v.settings.CallerAddress.String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "desk.example"
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := callers.RoundTrip(req)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{Response: resp, body: string(raw), err: err}
}

// Guards against a path from caller to back end that loses, changes or adds a part of the message.
func TestWholePath(t *testing.T) { transports(t, wholePath) }

func wholePath(t *testing.T, files issue) {
	f := newFake(t, nil)
	entry, destination := pair(t, newGroup(), f, files)
	for _, v := range []*vm{entry, destination} {
		resp := send(t, v, "POST", "/reserve/7?boat=3", "two oars", map[string]string{"X-Club": "Bygdøy", "Connection": "X-Hop", "X-Hop": "1"})
		if resp.StatusCode != http.StatusOK || resp.body != "echo two oars" || resp.err != nil {
			t.Fatalf("%s: %d %q %v", v.settings.Name, resp.StatusCode, resp.body, resp.err)
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
	if got := f.ran("POST /reserve/7"); got != 2 {
		t.Errorf("%d runs, want 2", got)
	}
}

// Guards against a request that waits for the answer to the one before it on its connection, and against answers that
// then come in another order.
func TestRequestBehindAnotherIsStartedAtOnce(t *testing.T) {
	first := make(chan struct{})
	f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/first":
			<-first
		case "/second":
			close(first)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	entry, _ := pair(t, newGroup(), f)
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
