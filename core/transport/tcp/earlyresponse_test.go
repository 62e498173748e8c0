package tcp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/tcp"
)

// Guards against an answer that is lost because the peer sends it before it has read a long body, and against a connection on
// which the rest of that body stands where the next request is due.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	const length = 32 << 20 // more than the buffers of a connection take
	body := []byte(strings.Repeat("b", length))
	finished := make(chan struct{})
	defer close(finished)
	for name, test := range map[string]struct {
		answer string
		after  func(t *testing.T, r *bufio.Reader) // what the peer does after its answer
	}{
		"and never read": {"HTTP/1.1 503 Busy\r\nX-Refused: 1\r\nContent-Length: 4\r\n\r\nbusy", func(*testing.T, *bufio.Reader) {
			<-finished
		}},
		"and read later": {"HTTP/1.1 503 Busy\r\nX-Refused: 1\r\nContent-Length: 4\r\n\r\nbusy", func(t *testing.T, r *bufio.Reader) {
			rest, _ := io.ReadAll(r)
			if got := strings.Trim(string(rest), "b"); got != "" || len(rest) > length {
				t.Errorf("%d bytes follow the header, with others than those of the body: %.60q", len(rest), got)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			served := make(chan struct{}, 10)
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { c.Close(); served <- struct{}{} }()
						r := bufio.NewReader(c)
						var h fasthttp.RequestHeader
						if h.Read(r) != nil {
							return
						}
						if h.IsGet() {
							_, _ = io.WriteString(c, completeResponse)
							return
						}
						_, _ = io.WriteString(c, test.answer)
						test.after(t, r)
					}()
				}
			}()
			p := tcp.NewPool(tcp.PoolConfig{
				Address: netip.MustParseAddrPort(ln.Addr().String()), Dialer: tcp.Dialer{Timeout: hangTimeout}, MaxConnections: 1, IdleTimeout: time.Minute,
			})
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
			defer cancel()
			h := newHeader("POST")
			h.SetContentLength(length)
			resp, err := p.Exchange(ctx, h, body)
			if err != nil {
				t.Fatal(err)
			}
			if text, err := io.ReadAll(resp.Body); err != nil || resp.Header.StatusCode() != http.StatusServiceUnavailable || string(text) != "busy" {
				t.Errorf("status %d, body %q, error %v", resp.Header.StatusCode(), text, err)
			}
			resp, err = p.Exchange(ctx, newHeader("GET"), nil)
			if err != nil {
				t.Fatal(err)
			}
			if text, err := io.ReadAll(resp.Body); err != nil || string(text) != "hello" {
				t.Errorf("next response %q, error %v", text, err)
			}
			if name == "and read later" {
				<-served
			}
		})
	}
}

// Guards against a connection that is closed after every large body although the peer has read it all.
func TestConnectionIsReusedAfterLargeBody(t *testing.T) {
	testPlainAndTLS(t, testConnectionIsReusedAfterLargeBody)
}

func testConnectionIsReusedAfterLargeBody(t *testing.T, creds *mtls.Credentials) {
	s := startServer(t, creds, func(int, int) (string, bool) { return completeResponse, true })
	p := newPool(t, s, 1)
	body := []byte(strings.Repeat("b", 300_000))
	for range 20 {
		h := newHeader("POST")
		h.SetContentLength(len(body))
		resp, err := p.Exchange(t.Context(), h, body)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(resp.Body); err != nil || string(text) != "hello" {
			t.Fatalf("response %q, error %v", text, err)
		}
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections for 20 requests, want 1", n)
	}
}

// Guards against a body without a length that looks whole although the peer reset the connection while a long request body was
// being written: the write was told of the reset, and the read saw a plain end. A peer that ends its stream and closes later
// has sent it whole.
func TestResetEndsNoBody(t *testing.T) {
	const tries = 100 // the read and the write race for the error
	body := []byte(strings.Repeat("b", 1<<20))
	for name, test := range map[string]struct {
		end   func(c *net.TCPConn)
		whole bool
	}{
		"reset":                {func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		"closed unread":        {func(*net.TCPConn) {}, false},
		"ended, then closed":   {func(c *net.TCPConn) { _ = c.CloseWrite() }, true},
		"ended, then read out": {func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					_, _ = c.Read(make([]byte, 100))
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhello")
					test.end(c.(*net.TCPConn))
					c.Close()
				}
			}()
			p := tcp.NewPool(tcp.PoolConfig{
				Address: netip.MustParseAddrPort(ln.Addr().String()), Dialer: tcp.Dialer{Timeout: hangTimeout}, MaxConnections: 1,
				IdleTimeout: time.Minute, AllowCloseDelimited: true,
			})
			defer p.Close()
			whole := 0
			for range tries {
				h := newHeader("POST")
				h.SetContentLength(len(body))
				resp, err := p.Exchange(t.Context(), h, body)
				if err != nil {
					continue
				}
				if text, err := io.ReadAll(resp.Body); err == nil && string(text) == "hello" {
					whole++
				}
			}
			if want := map[bool]int{true: tries}[test.whole]; whole != want {
				t.Errorf("%d of %d responses look whole, want %d", whole, tries, want)
			}
		})
	}
}
