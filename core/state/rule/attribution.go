package rule

// Attribution says who asked for one line of a rule file and why, as its comment "# who: why" states it.
type Attribution struct {
	Line      int    `json:"line"` // 1-based
	Text      string `json:"rule"` // the line without its ending
	Statement string `json:"-"`    // the line without its ending and comment
	Verb      string `json:"verb"` // empty on lines without a rule
	Name      string `json:"-"`    // word after the verb, as the name in a compiled rule; empty without one
	Author    string `json:"who"`
	Reason    string `json:"why"`
}

// Attributions returns the attribution of every line of a rule file, whether the file is valid or not.
func Attributions(text string) []Attribution {
	rawLines := splitLines(text)
	list := make([]Attribution, len(rawLines))
	for i, raw := range rawLines {
		l := parseLine(i+1, raw)
		list[i] = Attribution{Line: l.number, Text: l.text, Statement: l.text[:l.end()]}
		if len(l.words) > 0 {
			list[i].Verb = l.words[0].text
			list[i].Name = l.name()
			list[i].Author, list[i].Reason, _ = l.attribution()
		}
	}
	return list
}

// name returns the word after the verb without its escapes, or "" if there is none.
func (l line) name() string {
	if len(l.words) < 2 {
		return ""
	}
	return unescape(l.words[1].text)
}

// ChangeReason returns the comment "who: why" of the change line, which is the second line, or "" without one.
func ChangeReason(text string) string {
	list := Attributions(text)
	if len(list) < 2 || list[1].Author == "" {
		return ""
	}
	return list[1].Author + ": " + list[1].Reason
}

// LineChangeNumbers returns, for every line of text, the number of the change that introduced it.
// Change number turned old into text; oldNumbers is the result for old. If oldNumbers does not fit old, the lines that
// come from old get 0, for unknown.
func LineChangeNumbers(old string, oldNumbers []uint64, text string, number uint64) []uint64 {
	if n := len(splitLines(old)); len(oldNumbers) != n {
		oldNumbers = make([]uint64, n)
	}
	numbers := make([]uint64, 0, len(splitLines(text)))
	next := 0
	for _, e := range Diff(old, text) {
		numbers = append(numbers, oldNumbers[next:e.Start]...)
		for range e.Lines {
			numbers = append(numbers, number)
		}
		next = e.Start + e.Count
	}
	return append(numbers, oldNumbers[next:]...)
}
