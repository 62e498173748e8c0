package rule

import (
	"fmt"
	"slices"
	"strings"
)

// keysOption is the option of an account rule that holds keys.
const keysOption = "keys="

// maskedWord stands for a word that may be a key.
const maskedWord = "…"

// HideKeys returns a line of a rule file with the number of its keys in place of them, for output that is read by others than
// the authors of the file.
func HideKeys(text string) string {
	l := parseLine(1, text)
	for _, w := range slices.Backward(l.words) {
		if !strings.HasPrefix(w.text, keysOption) {
			continue
		}
		count := 0
		if list := strings.TrimPrefix(w.text, keysOption); list != "" {
			count = strings.Count(list, ",") + 1
		}
		text = text[:w.offset] + fmt.Sprintf("%s(%d)", keysOption, count) + text[w.offset+len(w.text):]
	}
	return text
}

// mayHoldKeys reports whether a line is an account rule, also a misspelt one.
func (l line) mayHoldKeys() bool {
	if strings.Contains(l.text, keysOption) {
		return true
	}
	return len(l.words) > 0 && (l.words[0].text == "account" || closestName(l.words[0].text, ruleVerbs()) == "account")
}

// hideKeys replaces the words of an account rule that may be keys among the values of a problem, since problems are logged and
// sent to other processes. These are all words after the name but options with numbers; a key may stand in a misspelt option
// or after a blank.
func (l line) hideKeys(args []any) []any {
	masked := slices.Clone(args)
	for i, arg := range masked {
		if text, ok := arg.(string); ok && l.isPossibleKey(text) {
			masked[i] = maskedWord
		}
	}
	return masked
}

// optionsWithoutKeys are the options of an account rule whose values a problem may show.
var optionsWithoutKeys = []string{"rank", "quota", "burst"}

func (l line) isPossibleKey(text string) bool {
	for _, w := range l.words[min(len(l.words), 2):] {
		option, _, ok := strings.Cut(w.text, "=")
		if ok && slices.Contains(optionsWithoutKeys, option) {
			continue
		}
		if strings.Contains(text, w.text) {
			return true
		}
	}
	return false
}
