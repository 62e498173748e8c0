package rule

import (
	"fmt"
	"strconv"
	"strings"
)

// escape encodes any text as one word: bytes that end a word, separate options or begin a comment become %XX.
func escape(text string) string {
	var b strings.Builder
	for i := range len(text) {
		c := text[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("#%=,", c) >= 0 {
			fmt.Fprintf(&b, "%%%02X", c)
			continue
		}
		b.WriteByte(c)
	}
	return b.String()
}

// unescape decodes a word that escape returned; a percent sign without two hexadecimal digits stands for itself.
func unescape(word string) string {
	if !strings.Contains(word, "%") {
		return word
	}
	var b strings.Builder
	for i := 0; i < len(word); i++ {
		if word[i] == '%' && i+2 < len(word) {
			if n, err := strconv.ParseUint(word[i+1:i+3], 16, 8); err == nil {
				b.WriteByte(byte(n))
				i += 2
				continue
			}
		}
		b.WriteByte(word[i])
	}
	return b.String()
}
