package rule

// Credit says who asked for one line of a rule file and why.
type Credit struct {
	Line int    `json:"line"` // 1-based
	Rule string `json:"rule"` // the line without its ending
	Bare string `json:"-"`    // the same without its comment
	Verb string `json:"verb"` // empty on lines without a rule
	Who  string `json:"who"`
	Why  string `json:"why"`
}

// Credits lists every line of a text.
func Credits(text string) []Credit {
	raw := splitLines(text)
	list := make([]Credit, len(raw))
	for i, one := range raw {
		l := newLine(i+1, one)
		list[i] = Credit{Line: l.no, Rule: l.text, Bare: l.text[:l.end()]}
		if len(l.words) > 0 {
			list[i].Verb = l.words[0].text
			list[i].Who, list[i].Why, _ = l.who()
		}
	}
	return list
}

// Reason returns the comment of the change line of an accepted text, "who: why".
func Reason(text string) string {
	credits := Credits(text)
	if len(credits) < 2 || credits[1].Who == "" {
		return ""
	}
	return credits[1].Who + ": " + credits[1].Why
}

// Since returns, for every line of text, the number of the change that brought it.
// It takes the result for the text before and the number of the change that leads from there to text;
// without a usable result the lines of the old text count as not known.
func Since(old string, before []uint64, text string, number uint64) []uint64 {
	if n := len(splitLines(old)); len(before) != n {
		before = make([]uint64, n)
	}
	since := make([]uint64, 0, len(splitLines(text)))
	next := 0
	for _, e := range Diff(old, text) {
		since = append(since, before[next:e.Start]...)
		for range e.Lines {
			since = append(since, number)
		}
		next = e.Start + e.Count
	}
	return append(since, before[next:]...)
}
