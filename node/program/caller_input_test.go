package program_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pollenhill.example/core/state/settings"
)

// sendRaw sends text to the caller listener of node, closes the write side if halfClose is set, and reads one response. It
// returns nil if the connection ends without a response.
func sendRaw(t *testing.T, node *testNode, text string, halfClose bool) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", node.settings.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	if halfClose {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil
	}
	_, _ = io.ReadAll(resp.Body)
	return resp
}

// Guards against invalid requests that reach a back end: those that HTTP parsers read in different ways, as in request
// smuggling, and those that exceed a limit.
func TestBadInputNeverReachesTheBackend(t *testing.T) {
	const host = "Host: desk.example\r\n"
	tests := map[string]struct {
		text      string
		halfClose bool // the caller closes the write side after the text
		status    int  // 0: any refusal, or no response
	}{
		"length and chunks":          {"POST /x HTTP/1.1\r\n" + host + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, 400},
		"chunks and length":          {"POST /x HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", false, 400},
		"two lengths":                {"POST /x HTTP/1.1\r\n" + host + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", false, 400},
		"same length twice":          {"POST /x HTTP/1.1\r\n" + host + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", false, 400},
		"list of lengths":            {"POST /x HTTP/1.1\r\n" + host + "Content-Length: 5, 5\r\n\r\nhello", false, 400},
		"negative length":            {"POST /x HTTP/1.1\r\n" + host + "Content-Length: -5\r\n\r\nhello", false, 400},
		"signed length":              {"POST /x HTTP/1.1\r\n" + host + "Content-Length: +5\r\n\r\nhello", false, 400},
		"space before colon":         {"POST /x HTTP/1.1\r\n" + host + "Content-Length : 5\r\n\r\nhello", false, 400},
		"folded header":              {"POST /x HTTP/1.1\r\n" + host + "X-A: 1\r\n Content-Length: 5\r\n\r\nhello", false, 400},
		"folded first header":        {"POST /x HTTP/1.1\r\n X: 1\r\n" + host + "\r\n", false, 400},
		"unknown coding":             {"POST /x HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", false, 400},
		"chunked twice":              {"POST /x HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, 400},
		"obfuscated coding":          {"POST /x HTTP/1.1\r\n" + host + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n", false, 400},
		"bad chunk size":             {"POST /x HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", false, 400},
		"negative chunk size":        {"POST /x HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n", false, 400},
		"overflowing chunk size":     {"POST /x HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffffff\r\nhello\r\n0\r\n\r\n", false, 400},
		"chunk longer than its size": {"POST /x HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n0\r\n\r\n", false, 400},
		"chunks truncated":           {"POST /x HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true, 0},
		"body truncated":             {"POST /x HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\nhello", true, 0},
		"header truncated":           {"POST /x HTTP/1.1\r\n" + host + "Content-Le", true, 0},
		"slow header":                {"POST /x HTTP/1.1\r\n" + host, false, 0},
		"slow body":                  {"POST /x HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\nhello", false, 0},
		"bare line feeds":            {"POST /x HTTP/1.1\nHost: desk.example\n\n", false, 400},
		"no host":                    {"POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n", false, 400},
		"two hosts":                  {"POST /x HTTP/1.1\r\n" + host + "Host: other.example\r\nContent-Length: 0\r\n\r\n", false, 400},
		"HTTP/1.0":                   {"POST /x HTTP/1.0\r\n" + host + "Content-Length: 0\r\n\r\n", false, 400},
		"HTTP/2 preface":             {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", false, 0},
		"bad method":                 {"PO ST /x HTTP/1.1\r\n" + host + "\r\n", false, 400},
		"control character":          {"POST /x HTTP/1.1\r\n" + host + "X-A: a\x00b\r\nContent-Length: 0\r\n\r\n", false, 400},
		"body of GET":                {"GET /x HTTP/1.1\r\n" + host + "Content-Length: 5\r\n\r\nhello", false, 400},
		"upgrade":                    {"GET /x HTTP/1.1\r\n" + host + "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n", false, 400},
		"connect":                    {"CONNECT desk.example:80 HTTP/1.1\r\n" + host + "\r\n", false, 400},
		"bad deadline":               {"POST /x HTTP/1.1\r\n" + host + "Pollenhill-Deadline: soon\r\nContent-Length: 0\r\n\r\n", false, 400},
		"two deadlines":              {"POST /x HTTP/1.1\r\n" + host + "Pollenhill-Deadline: 5\r\nPollenhill-Deadline: 6\r\nContent-Length: 0\r\n\r\n", false, 400},
		"bad timeout":                {"POST /x HTTP/1.1\r\n" + host + "Request-Timeout: NaN\r\nContent-Length: 0\r\n\r\n", false, 400},
		"long key":                   {"POST /x HTTP/1.1\r\n" + host + "Idempotency-Key: " + strings.Repeat("k", 300) + "\r\nContent-Length: 0\r\n\r\n", false, 400},
		"too deep":                   {"POST /x HTTP/1.1\r\n" + host + "Pollenhill-Depth: 26\r\nContent-Length: 0\r\n\r\n", false, 502},
		"deadline over":              {"POST /x HTTP/1.1\r\n" + host + "Pollenhill-Deadline: 0\r\nContent-Length: 0\r\n\r\n", false, 504},
		"no service":                 {"POST /x HTTP/1.1\r\nHost: unknown.example\r\nContent-Length: 0\r\n\r\n", false, 404},
		"large body":                 {"POST /x HTTP/1.1\r\n" + host + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("x", 20_000), false, 413},
		"large body announced":       {"POST /x HTTP/1.1\r\n" + host + "Expect: 100-continue\r\nContent-Length: 2000000\r\n\r\n", false, 413},
		"large chunked body":         {"POST /x HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", 5) + "0\r\n\r\n", false, 413},
		"large header":               {"POST /x HTTP/1.1\r\n" + host + "X-A: " + strings.Repeat("a", 20000) + "\r\nContent-Length: 0\r\n\r\n", false, 431},
		"many headers":               {"POST /x HTTP/1.1\r\n" + host + strings.Repeat("X-A: a\r\n", 5000) + "Content-Length: 0\r\n\r\n", false, 431},
		"smuggled second request":    {"POST /x HTTP/1.1\r\n" + host + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\nGET /smuggled HTTP/1.1\r\n" + host + "\r\n", false, 400},
		"request after bad length":   {"POST /x HTTP/1.1\r\n" + host + "Content-Length: 3, 3\r\n\r\nGET /smuggled HTTP/1.1\r\n" + host + "\r\n", false, 400},
	}
	f := newFakeBackend(t, nil)
	cfg := testSettings(t, "node")
	cfg.Limits.MaxBodyBytes = 10_000
	cfg.Limits.ReadTimeout = settings.Duration(500 * time.Millisecond)
	node := startNode(t, newFakeControl(), cfg)
	node.keepAnnounced(t, f, "desk-1")
	eventually(t, "node answers", func() bool { return sendRequest(t, node, "GET", "/warm", "", nil).StatusCode == 200 })
	before := f.totalRuns()
	t.Run("table", func(t *testing.T) {
		for name, test := range tests {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				resp := sendRaw(t, node, test.text, test.halfClose)
				switch {
				case resp == nil && test.status == 0:
				case resp == nil:
					t.Error("no response")
				case test.status != 0 && resp.StatusCode != test.status || resp.StatusCode < 400:
					t.Errorf("status %d, want %d", resp.StatusCode, test.status)
				case resp.Header.Get("Pollenhill-Outcome") != expectedOutcome(test.text) || resp.Header.Get("Proxy-Status") == "":
					t.Errorf("header %v", resp.Header)
				}
			})
		}
	})
	if got := f.totalRuns() - before; got != 0 {
		t.Errorf("%d bad requests reached the back end: %v", got, f.runs)
	}
}

// Guards against the refusal of unusual but valid requests.
func TestUnusualInputIsServed(t *testing.T) {
	tests := map[string]struct{ text, echo string }{
		"chunked body":     {"POST /x HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "POST /x"},
		"absolute target":  {"GET http://desk.example/y?z=1 HTTP/1.1\r\nHost: desk.example\r\n\r\n", "GET /y?z=1"},
		"expects continue": {"POST /x HTTP/1.1\r\nHost: desk.example\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc", "POST /x"},
		"escaped path":     {"GET /a%2Fb//c HTTP/1.1\r\nHost: desk.example:8080\r\n\r\n", "GET /a%2Fb//c"},
		"lower case names": {"POST /x HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 3\r\n\r\nabc", "POST /x"},
		"empty line first": {"\r\nGET /x HTTP/1.1\r\nHost: desk.example\r\n\r\n", "GET /x"},
	}
	f := newFakeBackend(t, nil)
	node := startNode(t, newFakeControl(), testSettings(t, "node"))
	node.keepAnnounced(t, f, "desk-1")
	eventually(t, "node answers", func() bool { return sendRequest(t, node, "GET", "/warm", "", nil).StatusCode == 200 })
	for name, test := range tests {
		resp := sendRaw(t, node, test.text, false)
		if resp != nil && resp.StatusCode == http.StatusContinue {
			continue // the final response follows this interim one
		}
		if resp == nil || resp.StatusCode != 200 || resp.Header.Get("X-Echo") != test.echo {
			t.Errorf("%s: %v", name, resp)
		}
	}
}

// expectedOutcome returns the outcome of a refused request. It is unknown for one with a key, since an earlier request with
// the key may have run.
func expectedOutcome(text string) string {
	if strings.Contains(text, "Idempotency-Key") {
		return "unknown"
	}
	return "not-run"
}
