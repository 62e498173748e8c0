package refusalhelp

import "strings"

// Entry explains to an operator one refusal reason of package refusal.
type Entry struct {
	Reason  string `json:"reason"`  // as in the Proxy-Status header
	Meaning string `json:"meaning"` // what happened, and whether the request ran
	Action  string `json:"action"`  // what an operator can do
}

// All returns the entries of all reasons, in the order of package refusal.
func All() []Entry {
	return entries
}

// Find returns the entry of the reason named in text, which is a bare reason or a whole Proxy-Status header line, and
// whether text names a known reason.
func Find(text string) (Entry, bool) {
	text = strings.ToLower(text)
	if _, details, ok := strings.Cut(text, "details="); ok {
		text, _, _ = strings.Cut(details, ";")
	}
	words := strings.FieldsFunc(text, func(r rune) bool { return r != '-' && (r < 'a' || r > 'z') })
	for _, word := range words {
		for _, entry := range entries {
			if entry.Reason == word {
				return entry, true
			}
		}
	}
	return Entry{}, false
}
