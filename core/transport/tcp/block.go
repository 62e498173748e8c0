package tcp

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
)

// Reasons for which CheckBlock refuses a header block.
var (
	ErrFold     = errors.New("header line is folded")
	ErrName     = errors.New("header name is not a token")
	ErrValue    = errors.New("header value holds a control character")
	ErrEnding   = errors.New("header line does not end in CRLF")
	ErrLength   = errors.New("content-length is repeated or not a number")
	ErrTransfer = errors.New("transfer-encoding is not exactly chunked")
	ErrFraming  = errors.New("content-length and transfer-encoding are both present")
	ErrHeader   = errors.New("header is too large")
	ErrProtocol = errors.New("bytes are no HTTP/1 response")
)

var (
	protocol = []byte("HTTP/1.")
	crlf     = []byte("\r\n")
	blockEnd = []byte("\r\n\r\n")
	length   = []byte("Content-Length")
	transfer = []byte("Transfer-Encoding")
	chunked  = []byte("chunked")
)

// peekBlock returns the next header block without its first line, unread.
func peekBlock(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		b, _ := r.Peek(r.Buffered())
		// Bytes that are no response may come without end.
		if known := min(len(b), len(protocol)); !bytes.Equal(b[:known], protocol[:known]) {
			return nil, ErrProtocol
		}
		if end := bytes.Index(b, blockEnd); end >= 0 {
			start := bytes.Index(b, crlf)
			return b[start+len(crlf) : end+len(blockEnd)], nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, ErrHeader
		}
		if err != nil {
			return nil, err
		}
	}
}

// CheckBlock refuses header lines that two HTTP parsers could read differently; block has no first line.
func CheckBlock(block []byte) error {
	lengths, transfers := 0, 0
	for len(block) > 0 {
		line, rest, found := bytes.Cut(block, crlf)
		if !found {
			return ErrEnding
		}
		block = rest
		if len(line) == 0 {
			break
		}
		name, value, err := splitLine(line)
		if err != nil {
			return err
		}
		switch {
		case bytes.EqualFold(name, length):
			lengths++
			if !digits(value) {
				return ErrLength
			}
		case bytes.EqualFold(name, transfer):
			transfers++
			if !bytes.EqualFold(value, chunked) {
				return ErrTransfer
			}
		}
	}
	return checkFraming(lengths, transfers)
}

func checkFraming(lengths, transfers int) error {
	switch {
	case lengths > 1:
		return ErrLength
	case transfers > 1:
		return ErrTransfer
	case lengths+transfers > 1:
		return ErrFraming
	}
	return nil
}

func splitLine(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, ErrFold
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !token(name) {
		return nil, nil, ErrName
	}
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, nil, ErrValue
		}
	}
	return name, bytes.Trim(value, " \t"), nil
}

func token(b []byte) bool {
	for _, c := range b {
		alnum := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !alnum && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// MaxLengthDigits keeps a Content-Length within an int64.
const MaxLengthDigits = 18

func digits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0 && len(b) <= MaxLengthDigits
}
