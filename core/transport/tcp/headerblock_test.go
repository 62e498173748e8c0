package tcp_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/transport/tcp"
)

// Guards against accepting header blocks that two HTTP parsers could read differently, as in request smuggling.
func TestValidateHeaderBlock(t *testing.T) {
	tests := map[string]struct {
		block string
		want  error
	}{
		"plain":                 {"Host: a\r\nContent-Length: 5\r\n\r\n", nil},
		"chunked":               {"Transfer-Encoding: chunked\r\n\r\n", nil},
		"empty":                 {"\r\n", nil},
		"folded":                {"Host: a\r\n b\r\n\r\n", tcp.ErrFoldedLine},
		"space before colon":    {"Content-Length : 5\r\n\r\n", tcp.ErrHeaderName},
		"no colon":              {"Host\r\n\r\n", tcp.ErrHeaderName},
		"empty name":            {": a\r\n\r\n", tcp.ErrHeaderName},
		"bare line feed":        {"Host: a\nX: b\r\n\r\n", tcp.ErrHeaderValue},
		"bare carriage return":  {"Host: a\rX: b\r\n\r\n", tcp.ErrHeaderValue},
		"control character":     {"Host: a\x00\r\n\r\n", tcp.ErrHeaderValue},
		"no final line ending":  {"Host: a", tcp.ErrLineEnding},
		"same length twice":     {"Content-Length: 5\r\nContent-Length: 5\r\n\r\n", tcp.ErrContentLength},
		"list of lengths":       {"Content-Length: 5, 5\r\n\r\n", tcp.ErrContentLength},
		"signed length":         {"Content-Length: +5\r\n\r\n", tcp.ErrContentLength},
		"hexadecimal length":    {"Content-Length: 0x5\r\n\r\n", tcp.ErrContentLength},
		"overflowing length":    {"Content-Length: 99999999999999999999\r\n\r\n", tcp.ErrContentLength},
		"length and chunks":     {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", tcp.ErrConflictingFraming},
		"other coding":          {"Transfer-Encoding: gzip, chunked\r\n\r\n", tcp.ErrTransferEncoding},
		"unknown coding":        {"Transfer-Encoding: xchunked\r\n\r\n", tcp.ErrTransferEncoding},
		"chunked twice":         {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", tcp.ErrTransferEncoding},
		"vertical tab in value": {"Transfer-Encoding: \x0bchunked\r\n\r\n", tcp.ErrHeaderValue},
	}
	for name, test := range tests {
		if err := tcp.ValidateHeaderBlock([]byte(test.block)); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
	}
}
