package tcp

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
)

// Errors of headers that are refused. ErrHeaderTooLarge, ErrNotHTTP and ErrStatusLine are found while a header is read, the others by
// ValidateHeaderBlock.
var (
	ErrFoldedLine         = errors.New("header line is folded")
	ErrHeaderName         = errors.New("header name is not a token")
	ErrHeaderValue        = errors.New("header value contains a control character")
	ErrLineEnding         = errors.New("header line does not end in CRLF")
	ErrContentLength      = errors.New("content-length is repeated or not a number")
	ErrTransferEncoding   = errors.New("transfer-encoding is not exactly chunked")
	ErrConflictingFraming = errors.New("content-length and transfer-encoding are both present")
	ErrHeaderTooLarge     = errors.New("header is too large")
	ErrNotHTTP            = errors.New("not an HTTP/1 response")
	ErrStatusLine         = errors.New("malformed status line")
)

var (
	responsePrefix   = []byte("HTTP/1.")
	crlf             = []byte("\r\n")
	blockEnd         = []byte("\r\n\r\n")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

// MaxContentLengthDigits is the longest accepted Content-Length, in digits; a longer one could overflow an int64.
const MaxContentLengthDigits = 18

// peekHeaderBlock returns the next header block without its status line and consumes nothing.
func peekHeaderBlock(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		b, _ := r.Peek(r.Buffered())
		// A faulty peer may send something else without end, so the first bytes are checked at once.
		if n := min(len(b), len(responsePrefix)); !bytes.Equal(b[:n], responsePrefix[:n]) {
			return nil, ErrNotHTTP
		}
		if end := bytes.Index(b, blockEnd); end >= 0 {
			start := bytes.Index(b, crlf)
			if !isStatusLine(b[:start]) {
				return nil, ErrStatusLine
			}
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

// isStatusLine reports whether line is a status line of RFC 9112, section 4, of HTTP/1.0 or HTTP/1.1; the reason may be missing
// with its space. A line with a bare line feed would end the header for some parsers. The status is between 100 and 599: clients
// do not know what another one promises.
func isStatusLine(line []byte) bool {
	rest, ok := bytes.CutPrefix(line, responsePrefix)
	if !ok || len(rest) < len("1 200") || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' {
		return false
	}
	code, reason := rest[2:5], rest[5:]
	if code[0] < '1' || code[0] > '5' || !isNumber(code) {
		return false
	}
	hasControl := bytes.ContainsFunc(reason, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
	return (len(reason) == 0 || reason[0] == ' ') && !hasControl
}

// ValidateHeaderBlock returns an error if block has a header line that two HTTP parsers could read differently, which
// would allow request or response smuggling. block starts after the request or status line.
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
		name, value, err := parseHeaderLine(line)
		if err != nil {
			return err
		}
		switch {
		case bytes.EqualFold(name, contentLength):
			lengths++
			if !isContentLength(value) {
				return ErrContentLength
			}
		case bytes.EqualFold(name, transferEncoding):
			transfers++
			if !bytes.EqualFold(value, chunked) {
				return ErrTransferEncoding
			}
		}
	}
	return checkFraming(lengths, transfers)
}

// checkFraming returns an error if the numbers of Content-Length and Transfer-Encoding lines make the length of the body
// ambiguous.
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

func parseHeaderLine(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, ErrFoldedLine
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, nil, ErrHeaderName
	}
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, nil, ErrHeaderValue
		}
	}
	return name, bytes.Trim(value, " \t"), nil
}

// isToken reports whether b is a token of RFC 9110, section 5.6.2.
func isToken(b []byte) bool {
	for _, c := range b {
		alnum := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !alnum && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

func isContentLength(b []byte) bool {
	return isNumber(b) && len(b) <= MaxContentLengthDigits
}

func isNumber(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}
