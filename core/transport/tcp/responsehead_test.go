package tcp_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"pollenhill.example/core/transport/tcp"
)

// exchangeWith sends a request to a server that answers with raw and closes, and returns the response with its body read, or
// nil if any step failed.
func exchangeWith(t testing.TB, raw []byte) (*tcp.Response, []byte) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = c.Write(raw)
		}
	}()
	p := tcp.NewPool(tcp.PoolConfig{
		Address: netip.MustParseAddrPort(ln.Addr().String()), Dialer: tcp.Dialer{Timeout: 5 * time.Second},
		MaxConnections: 1, IdleTimeout: time.Minute, EchoHeader: "X-Id", AllowCloseDelimited: true,
	})
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Exchange(ctx, newHeader("GET"), nil)
	if err != nil {
		return nil, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil
	}
	return resp, body
}

// Guards against a back end that stops in the middle of its response head and closes: callers got a 200 with an empty or short
// body, framed as whole.
func TestCutHeadIsNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Seal: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\n",
	} {
		for n := range len(head) {
			if resp, body := exchangeWith(t, []byte(head[:n])); resp != nil {
				t.Errorf("%q: status %d, body %q", head[:n], resp.Header.StatusCode(), body)
			}
		}
	}
}

// Guards against a head that ends for one parser before it ends for the other: the rest of it became the body.
func TestAmbiguousHeadIsNoResponse(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\n\nbody\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\nbody",
		"HTTP/1.1 200 OK\n\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 O\x00K\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 -20 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.12 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1\r\n\r\n",
	} {
		if resp, body := exchangeWith(t, []byte(raw)); resp != nil {
			t.Errorf("%q: status %d, body %q", raw, resp.Header.StatusCode(), body)
		}
	}
}

// Guards against a status outside 100 to 599 that callers get as an answer, or that is skipped as an interim response, so that
// the next bytes are read as the answer.
func TestImpossibleStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "1e2", "+20", "0200", "2OO", "٢٠٠"} {
		for _, raw := range []string{
			"HTTP/1.1 " + status + " x\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + " x\r\nContent-Length: 4\r\n\r\nbody",
		} {
			if resp, body := exchangeWith(t, []byte(raw)); resp != nil {
				t.Errorf("%q: status %d, body %q", raw, resp.Header.StatusCode(), body)
			}
		}
	}
	for _, status := range []string{"200", "299", "404", "599"} {
		raw := "HTTP/1.1 " + status + " x\r\nContent-Length: 0\r\n\r\n"
		if resp, _ := exchangeWith(t, []byte(raw)); resp == nil {
			t.Errorf("%q is no response", raw)
		}
	}
	for _, interim := range []string{"100", "102", "199"} {
		raw := "HTTP/1.1 " + interim + " x\r\n\r\nHTTP/1.1 204 x\r\n\r\n"
		if resp, _ := exchangeWith(t, []byte(raw)); resp == nil || resp.Header.StatusCode() != http.StatusNoContent {
			t.Errorf("%q: the final response is not found", raw)
		}
		if resp, _ := exchangeWith(t, []byte("HTTP/1.1 "+interim+" x\r\nContent-Length: 0\r\n\r\n")); resp != nil {
			t.Errorf("status %s alone is an answer", interim)
		}
	}
}

// FuzzResponseHead guards against bytes that this client reads as another response than a strict parser does.
func FuzzResponseHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nbody",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\n\nbody\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nbody",
		"HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 600 x\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 999 x\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 199 x\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		resp, body := exchangeWith(t, raw)
		if resp == nil {
			return
		}
		if code := resp.Header.StatusCode(); code < 200 || code > 599 {
			t.Fatalf("%q: status %d is a final response", raw, code)
		}
		r := bufio.NewReader(bytes.NewReader(raw))
		for {
			want, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("%q: status %d, but a strict parser says %v", raw, resp.Header.StatusCode(), err)
			}
			wantBody, err := io.ReadAll(want.Body)
			if want.StatusCode < http.StatusOK {
				continue
			}
			if err != nil || want.StatusCode != resp.Header.StatusCode() || !bytes.Equal(body, wantBody) {
				t.Fatalf("%q: status %d, body %q; a strict parser reads %d, %q, %v", raw, resp.Header.StatusCode(), body, want.StatusCode, wantBody, err)
			}
			return
		}
	})
}
