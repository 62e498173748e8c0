package rule

import (
	"slices"
	"strings"
)

var httpMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}

// verb describes the rules that begin with one word.
type verb struct {
	example     string                  // a valid line
	definesName bool                    // the rule defines a name that other rules refer to
	parse       func(p *parser, l line) // nil for the verbs of the header lines
}

// verbs is set by init, because the parse functions refer to the examples in it.
var verbs map[string]verb

func init() {
	verbs = map[string]verb{
		"format":     {example: formatLine},
		"change":     {example: "change 7 # kari: zone b is rewired tonight"},
		"zone":       {example: "zone oslo-a region=oslo # ola: first site", definesName: true, parse: parseZoneRule},
		"service":    {example: "service booking host=booking.example path=/ # kari: boat booking", definesName: true, parse: parseServiceRule},
		"idempotent": {example: "idempotent booking GET,HEAD /free # kari: lookups only", parse: parseIdempotentRule},
		"limit":      {example: "limit booking slots=12 connections=240 queue=24 # ola: size of a VM", parse: parseLimitRule},
		"deadline":   {example: "deadline booking 2s # kari: rowers wait outside", parse: parseDeadlineRule},
		"retry":      {example: "retry booking 10% # ola: at most a tenth more", parse: parseRetryRule},
		"hedge":      {example: "hedge booking 5% after=p95 # ola: late lookups", parse: parseHedgeRule},
		"probe":      {example: "probe booking 1% # ola: measuring budget", parse: parseProbeRule},
		"cold":       {example: "cold booking 2 # ola: cold start cap", parse: parseColdRule},
		"spill":      {example: "spill booking 80% # ola: zone load that spills over", parse: parseSpillRule},
		"priority":   {example: "priority booking high /reserve # kari: reservations first", parse: parsePriorityRule},
		"out":        {example: "out zone oslo-b # kari: rewiring", parse: parseOutRule},
		"pool":       {example: "pool records health=/health connections=240 cold=3s rate=35 # kari: behind routes", parse: parsePoolRule},
		"route":      {example: "route lookup host=booking.example path=/free/ kind=idempotent within=500ms aim=200ms rank=2 tries=2 to=booking # kari: lookups", parse: parseRouteRule},
		"bound":      {example: "bound header=16384 body=67108864 read=3s idle=15s # ola: what callers may send", parse: parseBoundRule},
		"account":    {example: "account harbour keys=k7wq2m5t9x,p3vd8n6r4z rank=1 quota=40 burst=80 # kari: harbour office", parse: parseAccountRule},
		"rollout":    {example: "rollout booking target=v2 within=12s # ola: new version", parse: parseRolloutRule},
		"evacuate":   {example: "evacuate oslo-c # kari: rewiring", parse: parseEvacuateRule},
	}
}

// Verbs returns the words that a line may begin with, in alphabetical order.
func Verbs() []string {
	names := ruleVerbs()
	names = append(names, "format", "change")
	slices.Sort(names)
	return names
}

// Example returns a valid line that begins with a verb, or "" for an unknown verb.
func Example(verb string) string {
	return verbs[verb].example
}

