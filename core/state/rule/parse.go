package rule

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// MaxFileSize is the size of the largest accepted rule file in bytes; 110 services need about a tenth of it.
const MaxFileSize = 1 << 20

// Limits on the length of the answer to a text that is not a rule file at all, and on the work for it.
const (
	maxListedProblems = 100
	maxFoundProblems  = 1000 // Parse stops when it has found that many
)

const (
	formatLine     = "format 1"
	exampleComment = "# kari: reason for this line"
	byteOrderMark  = "\ufeff"
)

// parser collects the rules and the problems of one text.
type parser struct {
	set          *Set
	services     map[string]*Service
	problems     Problems
	firstLines   map[string]line // first line for each key that must not repeat, such as "limit booking"
	outZoneLines []outZoneLine
	explicit     map[string]bool // limits that the rules set, with keys such as "retry booking"; defaults do not replace a zero among them
	routeTargets []routeTarget
	keyHolders   map[KeyDigest]string // names of accounts
}

// Parse compiles the text of a rule file. Its error is of type Problems and lists all problems, up to a limit.
func Parse(text string) (*Set, error) {
	p := &parser{
		set:        &Set{Zones: map[string]Zone{}, Services: map[string]Service{}, BackendsOut: map[string]bool{}},
		services:   map[string]*Service{},
		firstLines: map[string]line{},
		explicit:   map[string]bool{},
		keyHolders: map[KeyDigest]string{},
	}
	if p.checkEncoding(text) {
		lines := p.parseLines(text)
		p.parseHeader(lines)
		p.parseRules(lines)
		p.checkConsistency()
	}
	if len(p.problems) > 0 {
		return nil, p.sortedProblems()
	}
	p.buildSet()
	return p.set, nil
}

// buildSet completes the set after the last line.
func (p *parser) buildSet() {
	for name, s := range p.services {
		service := s.withDefaults(p.explicit)
		service.defaultsApplied = true
		p.set.Services[name] = service
	}
	p.set.serviceRoutes = sortedServiceRoutes(p.set.Services)
	p.set.indexTrafficRules()
	p.set.indexAccounts()
	p.set.indexContention()
}

