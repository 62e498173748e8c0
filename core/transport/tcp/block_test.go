package tcp_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/transport/tcp"
)

// Guards against header blocks that two HTTP parsers read differently.
func TestCheckBlock(t *testing.T) {
	tests := map[string]struct {
		block string
		want  error
	}{
		"plain":                 {"Host: a\r\nContent-Length: 5\r\n\r\n", nil},
		"chunked":               {"Transfer-Encoding: chunked\r\n\r\n", nil},
		"empty":                 {"\r\n", nil},
		"folded":                {"Host: a\r\n b\r\n\r\n", tcp.ErrFold},
		"space before colon":    {"Content-Length : 5\r\n\r\n", tcp.ErrName},
		"no colon":              {"Host\r\n\r\n", tcp.ErrName},
		"empty name":            {": a\r\n\r\n", tcp.ErrName},
		"bare line feed":        {"Host: a\nX: b\r\n\r\n", tcp.ErrValue},
		"bare carriage return":  {"Host: a\rX: b\r\n\r\n", tcp.ErrValue},
		"control character":     {"Host: a\x00\r\n\r\n", tcp.ErrValue},
		"no final line ending":  {"Host: a", tcp.ErrEnding},
		"same length twice":     {"Content-Length: 5\r\nContent-Length: 5\r\n\r\n", tcp.ErrLength},
		"list of lengths":       {"Content-Length: 5, 5\r\n\r\n", tcp.ErrLength},
		"signed length":         {"Content-Length: +5\r\n\r\n", tcp.ErrLength},
		"hexadecimal length":    {"Content-Length: 0x5\r\n\r\n", tcp.ErrLength},
		"overflowing length":    {"Content-Length: 99999999999999999999\r\n\r\n", tcp.ErrLength},
		"length and chunks":     {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", tcp.ErrFraming},
		"other coding":          {"Transfer-Encoding: gzip, chunked\r\n\r\n", tcp.ErrTransfer},
		"unknown coding":        {"Transfer-Encoding: xchunked\r\n\r\n", tcp.ErrTransfer},
		"chunked twice":         {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", tcp.ErrTransfer},
		"vertical tab in value": {"Transfer-Encoding: \x0bchunked\r\n\r\n", tcp.ErrValue},
	}
	for name, test := range tests {
		if err := tcp.CheckBlock([]byte(test.block)); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
	}
}
