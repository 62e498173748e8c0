package rule

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ReplaceTrafficRules returns text as change number, with traffic in place of its routes, pools, accounts and caller limits.
// Lines whose meaning does not change stay byte for byte; the others get the comment "who: why" in attribution.
// The rules of each verb take the places of the old lines of that verb, in the order of traffic; the remaining ones
// follow at the end.
func ReplaceTrafficRules(text string, number uint64, attribution string, traffic TrafficRules) string {
	pending := formatTrafficRules(traffic)
	oldLines := map[string]string{}
	for _, raw := range splitLines(text) {
		if key, ok := trafficKey(parseLine(0, raw)); ok {
			oldLines[key] = raw
		}
	}
	// takeNext returns the line of the first pending rule that begins with prefix.
	takeNext := func(prefix string) (string, bool) {
		i := slices.IndexFunc(pending, func(r trafficRule) bool { return strings.HasPrefix(r.text+" ", prefix) })
		if i < 0 {
			return "", false
		}
		first := pending[i]
		pending = slices.Delete(pending, i, i+1)
		if raw, ok := oldLines[first.key]; ok && parseLine(0, raw).sameRule(first.text) {
			return withNewline(raw), true
		}
		return first.text + " # " + attribution + "\n", true
	}
	return rewriteLines(text, number, attribution, func(l line, raw string) string {
		if _, ok := trafficKey(l); !ok {
			return raw
		}
		replacement, _ := takeNext(l.words[0].text + " ")
		return replacement
	}, func() (string, bool) { return takeNext("") })
}

// SetZoneEvacuated returns text as change number, with a rule that takes a zone out of service, or without it.
// The comment "who: why" in attribution is for the change line and for the new rule.
func SetZoneEvacuated(text string, number uint64, attribution, zone string, out bool) string {
	rule := "evacuate " + escape(zone)
	missing := out
	return rewriteLines(text, number, attribution, func(l line, raw string) string {
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
		return rule + " # " + attribution + "\n", add
	})
}

// rewriteLines returns text with a new change line, the result of replace in place of every line after the header, and
// at the end the lines that next returns until it returns false.
func rewriteLines(text string, number uint64, attribution string, replace func(l line, raw string) string, next func() (string, bool)) string {
	var b strings.Builder
	lines := splitLines(text)
	if len(lines) == 0 {
		lines = []string{formatLine + "\n"}
	}
	b.WriteString(withNewline(lines[0]))
	fmt.Fprintf(&b, "change %d # %s\n", number, attribution)
	for i, raw := range lines[min(2, len(lines)):] {
		b.WriteString(replace(parseLine(i+1, raw), withNewline(raw)))
	}
	for added, ok := next(); ok; added, ok = next() {
		b.WriteString(added)
	}
	return b.String()
}

func withNewline(raw string) string {
	if strings.HasSuffix(raw, "\n") {
		return raw
	}
	return raw + "\n"
}

// trafficRule is the text of a rule for one item of TrafficRules, without comment; key identifies the item.
type trafficRule struct{ key, text string }

func formatTrafficRules(t TrafficRules) []trafficRule {
	var rules []trafficRule
	if t.CallerLimits != nil {
		rules = append(rules, trafficRule{"bound", t.CallerLimits.ruleText()})
	}
	for _, p := range t.Pools {
		rules = append(rules, trafficRule{"pool " + p.Name, p.ruleText()})
	}
	for _, r := range t.Routes {
		rules = append(rules, trafficRule{"route " + r.Name, r.ruleText()})
	}
	for _, a := range t.Accounts {
		rules = append(rules, trafficRule{"account " + a.Name, a.ruleText()})
	}
	return rules
}

// trafficKey returns the key of the item that a line describes, or false if the line is not a traffic rule.
func trafficKey(l line) (string, bool) {
	if len(l.words) == 0 {
		return "", false
	}
	switch verb := l.words[0].text; {
	case verb == "bound":
		return verb, true
	case len(l.words) > 1 && (verb == "route" || verb == "pool" || verb == "account"):
		return verb + " " + unescape(l.words[1].text), true
	}
	return "", false
}

// sameRule reports whether a line has the same words as rule, in any order, because the order of options does not matter.
func (l line) sameRule(rule string) bool {
	sortedWords := func(l line) []string {
		list := make([]string, len(l.words))
		for i, w := range l.words {
			list[i] = w.text
		}
		slices.Sort(list)
		return list
	}
	return slices.Equal(sortedWords(l), sortedWords(parseLine(0, rule)))
}

// writeOption writes " key=value" unless the value is empty.
func writeOption(b *strings.Builder, key, value string) {
	if value != "" {
		b.WriteString(" " + key + "=" + value)
	}
}

// formatInt returns "" for 0, so that writeOption leaves the option out.
func formatInt(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

// formatFloat returns "" for 0, so that writeOption leaves the option out.
func formatFloat(n float64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}

// formatDuration returns "" for 0, so that writeOption leaves the option out.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func (r Route) ruleText() string {
	var b strings.Builder
	b.WriteString("route " + escape(r.Name))
	writeOption(&b, "host", escape(r.Host))
	writeOption(&b, "path", escape(r.PathPrefix))
	if r.Kind != KindUnsafe {
		writeOption(&b, "kind", r.Kind.String())
	}
	writeOption(&b, "within", formatDuration(r.Timeout))
	writeOption(&b, "aim", formatDuration(r.LatencyObjective))
	writeOption(&b, "rank", formatInt(r.Priority))
	writeOption(&b, "tries", formatInt(r.MaxTries))
	services := make([]string, len(r.Services))
	for i, s := range r.Services {
		services[i] = strings.ReplaceAll(escape(s.Service), ":", "%3A")
		if r.Weighted {
			services[i] += ":" + strconv.FormatFloat(s.Weight, 'g', -1, 64)
		}
	}
	writeOption(&b, "to", strings.Join(services, ","))
	writeOption(&b, "open", r.Access.String())
	writeOption(&b, "more", escape(r.UnknownFields))
	return b.String()
}

func (p Pool) ruleText() string {
	var b strings.Builder
	b.WriteString("pool " + escape(p.Name))
	writeOption(&b, "health", escape(p.HealthPath))
	writeOption(&b, "connections", formatInt(p.MaxConnections))
	writeOption(&b, "cold", formatDuration(p.ColdPeriod))
	writeOption(&b, "rate", formatFloat(p.ColdRate))
	writeOption(&b, "more", escape(p.UnknownFields))
	return b.String()
}

func (c CallerLimits) ruleText() string {
	var b strings.Builder
	b.WriteString("bound")
	writeOption(&b, "header", formatInt(c.MaxHeaderBytes))
	writeOption(&b, "body", formatInt(c.MaxBodyBytes))
	writeOption(&b, "read", formatDuration(c.HeaderTimeout))
	writeOption(&b, "idle", formatDuration(c.IdleTimeout))
	writeOption(&b, "more", escape(c.UnknownFields))
	return b.String()
}
