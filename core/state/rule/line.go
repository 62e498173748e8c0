package rule

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// word is a token of a line.
type word struct {
	text   string
	offset int // in bytes from the start of the line
}

// line is one line of a rule file without its line ending.
type line struct {
	number     int // 1-based
	text       string
	words      []word
	comment    int  // byte offset of '#', or -1
	unreadable bool // contains characters outside of its comment that no line may contain
}

// splitLines splits text after every newline; joining the parts returns text.
func splitLines(text string) []string {
	parts := strings.SplitAfter(text, "\n")
	if parts[len(parts)-1] == "" {
		parts = parts[:len(parts)-1]
	}
	return parts
}

// parseLine splits a line into words and comment. A '#' begins a comment wherever it stands.
func parseLine(number int, raw string) line {
	text := strings.TrimSuffix(strings.TrimSuffix(raw, "\n"), "\r")
	l := line{number: number, text: text, comment: strings.IndexByte(text, '#')}
	statement := text
	if l.comment >= 0 {
		statement = text[:l.comment]
	}
	start := -1
	for i := 0; i <= len(statement); i++ {
		blank := i == len(statement) || statement[i] == ' ' || statement[i] == '\t'
		if blank && start >= 0 {
			l.words = append(l.words, word{text: statement[start:i], offset: start})
			start = -1
		} else if !blank && start < 0 {
			start = i
		}
	}
	return l
}

// column converts a byte offset into the 1-based column in characters, as editors show it.
func (l line) column(offset int) int {
	return utf8.RuneCountInString(l.text[:offset]) + 1
}

// end returns the byte offset after the last word.
func (l line) end() int {
	if len(l.words) == 0 {
		return 0
	}
	last := l.words[len(l.words)-1]
	return last.offset + len(last.text)
}

// replaceWord returns the text of the line with text in place of w.
func (l line) replaceWord(w word, text string) string {
	return l.text[:w.offset] + text + l.text[w.offset+len(w.text):]
}

// removeWord returns the text of the line without w.
func (l line) removeWord(w word) string {
	return strings.TrimRight(l.text[:w.offset], " \t") + l.text[w.offset+len(w.text):]
}

// appendWords returns the text of the line with text after its last word.
func (l line) appendWords(text string) string {
	return l.text[:l.end()] + " " + text + l.text[l.end():]
}

// attribution returns the trimmed parts of the comment "who: why"; ok is false if one of them is missing.
func (l line) attribution() (who, why string, ok bool) {
	if l.comment < 0 {
		return "", "", false
	}
	who, why, ok = strings.Cut(l.text[l.comment+1:], ":")
	who, why = strings.TrimSpace(who), strings.TrimSpace(why)
	return who, why, ok && who != "" && why != ""
}

// forbiddenOffset returns the byte offset of the first character that no line may contain, or -1.
// Bidirectional controls are forbidden because they can make a rule look like a comment.
func forbiddenOffset(text string) int {
	return strings.IndexFunc(text, func(r rune) bool {
		if r == '\t' {
			return false
		}
		return unicode.IsControl(r) || r >= '\u202a' && r <= '\u202e' || r >= '\u2066' && r <= '\u2069' ||
			r == '\u2028' || r == '\u2029'
	})
}
