package rule

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ReplaceTrafficRules returns the text that puts traffic in force in place of the routes, pools and bounds of text, as the change
// with a number. Lines whose meaning stays are kept byte for byte; credit is the comment of the lines that change.
// Lines of a verb take the places of the old ones of that verb in the order of traffic.
func ReplaceTrafficRules(text string, number uint64, credit string, traffic TrafficRules) string {
	rules := render(traffic)
	old := map[string]string{}
	for _, raw := range splitLines(text) {
		if key, ok := keyOf(newLine(0, raw)); ok {
			old[key] = raw
		}
	}
	next := func(verb string) (string, bool) {
		at := slices.IndexFunc(rules, func(r rendered) bool { return strings.HasPrefix(r.rule+" ", verb) })
		if at < 0 {
			return "", false
		}
		first := rules[at]
		rules = slices.Delete(rules, at, at+1)
		if raw, ok := old[first.key]; ok && newLine(0, raw).same(first.rule) {
			return terminated(raw), true
		}
		return first.rule + " # " + credit + "\n", true
	}
	return rewrite(text, number, credit, func(l line, raw string) string {
		if _, ok := keyOf(l); !ok {
			return raw
		}
		line, _ := next(l.words[0].text + " ")
		return line
	}, func() (string, bool) { return next("") })
}

// SetZoneEvacuated returns the text that takes a zone out, or back into service, as the change with a number.
func SetZoneEvacuated(text string, number uint64, credit, zone string, out bool) string {
	rule := "evacuate " + escape(zone)
	missing := out
	return rewrite(text, number, credit, func(l line, raw string) string {
		if l.text[:l.end()] != rule {
			return raw
		}
		missing = false
		if out {
			return raw
		}
		return ""
	}, func() (string, bool) {
		add := missing
		missing = false
		return rule + " # " + credit + "\n", add
	})
}

// rewrite writes a new header, what replace returns for every further line, and then all that next returns.
func rewrite(text string, number uint64, credit string, replace func(l line, raw string) string, next func() (string, bool)) string {
	var b strings.Builder
	lines := splitLines(text)
	if len(lines) == 0 {
		lines = []string{exampleFormat + "\n"}
	}
	b.WriteString(terminated(lines[0]))
	fmt.Fprintf(&b, "change %d # %s\n", number, credit)
	for i, raw := range lines[min(2, len(lines)):] {
		b.WriteString(replace(newLine(i+1, raw), terminated(raw)))
	}
	for line, ok := next(); ok; line, ok = next() {
		b.WriteString(line)
	}
	return b.String()
}

func terminated(raw string) string {
	if strings.HasSuffix(raw, "\n") {
		return raw
	}
	return raw + "\n"
}

// rendered is the rule of one item of a Traffic.
type rendered struct{ key, rule string }

func render(t TrafficRules) []rendered {
	var rules []rendered
	if t.CallerLimits != nil {
		rules = append(rules, rendered{"bound", t.CallerLimits.rule()})
	}
	for _, p := range t.Pools {
		rules = append(rules, rendered{"pool " + p.Name, p.rule()})
	}
	for _, r := range t.Routes {
		rules = append(rules, rendered{"route " + r.Name, r.rule()})
	}
	return rules
}

// keyOf returns which item a traffic line describes.
func keyOf(l line) (string, bool) {
	if len(l.words) == 0 {
		return "", false
	}
	switch verb := l.words[0].text; {
	case verb == "bound":
		return verb, true
	case len(l.words) > 1 && (verb == "route" || verb == "pool"):
		return verb + " " + unescape(l.words[1].text), true
	}
	return "", false
}

// same says whether a line means the same as a rendered rule; the order of options does not count.
func (l line) same(rule string) bool {
	words := func(l line) []string {
		list := make([]string, len(l.words))
		for i, w := range l.words {
			list[i] = w.text
		}
		slices.Sort(list)
		return list
	}
	return slices.Equal(words(l), words(newLine(0, rule)))
}

// option writes " key=value" unless the value is empty.
func option(b *strings.Builder, key, value string) {
	if value != "" {
		b.WriteString(" " + key + "=" + value)
	}
}

func whole(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func span(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func (r Route) rule() string {
	var b strings.Builder
	b.WriteString("route " + escape(r.Name))
	option(&b, "host", escape(r.Host))
	option(&b, "path", escape(r.PathPrefix))
	if r.Kind != KindUnsafe {
		option(&b, "kind", r.Kind.String())
	}
	option(&b, "within", span(r.Timeout))
	option(&b, "aim", span(r.LatencyObjective))
	option(&b, "rank", whole(r.Priority))
	option(&b, "tries", whole(r.MaxTries))
	parts := make([]string, len(r.Services))
	for i, p := range r.Services {
		parts[i] = strings.ReplaceAll(escape(p.Service), ":", "%3A")
		if r.Weighted {
			parts[i] += ":" + strconv.FormatFloat(p.Weight, 'g', -1, 64)
		}
	}
	option(&b, "to", strings.Join(parts, ","))
	option(&b, "more", escape(r.UnknownFields))
	return b.String()
}

func (p Pool) rule() string {
	var b strings.Builder
	b.WriteString("pool " + escape(p.Name))
	option(&b, "health", escape(p.HealthPath))
	option(&b, "connections", whole(p.MaxConnections))
	option(&b, "cold", span(p.ColdPeriod))
	if p.ColdRate != 0 {
		option(&b, "rate", strconv.FormatFloat(p.ColdRate, 'g', -1, 64))
	}
	option(&b, "more", escape(p.UnknownFields))
	return b.String()
}

func (o CallerLimits) rule() string {
	var b strings.Builder
	b.WriteString("bound")
	option(&b, "header", whole(o.MaxHeaderBytes))
	option(&b, "body", whole(o.MaxBodyBytes))
	option(&b, "read", span(o.HeaderTimeout))
	option(&b, "idle", span(o.IdleTimeout))
	option(&b, "more", escape(o.UnknownFields))
	return b.String()
}
