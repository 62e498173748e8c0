package rule

import (
	"slices"
	"strings"
	"time"
)

// verb describes one kind of rule.
type verb struct {
	example string
	defines bool // defines a name that other rules refer to
	read    func(p *parser, l line)
}

// verbs is filled by init because the readers refer back to the examples.
var verbs map[string]verb

func init() {
	verbs = map[string]verb{
		"format":     {example: exampleFormat},
		"change":     {example: "change 7 # kari: zone b is rewired tonight"},
		"zone":       {example: "zone oslo-a region=oslo # ola: first site", defines: true, read: readZone},
		"service":    {example: "service booking host=booking.example path=/ # kari: boat booking", defines: true, read: readService},
		"idempotent": {example: "idempotent booking GET,HEAD /free # kari: lookups only", read: readIdempotent},
		"limit":      {example: "limit booking slots=12 connections=240 queue=24 # ola: size of a VM", read: readLimit},
		"deadline":   {example: "deadline booking 2s # kari: rowers wait outside", read: readDeadline},
		"retry":      {example: "retry booking 10% # ola: at most a tenth more", read: readRetry},
		"hedge":      {example: "hedge booking 5% after=p95 # ola: late lookups", read: readHedge},
		"probe":      {example: "probe booking 1% # ola: measuring budget", read: readProbe},
		"cold":       {example: "cold booking 2 # ola: cold start cap", read: readCold},
		"spill":      {example: "spill booking 80% # ola: zone load that spills over", read: readSpill},
		"priority":   {example: "priority booking high /reserve # kari: reservations first", read: readPriority},
		"out":        {example: "out zone oslo-b # kari: rewiring", read: readOut},
		"pool":       {example: "pool records health=/health connections=240 cold=3s rate=35 # kari: behind routes", read: readPool},
		"route":      {example: "route lookup host=booking.example path=/free/ kind=idempotent within=500ms aim=200ms rank=2 tries=2 to=booking # kari: lookups", read: readRoute},
		"bound":      {example: "bound header=16384 body=67108864 read=3s idle=15s # ola: what callers may send", read: readBound},
		"evacuate":   {example: "evacuate oslo-c # kari: rewiring", read: readEvacuate},
	}
}

// Verbs returns the words that may start a line, in alphabetical order.
func Verbs() []string {
	names := verbNames()
	names = append(names, "format", "change")
	slices.Sort(names)
	return names
}

// Example returns a correct line for a verb, or "" for an unknown verb.
func Example(verb string) string {
	return verbs[verb].example
}

