package tcp

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
)

// Reasons for which CheckBlock refuses a header block.
var (
	ErrFoldedLine         = errors.New("header line is folded")
	ErrHeaderName         = errors.New("header name is not a token")
	ErrHeaderValue        = errors.New("header value holds a control character")
	ErrLineEnding         = errors.New("header line does not end in CRLF")
	ErrContentLength      = errors.New("content-length is repeated or not a number")
	ErrTransferEncoding   = errors.New("transfer-encoding is not exactly chunked")
	ErrConflictingFraming = errors.New("content-length and transfer-encoding are both present")
	ErrHeaderTooLarge     = errors.New("header is too large")
	ErrNotHTTP            = errors.New("bytes are no HTTP/1 response")
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
			return nil, ErrNotHTTP
		}
		if end := bytes.Index(b, blockEnd); end >= 0 {
			start := bytes.Index(b, crlf)
			return b[start+len(crlf) : end+len(blockEnd)], nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, ErrHeaderTooLarge
		}
		if err != nil {
			return nil, err
		}
	}
}

// ValidateHeaderBlock refuses header lines that two HTTP parsers could read differently; block has no first line.
func ValidateHeaderBlock(block []byte) error {
	lengths, transfers := 0, 0
	for len(block) > 0 {
		line, rest, found := bytes.Cut(block, crlf)
		if !found {
			return ErrLineEnding
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
				return ErrContentLength
			}
		case bytes.EqualFold(name, transfer):
			transfers++
			if !bytes.EqualFold(value, chunked) {
				return ErrTransferEncoding
			}
		}
	}
	return checkFraming(lengths, transfers)
}

func checkFraming(lengths, transfers int) error {
	switch {
	case lengths > 1:
		return ErrContentLength
	case transfers > 1:
		return ErrTransferEncoding
	case lengths+transfers > 1:
		return ErrConflictingFraming
	}
	return nil
}

func splitLine(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, ErrFoldedLine
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !token(name) {
		return nil, nil, ErrHeaderName
	}
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, nil, ErrHeaderValue
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

// MaxContentLengthDigits keeps a Content-Length within an int64.
const MaxContentLengthDigits = 18

func digits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0 && len(b) <= MaxContentLengthDigits
}
