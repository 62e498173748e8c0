package rule

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// MaxFileSize is the largest accepted rule file in bytes; 110 services need about a tenth of it.
const MaxFileSize = 1 << 20

// Bounds on the work for, and the length of, an answer to a file that is no rule file at all.
const (
	maxProblems = 100  // listed
	maxFound    = 1000 // collected before the search ends
)

const (
	exampleFormat = "format 1"
	exampleWho    = "# kari: reason for this line"
	bom           = "\ufeff"
)

// parser collects rules and problems while it walks over the lines of one text.
type parser struct {
	set      *Set
	services map[string]*Service
	problems Problems
	seen     map[string]line // first line of every rule that must not repeat
	outs     []out
	named    map[string]bool // what each service sets itself, by "verb service key"
	targets  []target
}

// Parse compiles text, or returns Problems that list everything that is wrong with it.
func Parse(text string) (*Set, error) {
	p := &parser{
		set:      &Set{Zones: map[string]Zone{}, Services: map[string]Service{}, BackendsOut: map[string]bool{}},
		services: map[string]*Service{},
		seen:     map[string]line{},
		named:    map[string]bool{},
	}
	if p.encoding(text) {
		lines := p.split(text)
		p.header(lines)
		p.body(lines)
		p.check()
	}
	if len(p.problems) > 0 {
		return nil, p.sorted()
	}
	p.finish()
	return p.set, nil
}