func verbNames() []string {
	var names []string
	for name, v := range verbs {
		if v.read != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// args returns the words after the verb if there are between low and high of them.
func (p *parser) args(l line, low, high int) ([]word, bool) {
	args := l.words[1:]
	if len(args) < low {
		p.bad(l, l.end(), p.completed(l), "the rule is not complete")
		return nil, false
	}
	return args, p.rest(l, high+1)
}

// completed returns l with the words that the example of its verb has and l lacks.
func (p *parser) completed(l line) string {
	sample := newLine(0, verbs[l.words[0].text].example).words
	var missing []string
	for _, w := range sample[len(l.words):] {
		if strings.HasPrefix(w.text, "/") && len(l.words) > 1 {
			w.text = samplePath(p.services[l.words[1].text])
		}
		missing = append(missing, w.text)
	}
	return l.plus(strings.Join(missing, " "))
}

// service returns the service that a rule refers to.
func (p *parser) service(l line, w word) (*Service, bool) {
	if s, ok := p.services[w.text]; ok {
		return s, true
	}
	names := make([]string, 0, len(p.services))
	for name := range p.services {
		names = append(names, name)
	}
	example := "service " + w.text + " path=/ " + exampleWho
	if near := nearest(w.text, names); near != "" {
		example = l.with(w, near)
	}
	p.bad(l, w.at, example, "service %q is not defined in this file", w.text)
	return nil, false
}

func readZone(p *parser, l line) {
	args, ok := p.args(l, 2, 2)
	if !ok || !p.name(l, args[0]) {
		return
	}
	name := args[0].text
	if p.once(l, args[0].at, "zone "+name, "zone "+name) {
		p.set.Zones[name] = Zone{Name: name, Region: p.region(l, args[1:])}
	}
}

func (p *parser) region(l line, words []word) string {
	opts, ok := p.options(l, words, "region")
	if !ok || !p.name(l, opts["region"]) {
		return ""
	}
	return opts["region"].text
}

// readService defines the name even if the rest is wrong, so that other rules for it are not refused as well.
func readService(p *parser, l line) {
	args, ok := p.args(l, 1, 3)
	if !ok || !p.name(l, args[0]) {
		return
	}
	s := &Service{Name: args[0].text, PathPrefix: "/"}
	if !p.once(l, args[0].at, "service "+s.Name, "service "+s.Name) {
		return
	}
	p.services[s.Name] = s
	opts, ok := p.options(l, args[1:], "host", "path")
	if w, given := opts["host"]; given {
		ok = p.host(l, w) && ok
		s.Host = w.text
	}
	if w, given := opts["path"]; given {
		ok = p.path(l, nil, w) && ok
		s.PathPrefix = w.text
	}
	if ok {
		p.once(l, args[0].at, "route "+s.Host+s.PathPrefix, "the route host="+s.Host+" path="+s.PathPrefix)
	}
}

func readIdempotent(p *parser, l line) {
	args, ok := p.args(l, 3, 3)
	if !ok {
		return
	}
	s, known := p.service(l, args[0])
	methods, valid := p.methods(l, args[1])
	if !p.path(l, s, args[2]) || !known || !valid {
		return
	}
	if p.once(l, args[2].at, "idempotent "+s.Name+" "+args[2].text, "idempotent for "+s.Name+" "+args[2].text) {
		s.IdempotentRequests = append(s.IdempotentRequests, RequestMatch{Methods: methods, PathPrefix: args[2].text})
	}
}

func readLimit(p *parser, l line) {
	args, ok := p.args(l, 2, 4)
	if !ok {
		return
	}
	s, known := p.service(l, args[0])
	opts, ok := p.options(l, args[1:], "slots", "connections", "queue")
	if !ok || !known || !p.once(l, args[0].at, "limit "+s.Name, "limit for "+s.Name) {
		return
	}
	fields := map[string]*int{"slots": &s.Slots, "connections": &s.MaxConnections, "queue": &s.QueueLength}
	for key, w := range opts {
		low := 1
		if key == "queue" {
			low = 0
		}
		if n, ok := p.count(l, w, low); ok {
			*fields[key] = n
			p.named[key+" "+s.Name] = true
		}
	}
}

func readDeadline(p *parser, l line) {
	p.single(l, func(s *Service, w word) bool {
		d, ok := p.duration(l, w)
		s.Deadline = d
		return ok
	})
}

func readRetry(p *parser, l line) {
	p.single(l, func(s *Service, w word) (ok bool) {
		s.RetryRatio, ok = p.ratio(l, w, 0)
		return ok
	})
}

func readProbe(p *parser, l line) {
	p.single(l, func(s *Service, w word) (ok bool) {
		s.ProbeShare, ok = p.ratio(l, w, 0)
		return ok
	})
}

func readSpill(p *parser, l line) {
	p.single(l, func(s *Service, w word) (ok bool) {
		s.SpillThreshold, ok = p.ratio(l, w, minSpill)
		return ok
	})
}

func readCold(p *parser, l line) {
	p.single(l, func(s *Service, w word) (ok bool) {
		s.ColdSlots, ok = p.count(l, w, 1)
		return ok
	})
}

// single reads rules of the form "verb service value".
func (p *parser) single(l line, set func(s *Service, w word) bool) {
	args, ok := p.args(l, 2, 2)
	if !ok {
		return
	}
	verb := l.words[0].text
	s, known := p.service(l, args[0])
	valid := set(&Service{}, args[1]) // reports a wrong value also when the service is unknown
	if known && valid && p.once(l, args[0].at, verb+" "+s.Name, verb+" for "+s.Name) {
		set(s, args[1])
		p.named[verb+" "+s.Name] = true
	}
}

func readHedge(p *parser, l line) {
	args, ok := p.args(l, 2, 3)
	if !ok {
		return
	}
	s, known := p.service(l, args[0])
	ratio, valid := p.ratio(l, args[1], 0)
	opts, ok := p.options(l, args[2:], "after")
	if !ok || !known || !valid || !p.once(l, args[0].at, "hedge "+s.Name, "hedge for "+s.Name) {
		return
	}
	s.HedgeRatio = ratio
	p.named["hedge "+s.Name] = true
	if w, ok := opts["after"]; ok {
		s.HedgeQuantile, _ = p.quantile(l, w)
	}
}

func readPriority(p *parser, l line) {
	args, ok := p.args(l, 3, 3)
	if !ok {
		return
	}
	s, known := p.service(l, args[0])
	level, valid := p.level(l, args[1])
	if !p.path(l, s, args[2]) || !known || !valid {
		return
	}
	if p.once(l, args[2].at, "priority "+s.Name+" "+args[2].text, "priority for "+s.Name+" "+args[2].text) {
		s.Priorities = append(s.Priorities, PathPriority{Priority: level, PathPrefix: args[2].text})
	}
}

func readOut(p *parser, l line) {
	args, ok := p.args(l, 2, 3)
	if !ok {
		return
	}
	switch args[0].text {
	case "zone":
		p.outZone(l, args)
	case "backend":
		if p.rest(l, 3) && p.name(l, args[1]) && p.once(l, args[1].at, "out backend "+args[1].text, "out backend "+args[1].text) {
			p.set.BackendsOut[args[1].text] = true
		}
	default:
		kind := "backend"
		if _, ok := p.set.Zones[args[1].text]; ok {
			kind = "zone"
		}
		p.bad(l, args[0].at, l.with(args[0], kind), "%q cannot be taken out; write \"out zone NAME\" or \"out backend NAME\"", args[0].text)
	}
}

func (p *parser) outZone(l line, args []word) {
	name := args[1].text
	z, ok := p.set.Zones[name]
	if !ok {
		names := make([]string, 0, len(p.set.Zones))
		for one := range p.set.Zones {
			names = append(names, one)
		}
		example := "zone " + name + " region=oslo " + exampleWho
		if near := nearest(name, names); near != "" {
			example = l.with(args[1], near)
		}
		p.bad(l, args[1].at, example, "zone %q is not defined in this file", name)
		return
	}
	if len(args) == 3 && args[2].text != lastWord {
		p.bad(l, args[2].at, l.without(args[2]), "%q is not expected here; only the word \"last\" may follow", args[2].text)
		return
	}
	if !p.once(l, args[1].at, "out zone "+name, "out zone "+name) {
		return
	}
	z.Out = true
	p.set.Zones[name] = z
	p.outs = append(p.outs, out{line: l, last: len(args) == 3})
}

// level reads a priority.
func (p *parser) level(l line, w word) (Priority, bool) {
	for _, level := range []Priority{PriorityLow, PriorityNormal, PriorityHigh} {
		if w.text == level.String() {
			return level, true
		}
	}
	p.bad(l, w.at, l.with(w, "high"), "%q is not a priority; priorities are low, normal and high", w.text)
	return PriorityNormal, false
}

// methods reads a list of HTTP methods.
func (p *parser) methods(l line, w word) ([]string, bool) {
	methods := strings.Split(w.text, ",")
	for i, m := range methods {
		if !slices.Contains(httpMethods, m) {
			p.bad(l, w.at, l.with(w, "GET,HEAD"), "%q is not a method; methods are %s, separated by commas without blanks", m, strings.Join(httpMethods, ", "))
			return nil, false
		}
		if slices.Contains(methods[:i], m) {
			p.bad(l, w.at, l.with(w, strings.Join(slices.Compact(slices.Sorted(slices.Values(methods))), ",")), "the method %s is repeated", m)
			return nil, false
		}
	}
	return methods, true
}

var httpMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}

// lastWord confirms that no zone stays in service.
const lastWord = "last"

// MaxDeadline is the longest deadline of a service.
const MaxDeadline = time.Hour