// sortedProblems returns the first maxListedProblems problems in the order of their positions.
func (p *parser) sortedProblems() Problems {
	slices.SortStableFunc(p.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if len(p.problems) > maxListedProblems {
		more := len(p.problems) - maxListedProblems
		p.problems = p.problems[:maxListedProblems]
		p.problems[maxListedProblems-1].Reason += fmt.Sprintf(" (%d more problems are not listed)", more)
	}
	return p.problems
}

// report adds a problem at a byte offset of l, with an example of a valid line.
func (p *parser) report(l line, offset int, example, format string, args ...any) {
	if l.mayHoldKeys() {
		args = l.hideKeys(args)
		if example != "" {
			example = verbs["account"].example
		}
	}
	p.problems = append(p.problems, Problem{
		Line:    l.number,
		Column:  l.column(offset),
		Reason:  fmt.Sprintf(format, args...),
		Example: strings.TrimSpace(example),
	})
}

// checkEncoding checks the text as a whole and reports whether its lines can be parsed.
func (p *parser) checkEncoding(text string) bool {
	first := line{number: 1}
	if len(text) > MaxFileSize {
		p.report(first, 0, "", "the file is larger than %d bytes", MaxFileSize)
		return false
	}
	if strings.HasPrefix(text, byteOrderMark) {
		p.report(first, 0, formatLine, "the file starts with a byte order mark; save it as UTF-8 without one")
		return false
	}
	return true
}

// parseLines splits text into lines and reports characters that no line may contain.
func (p *parser) parseLines(text string) []line {
	rawLines := splitLines(text)
	lines := make([]line, 0, len(rawLines))
	for i, raw := range rawLines {
		l := parseLine(i+1, raw)
		p.checkCharacters(&l)
		lines = append(lines, l)
		if len(p.problems) >= maxFoundProblems {
			break
		}
	}
	return lines
}

// checkCharacters reports the first character that l may not contain, and marks l as unreadable if the character is
// outside of its comment.
func (p *parser) checkCharacters(l *line) {
	offset := invalidUTF8Offset(l.text)
	if offset >= 0 {
		p.report(*l, offset, "", "the byte 0x%02x is not valid UTF-8; save the file as UTF-8", l.text[offset])
	} else if offset = forbiddenOffset(l.text); offset >= 0 {
		r, _ := utf8.DecodeRuneInString(l.text[offset:])
		p.report(*l, offset, strings.ReplaceAll(l.text, string(r), " "), "the character %U is not allowed", r)
	}
	l.unreadable = offset >= 0 && (l.comment < 0 || offset < l.comment)
}

// invalidUTF8Offset returns the offset of the first byte that is not valid UTF-8, or -1.
func invalidUTF8Offset(text string) int {
	for i := 0; i < len(text); {
		r, n := utf8.DecodeRuneInString(text[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return -1
}

// parseHeader parses the first two lines, which give the format and the number of the change.
func (p *parser) parseHeader(lines []line) {
	if len(lines) == 0 {
		p.report(line{number: 1}, 0, formatLine, "the file is empty; the first line must be %q", formatLine)
		return
	}
	if !lines[0].unreadable {
		p.parseFormat(lines[0])
	}
	if len(lines) == 1 {
		p.report(line{number: 2}, 0, verbs["change"].example, "the second line must give the number of the change")
		return
	}
	if !lines[1].unreadable {
		p.parseChange(lines[1])
	}
}

func (p *parser) parseFormat(l line) {
	if len(l.words) == 0 || l.words[0].text != "format" {
		p.report(l, 0, formatLine, "the first line must be %q", formatLine)
		return
	}
	if len(l.words) < 2 {
		p.report(l, l.end(), formatLine, "the format number is missing")
		return
	}
	if w := l.words[1]; w.text != "1" {
		p.report(l, w.offset, formatLine, "format %q is unknown; this program reads format 1", w.text)
	}
	p.checkWordCount(l, 2)
}

func (p *parser) parseChange(l line) {
	if len(l.words) == 0 || l.words[0].text != "change" {
		p.report(l, 0, verbs["change"].example, "the second line must give the number of the change")
		return
	}
	p.checkComment(l)
	if len(l.words) < 2 {
		p.report(l, l.end(), verbs["change"].example, "the number of the change is missing")
		return
	}
	p.checkWordCount(l, 2)
	w := l.words[1]
	n, err := strconv.ParseUint(w.text, 10, 63)
	if err != nil || n == 0 || w.text != strconv.FormatUint(n, 10) {
		p.report(l, w.offset, l.replaceWord(w, "7"), "%q is not a change number; it is a whole number from 1, one above the change in force", w.text)
		return
	}
	p.set.ChangeNumber = n
}

// parseRules parses the rules after the header. Rules that define names come first, so that the order of lines does not
// matter.
func (p *parser) parseRules(lines []line) {
	if len(lines) < 2 {
		return
	}
	for _, definesName := range []bool{true, false} {
		for _, l := range lines[2:] {
			if l.unreadable || len(l.words) == 0 || verbs[l.words[0].text].definesName != definesName {
				continue
			}
			if p.parseRule(l); len(p.problems) >= maxFoundProblems {
				return
			}
		}
	}
}

func (p *parser) parseRule(l line) {
	w := l.words[0]
	v, known := verbs[w.text]
	if !known {
		closest := closestName(w.text, ruleVerbs())
		example := verbs[cmp.Or(closest, "zone")].example
		if _, _, ok := l.attribution(); ok && closest != "" && len(l.words) > 2 {
			example = l.replaceWord(w, closest)
		}
		p.report(l, w.offset, example, "%q is not a rule; rules are %s", w.text, strings.Join(ruleVerbs(), ", "))
		return
	}
	p.checkComment(l)
	if v.parse == nil {
		p.report(l, w.offset, "", "%q is allowed only as header line; remove this line", w.text)
		return
	}
	v.parse(p, l)
}

// checkComment reports a line whose comment does not say who asked for it and why.
func (p *parser) checkComment(l line) {
	if _, _, ok := l.attribution(); ok {
		return
	}
	offset := l.comment
	if offset < 0 {
		offset = l.end()
	}
	example := l.text[:l.end()] + " " + exampleComment
	p.report(l, offset, example, "the comment must say who asked and why, in the form \"# who: why\"")
}

// checkWordCount reports the first word after n words and returns whether there is none.
func (p *parser) checkWordCount(l line, n int) bool {
	if len(l.words) <= n {
		return true
	}
	w := l.words[n]
	example := strings.TrimRight(l.text[:w.offset], " \t")
	if l.comment >= 0 {
		example += " " + l.text[l.comment:]
	}
	p.report(l, w.offset, example, "%q is not expected here", w.text)
	return false
}

// registerOnce records that l sets key. If another line already does, it reports a problem, which calls the key
// description, and returns false.
func (p *parser) registerOnce(l line, offset int, key, description string) bool {
	if first, ok := p.firstLines[key]; ok {
		p.report(l, offset, first.text, "%s is already set on line %d; keep one of the two lines", description, first.number)
		return false
	}
	p.firstLines[key] = l
	return true
}