func (p *parser) sorted() Problems {
	slices.SortStableFunc(p.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if len(p.problems) > maxProblems {
		more := len(p.problems) - maxProblems
		p.problems = p.problems[:maxProblems]
		p.problems[maxProblems-1].Reason += fmt.Sprintf(" (%d more problems are not listed)", more)
	}
	return p.problems
}

// bad notes a problem at byte offset at of l.
func (p *parser) bad(l line, at int, example, format string, args ...any) {
	p.problems = append(p.problems, Problem{
		Line:    l.no,
		Column:  l.column(at),
		Reason:  fmt.Sprintf(format, args...),
		Example: strings.TrimSpace(example),
	})
}

// encoding checks the text as a whole and returns whether its lines can be read.
func (p *parser) encoding(text string) bool {
	first := line{no: 1}
	if len(text) > MaxFileSize {
		p.bad(first, 0, "", "the file is larger than %d bytes", MaxFileSize)
		return false
	}
	if strings.HasPrefix(text, bom) {
		p.bad(first, 0, exampleFormat, "the file starts with a byte order mark; save it as UTF-8 without one")
		return false
	}
	return true
}

// split cuts text into lines and reports the characters that no line may contain.
func (p *parser) split(text string) []line {
	raw := splitLines(text)
	lines := make([]line, 0, len(raw))
	for i, one := range raw {
		l := newLine(i+1, one)
		p.characters(&l)
		lines = append(lines, l)
		if len(p.problems) >= maxFound {
			break
		}
	}
	return lines
}

// characters reports the first character that l may not contain; l is broken if that is outside of its comment.
func (p *parser) characters(l *line) {
	at := invalid(l.text)
	if at >= 0 {
		p.bad(*l, at, "", "the byte 0x%02x is not valid UTF-8; save the file as UTF-8", l.text[at])
	} else if at = forbidden(l.text); at >= 0 {
		r, _ := utf8.DecodeRuneInString(l.text[at:])
		p.bad(*l, at, strings.ReplaceAll(l.text, string(r), " "), "the character %U is not allowed", r)
	}
	l.broken = at >= 0 && (l.comment < 0 || at < l.comment)
}

// invalid returns the offset of the first byte that is not valid UTF-8, or -1.
func invalid(text string) int {
	for i := 0; i < len(text); {
		r, n := utf8.DecodeRuneInString(text[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return -1
}

// header checks the two lines that come first.
func (p *parser) header(lines []line) {
	if len(lines) == 0 {
		p.bad(line{no: 1}, 0, exampleFormat, "the file is empty; the first line must be %q", exampleFormat)
		return
	}
	if !lines[0].broken {
		p.format(lines[0])
	}
	if len(lines) == 1 {
		p.bad(line{no: 2}, 0, verbs["change"].example, "the second line must give the number of the change")
		return
	}
	if !lines[1].broken {
		p.change(lines[1])
	}
}

func (p *parser) format(l line) {
	if len(l.words) == 0 || l.words[0].text != "format" {
		p.bad(l, 0, exampleFormat, "the first line must be %q", exampleFormat)
		return
	}
	if len(l.words) < 2 {
		p.bad(l, l.end(), exampleFormat, "the format number is missing")
		return
	}
	if w := l.words[1]; w.text != "1" {
		p.bad(l, w.at, exampleFormat, "format %q is unknown; this program reads format 1", w.text)
	}
	p.rest(l, 2)
}

func (p *parser) change(l line) {
	if len(l.words) == 0 || l.words[0].text != "change" {
		p.bad(l, 0, verbs["change"].example, "the second line must give the number of the change")
		return
	}
	p.comment(l)
	if len(l.words) < 2 {
		p.bad(l, l.end(), verbs["change"].example, "the number of the change is missing")
		return
	}
	p.rest(l, 2)
	w := l.words[1]
	n, err := strconv.ParseUint(w.text, 10, 63)
	if err != nil || n == 0 || w.text != strconv.FormatUint(n, 10) {
		p.bad(l, w.at, l.with(w, "7"), "%q is not a change number; it is a whole number from 1, one above the change in force", w.text)
		return
	}
	p.set.ChangeNumber = n
}

// body reads the rules after the header; rules that define names come first, so that order does not matter.
func (p *parser) body(lines []line) {
	if len(lines) < 2 {
		return
	}
	for _, defining := range []bool{true, false} {
		for _, l := range lines[2:] {
			if l.broken || len(l.words) == 0 || verbs[l.words[0].text].defines != defining {
				continue
			}
			if p.rule(l); len(p.problems) >= maxFound {
				return
			}
		}
	}
}

func (p *parser) rule(l line) {
	w := l.words[0]
	v, known := verbs[w.text]
	if !known {
		near := nearest(w.text, verbNames())
		example := verbs[cmp.Or(near, "zone")].example
		if _, _, ok := l.who(); ok && near != "" && len(l.words) > 2 {
			example = l.with(w, near)
		}
		p.bad(l, w.at, example, "%q is not a rule; rules are %s", w.text, strings.Join(verbNames(), ", "))
		return
	}
	p.comment(l)
	if v.read == nil {
		p.bad(l, w.at, "", "%q is allowed only as header line; remove this line", w.text)
		return
	}
	v.read(p, l)
}

// comment reports a rule that does not say who asked for it and why.
func (p *parser) comment(l line) {
	if _, _, ok := l.who(); ok {
		return
	}
	at := l.comment
	if at < 0 {
		at = l.end()
	}
	example := l.text[:l.end()] + " " + exampleWho
	p.bad(l, at, example, "the comment must say who asked and why, in the form \"# who: why\"")
}

// rest reports words after the first n.
func (p *parser) rest(l line, n int) bool {
	if len(l.words) <= n {
		return true
	}
	w := l.words[n]
	example := strings.TrimRight(l.text[:w.at], " \t")
	if l.comment >= 0 {
		example += " " + l.text[l.comment:]
	}
	p.bad(l, w.at, example, "%q is not expected here", w.text)
	return false
}

// once reports whether key is new and notes a problem if another line has it.
func (p *parser) once(l line, at int, key, what string) bool {
	if first, ok := p.seen[key]; ok {
		p.bad(l, at, first.text, "%s is already set on line %d; keep one of the two lines", what, first.no)
		return false
	}
	p.seen[key] = l
	return true
}
