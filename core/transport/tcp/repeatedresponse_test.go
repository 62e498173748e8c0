package tcp_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pollenhill.example/core/transport/tcp"
)

// Guards against an earlier refusal that a faulty back end writes once more on a kept connection: it was taken for the response
// to the next request, which then counted as not run although it was running.
func TestRepeatedRefusalIsNotTheNextResponse(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Busy\r\n" + id + "X-Refused: 1\r\nContent-Length: 0\r\n\r\n"
	}
	const answer = "HTTP/1.1 200 OK\r\nX-Id: second\r\nContent-Length: 2\r\n\r\nok"
	tests := map[string]struct {
		first    string // X-Id of the first request, empty for a health check
		repeated string
	}{
		"of a request":                   {"first", refusal("X-Id: first\r\n")},
		"of a request, without its ID":   {"first", refusal("")},
		"of a health check":              {"", refusal("")},
		"of a request, three times over": {"first", strings.Repeat(refusal("X-Id: first\r\n"), 3)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, nil, func(_, request int) (string, bool) {
				if request == 1 && tt.first == "" {
					return refusal(""), true
				}
				if request == 1 {
					return refusal("X-Id: first\r\n"), true
				}
				return tt.repeated + answer, true
			})
			p := tcp.NewPool(tcp.PoolConfig{
				Address: netip.MustParseAddrPort(s.ln.Addr().String()), Dialer: tcp.Dialer{Timeout: 5 * time.Second},
				MaxConnections: 1, IdleTimeout: time.Minute, EchoHeader: "X-Id",
			})
			t.Cleanup(p.Close)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			first := newHeader("GET")
			if tt.first != "" {
				first.Set("X-Id", tt.first)
			}
			if resp, err := p.Exchange(ctx, first, nil); err == nil {
				_ = resp.Body.Close()
			}
			second := newHeader("GET")
			second.Set("X-Id", "second")
			resp, err := p.Exchange(ctx, second, nil)
			if err != nil {
				return // unknown, which is true
			}
			defer resp.Body.Close()
			if resp.Header.StatusCode() != http.StatusOK {
				t.Errorf("status %d, want that of the own response", resp.Header.StatusCode())
			}
		})
	}
}