// ruleVerbs returns the verbs of all lines after the header, in alphabetical order.
func ruleVerbs() []string {
	var names []string
	for name, v := range verbs {
		if v.parse != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// arguments returns the words after the verb; it reports a problem unless there are from minimum to maximum of them.
func (p *parser) arguments(l line, minimum, maximum int) ([]word, bool) {
	args := l.words[1:]
	if len(args) < minimum {
		p.report(l, l.end(), p.completedLine(l), "the rule is not complete")
		return nil, false
	}
	return args, p.checkWordCount(l, maximum+1)
}

// completedLine returns the text of l with the missing words, taken from the example of its verb.
func (p *parser) completedLine(l line) string {
	exampleWords := parseLine(0, verbs[l.words[0].text].example).words
	var missing []string
	for _, w := range exampleWords[len(l.words):] {
		if strings.HasPrefix(w.text, "/") && len(l.words) > 1 {
			w.text = examplePath(p.services[l.words[1].text])
		}
		missing = append(missing, w.text)
	}
	return l.appendWords(strings.Join(missing, " "))
}

// findService returns the service that a rule refers to, or reports that no line defines it.
func (p *parser) findService(l line, w word) (*Service, bool) {
	if s, ok := p.services[w.text]; ok {
		return s, true
	}
	names := make([]string, 0, len(p.services))
	for name := range p.services {
		names = append(names, name)
	}
	example := "service " + w.text + " path=/ " + exampleComment
	if closest := closestName(w.text, names); closest != "" {
		example = l.replaceWord(w, closest)
	}
	p.report(l, w.offset, example, "service %q is not defined in this file", w.text)
	return nil, false
}

func parseZoneRule(p *parser, l line) {
	args, ok := p.arguments(l, 2, 2)
	if !ok || !p.checkName(l, args[0]) {
		return
	}
	name := args[0].text
	if p.registerOnce(l, args[0].offset, "zone "+name, "zone "+name) {
		p.set.Zones[name] = Zone{Name: name, Region: p.parseRegion(l, args[1:])}
	}
}

func (p *parser) parseRegion(l line, words []word) string {
	opts, ok := p.parseOptions(l, words, "region")
	if !ok || !p.checkName(l, opts["region"]) {
		return ""
	}
	return opts["region"].text
}

// parseServiceRule defines the service even if its options are invalid, so that other rules for it are not rejected as
// well.
func parseServiceRule(p *parser, l line) {
	args, ok := p.arguments(l, 1, 3)
	if !ok || !p.checkName(l, args[0]) {
		return
	}
	s := &Service{Name: args[0].text, PathPrefix: "/"}
	if !p.registerOnce(l, args[0].offset, "service "+s.Name, "service "+s.Name) {
		return
	}
	p.services[s.Name] = s
	opts, ok := p.parseOptions(l, args[1:], "host", "path")
	if w, exists := opts["host"]; exists {
		ok = p.checkHost(l, w) && ok
		s.Host = w.text
	}
	if w, exists := opts["path"]; exists {
		ok = p.checkPath(l, nil, w) && ok
		s.PathPrefix = w.text
	}
	if ok {
		p.registerOnce(l, args[0].offset, "route "+s.Host+s.PathPrefix, "the route host="+s.Host+" path="+s.PathPrefix)
	}
}

func parseIdempotentRule(p *parser, l line) {
	if s, methods, path, ok := parseForPath(p, l, "idempotent", p.parseMethods); ok {
		s.IdempotentRequests = append(s.IdempotentRequests, RequestMatch{Methods: methods, PathPrefix: path})
	}
}

// parseForPath parses the arguments of a rule that sets a value for a path prefix of a service, which each verb may do once
// for each path.
func parseForPath[T any](p *parser, l line, verb string, parse func(line, word) (T, bool)) (s *Service, value T, path string, ok bool) {
	args, ok := p.arguments(l, 3, 3)
	if !ok {
		return nil, value, "", false
	}
	s, known := p.findService(l, args[0])
	value, valid := parse(l, args[1])
	path = args[2].text
	if !p.checkPath(l, s, args[2]) || !known || !valid {
		return nil, value, "", false
	}
	ok = p.registerOnce(l, args[2].offset, verb+" "+s.Name+" "+path, verb+" for "+s.Name+" "+path)
	return s, value, path, ok
}

func parseLimitRule(p *parser, l line) {
	args, ok := p.arguments(l, 2, 4)
	if !ok {
		return
	}
	s, known := p.findService(l, args[0])
	opts, ok := p.parseOptions(l, args[1:], "slots", "connections", "queue")
	if !ok || !known || !p.registerOnce(l, args[0].offset, "limit "+s.Name, "limit for "+s.Name) {
		return
	}
	fields := map[string]*int{"slots": &s.Slots, "connections": &s.MaxConnections, "queue": &s.QueueLength}
	for key, w := range opts {
		minimum := 1
		if key == "queue" {
			minimum = 0
		}
		if n, ok := p.parseCount(l, w, minimum); ok {
			*fields[key] = n
			p.explicit[key+" "+s.Name] = true
		}
	}
}

func parseDeadlineRule(p *parser, l line) {
	p.parseServiceValue(l, func(s *Service, w word) bool {
		d, ok := p.parseDeadline(l, w)
		s.Deadline = d
		return ok
	})
}

func parseRetryRule(p *parser, l line) {
	p.parseServiceValue(l, func(s *Service, w word) (ok bool) {
		s.RetryRatio, ok = p.parseRatio(l, w, 0)
		return ok
	})
}

func parseProbeRule(p *parser, l line) {
	p.parseServiceValue(l, func(s *Service, w word) (ok bool) {
		s.ProbeShare, ok = p.parseRatio(l, w, 0)
		return ok
	})
}

func parseSpillRule(p *parser, l line) {
	p.parseServiceValue(l, func(s *Service, w word) (ok bool) {
		s.SpillThreshold, ok = p.parseRatio(l, w, minSpillThreshold)
		return ok
	})
}

func parseColdRule(p *parser, l line) {
	p.parseServiceValue(l, func(s *Service, w word) (ok bool) {
		s.ColdSlots, ok = p.parseCount(l, w, 1)
		return ok
	})
}

// parseServiceValue parses a rule of the form "VERB SERVICE VALUE". The function set parses the value, stores it in s and
// reports whether it is valid.
func (p *parser) parseServiceValue(l line, set func(s *Service, w word) bool) {
	args, ok := p.arguments(l, 2, 2)
	if !ok {
		return
	}
	verb := l.words[0].text
	s, known := p.findService(l, args[0])
	valid := set(&Service{}, args[1]) // reports an invalid value even if the service is unknown or has one already
	if known && valid && p.registerOnce(l, args[0].offset, verb+" "+s.Name, verb+" for "+s.Name) {
		set(s, args[1])
		p.explicit[verb+" "+s.Name] = true
	}
}

func parseHedgeRule(p *parser, l line) {
	args, ok := p.arguments(l, 2, 3)
	if !ok {
		return
	}
	s, known := p.findService(l, args[0])
	ratio, valid := p.parseRatio(l, args[1], 0)
	opts, ok := p.parseOptions(l, args[2:], "after")
	if !ok || !known || !valid || !p.registerOnce(l, args[0].offset, "hedge "+s.Name, "hedge for "+s.Name) {
		return
	}
	s.HedgeRatio = ratio
	p.explicit["hedge "+s.Name] = true
	if w, ok := opts["after"]; ok {
		s.HedgeQuantile, _ = p.parseQuantile(l, w)
	}
}

func parsePriorityRule(p *parser, l line) {
	if s, priority, path, ok := parseForPath(p, l, "priority", p.parsePriority); ok {
		s.Priorities = append(s.Priorities, PathPriority{Priority: priority, PathPrefix: path})
	}
}

func parseOutRule(p *parser, l line) {
	args, ok := p.arguments(l, 2, 3)
	if !ok {
		return
	}
	switch args[0].text {
	case "zone":
		p.parseOutZone(l, args)
	case "backend":
		if p.checkWordCount(l, 3) && p.checkName(l, args[1]) && p.registerOnce(l, args[1].offset, "out backend "+args[1].text, "out backend "+args[1].text) {
			p.set.BackendsOut[args[1].text] = true
		}
	default:
		kind := "backend"
		if _, ok := p.set.Zones[args[1].text]; ok {
			kind = "zone"
		}
		p.report(l, args[0].offset, l.replaceWord(args[0], kind), "%q cannot be taken out; write \"out zone NAME\" or \"out backend NAME\"", args[0].text)
	}
}

func (p *parser) parseOutZone(l line, args []word) {
	name := args[1].text
	z, ok := p.set.Zones[name]
	if !ok {
		names := make([]string, 0, len(p.set.Zones))
		for zone := range p.set.Zones {
			names = append(names, zone)
		}
		example := "zone " + name + " region=oslo " + exampleComment
		if closest := closestName(name, names); closest != "" {
			example = l.replaceWord(args[1], closest)
		}
		p.report(l, args[1].offset, example, "zone %q is not defined in this file", name)
		return
	}
	if len(args) == 3 && args[2].text != lastWord {
		p.report(l, args[2].offset, l.removeWord(args[2]), "%q is not expected here; only the word \"last\" may follow", args[2].text)
		return
	}
	if !p.registerOnce(l, args[1].offset, "out zone "+name, "out zone "+name) {
		return
	}
	z.Out = true
	p.set.Zones[name] = z
	p.outZoneLines = append(p.outZoneLines, outZoneLine{line: l, confirmed: len(args) == 3})
}

func (p *parser) parsePriority(l line, w word) (Priority, bool) {
	for _, priority := range []Priority{PriorityLow, PriorityNormal, PriorityHigh} {
		if w.text == priority.String() {
			return priority, true
		}
	}
	p.report(l, w.offset, l.replaceWord(w, "high"), "%q is not a priority; priorities are low, normal and high", w.text)
	return PriorityNormal, false
}

// parseMethods parses a list of HTTP methods, separated by commas.
func (p *parser) parseMethods(l line, w word) ([]string, bool) {
	methods := strings.Split(w.text, ",")
	for i, m := range methods {
		if !slices.Contains(httpMethods, m) {
			p.report(l, w.offset, l.replaceWord(w, "GET,HEAD"), "%q is not a method; methods are %s, separated by commas without blanks", m, strings.Join(httpMethods, ", "))
			return nil, false
		}
		if slices.Contains(methods[:i], m) {
			p.report(l, w.offset, l.replaceWord(w, strings.Join(slices.Compact(slices.Sorted(slices.Values(methods))), ",")), "the method %s is repeated", m)
			return nil, false
		}
	}
	return methods, true
}
