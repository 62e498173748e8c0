package rule

// Attribution says who asked for one line of a rule file and why.
type Attribution struct {
	Line      int    `json:"line"` // 1-based
	Text      string `json:"rule"` // the line without its ending
	Statement string `json:"-"`    // the same without its comment
	Verb      string `json:"verb"` // empty on lines without a rule
	Author    string `json:"who"`
	Reason    string `json:"why"`
}

// Attributions lists every line of a text.
func Attributions(text string) []Attribution {
	raw := splitLines(text)
	list := make([]Attribution, len(raw))
	for i, one := range raw {
		l := newLine(i+1, one)
		list[i] = Attribution{Line: l.no, Text: l.text, Statement: l.text[:l.end()]}
		if len(l.words) > 0 {
			list[i].Verb = l.words[0].text
			list[i].Author, list[i].Reason, _ = l.who()
		}
	}
	return list
}

// ChangeReason returns the comment of the change line of an accepted text, "who: why".
func ChangeReason(text string) string {
	credits := Attributions(text)
	if len(credits) < 2 || credits[1].Author == "" {
		return ""
	}
	return credits[1].Author + ": " + credits[1].Reason
}

// LineChangeNumbers returns, for every line of text, the number of the change that brought it.
// It takes the result for the text before and the number of the change that leads from there to text;
// without a usable result the lines of the old text count as not known.
func LineChangeNumbers(old string, before []uint64, text string, number uint64) []uint64 {
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
