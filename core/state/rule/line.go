package rule

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// word is a token of a line; at is its byte offset in the line.
type word struct {
	text string
	at   int
}

// line is one line of a rule file without its line ending.
type line struct {
	no      int
	text    string
	words   []word
	comment int // byte offset of '#', or -1
	broken  bool
}

// splitLines cuts text after every newline, so that joining the parts gives text again.
func splitLines(text string) []string {
	parts := strings.SplitAfter(text, "\n")
	if parts[len(parts)-1] == "" {
		parts = parts[:len(parts)-1]
	}
	return parts
}

func newLine(no int, raw string) line {
	text := strings.TrimSuffix(strings.TrimSuffix(raw, "\n"), "\r")
	l := line{no: no, text: text, comment: strings.IndexByte(text, '#')}
	rules := text
	if l.comment >= 0 {
		rules = text[:l.comment]
	}
	start := -1
	for i := 0; i <= len(rules); i++ {
		blank := i == len(rules) || rules[i] == ' ' || rules[i] == '\t'
		if blank && start >= 0 {
			l.words = append(l.words, word{text: rules[start:i], at: start})
			start = -1
		} else if !blank && start < 0 {
			start = i
		}
	}
	return l
}

// column converts a byte offset into the column that an editor shows.
func (l line) column(at int) int {
	return utf8.RuneCountInString(l.text[:at]) + 1
}

// end returns the byte offset after the last word.
func (l line) end() int {
	if len(l.words) == 0 {
		return 0
	}
	last := l.words[len(l.words)-1]
	return last.at + len(last.text)
}

// with returns the line with the word w replaced.
func (l line) with(w word, text string) string {
	return l.text[:w.at] + text + l.text[w.at+len(w.text):]
}

// without returns the line without the word w.
func (l line) without(w word) string {
	return strings.TrimRight(l.text[:w.at], " \t") + l.text[w.at+len(w.text):]
}

// plus returns the line with text added after its last word.
func (l line) plus(text string) string {
	return l.text[:l.end()] + " " + text + l.text[l.end():]
}

// who returns the two parts of the comment "who: why", trimmed.
func (l line) who() (who, why string, ok bool) {
	if l.comment < 0 {
		return "", "", false
	}
	who, why, ok = strings.Cut(l.text[l.comment+1:], ":")
	who, why = strings.TrimSpace(who), strings.TrimSpace(why)
	return who, why, ok && who != "" && why != ""
}

// forbidden returns the offset of the first character that no line may contain, or -1.
// Bidirectional overrides are forbidden because they can make a rule read as a comment.
func forbidden(text string) int {
	return strings.IndexFunc(text, func(r rune) bool {
		if r == '\t' {
			return false
		}
		return unicode.IsControl(r) || r >= '\u202a' && r <= '\u202e' || r >= '\u2066' && r <= '\u2069' ||
			r == '\u2028' || r == '\u2029'
	})
}
