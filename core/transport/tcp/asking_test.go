package tcp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/transport/tcp"
)

// Guards against a body that is sent although the peer refuses the request by its header, whose bytes then stand where the
// next request is due, and against an outcome that the exchange does not prove.
func TestExchangeAskingSendsBodyOnlyAfterContinue(t *testing.T) {
	body := strings.Repeat("b", 100_000)
	tests := map[string]struct {
		first    string // what the server writes after the header
		second   string // what it writes after the body; empty: it expects no body
		status   int    // 0: the exchange fails
		wroteAny bool
		reuse    bool
	}{
		"continue":              {"HTTP/1.1 100 Continue\r\n\r\n", completeResponse, 200, true, true},
		"another interim first": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n", completeResponse, 200, true, true},
		"refused":               {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "", 503, false, false},
		"refused, with a body":  {"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy", "", 503, false, false},
		"closed before it asks": {"", "", 0, false, false},
		"closed after the body": {"HTTP/1.1 100 Continue\r\n\r\n", "close", 0, true, false},
		"only interim ones":     {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20), "", 0, false, false},
		"impossible status":     {"HTTP/1.1 000 x\r\n\r\n", "", 0, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			rest := make(chan string, 1) // what arrives after a response that asks for no body
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				r := bufio.NewReader(c)
				var h fasthttp.RequestHeader
				if h.Read(r) != nil || string(h.Peek("Expect")) != "100-continue" {
					rest <- "no header that asks"
					return
				}
				_, _ = io.WriteString(c, test.first)
				if test.second == "" {
					if test.first != "" {
						b, _ := io.ReadAll(r)
						rest <- string(b)
					}
					return
				}
				got := make([]byte, len(body))
				if _, err := io.ReadFull(r, got); err != nil || string(got) != body || test.second == "close" {
					return
				}
				_, _ = io.WriteString(c, test.second)
				_, _ = io.ReadAll(r)
			}()
			p := tcp.NewPool(tcp.PoolConfig{
				Address: netip.MustParseAddrPort(ln.Addr().String()), Dialer: tcp.Dialer{Timeout: hangTimeout}, MaxConnections: 1, IdleTimeout: time.Minute,
			})
			defer p.Close()
			h := newHeader("POST")
			h.SetContentLength(len(body))
			ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
			defer cancel()
			resp, err := p.ExchangeAsking(ctx, h, []byte(body))
			var failed *tcp.Error
			switch {
			case test.status == 0 && (!errors.As(err, &failed) || failed.WroteAny != test.wroteAny):
				t.Fatalf("error %v, want one with WroteAny %v", err, test.wroteAny)
			case test.status != 0 && err != nil:
				t.Fatal(err)
			case test.status != 0:
				if _, err := io.ReadAll(resp.Body); err != nil || resp.Header.StatusCode() != test.status {
					t.Fatalf("status %d, body error %v", resp.Header.StatusCode(), err)
				}
			}
			if used, idle := p.ConnectionCounts(); used != 0 || (idle == 1) != test.reuse {
				t.Errorf("%d connections in use and %d idle, want reuse %v", used, idle, test.reuse)
			}
			if test.second == "" && test.first != "" {
				if got := <-rest; got != "" {
					t.Errorf("%d bytes were sent to a peer that did not ask", len(got))
				}
			}
		})
	}
}
