package refusalhelp

import (
	"strings"
)

// Entry explains one reason of package refusal.
type Entry struct {
	Reason  string `json:"reason"`  // name in Proxy-Status
	Meaning string `json:"meaning"` // what happened
	Action  string `json:"action"`  // what an operator does about it
}

// All returns the advice for every reason, in the order of package refusal.
func All() []Entry {
	return list
}

// Find returns the advice for the reason named in text: a bare name, or a whole Proxy-Status header line.
func Find(text string) (Entry, bool) {
	text = strings.ToLower(text)
	if _, details, ok := strings.Cut(text, "details="); ok {
		text, _, _ = strings.Cut(details, ";")
	}
	words := strings.FieldsFunc(text, func(r rune) bool { return r != '-' && (r < 'a' || r > 'z') })
	for _, w := range words {
		for _, a := range list {
			if a.Reason == w {
				return a, true
			}
		}
	}
	return Entry{}, false
}
