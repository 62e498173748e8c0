package rule

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Options of the traffic rules; a test compares them with what the renderer writes.
var (
	routeOptions = []string{"host", "path", "kind", "within", "aim", "rank", "tries", "to", "more"}
	poolOptions  = []string{"health", "connections", "cold", "rate", "more"}
	boundOptions = []string{"header", "body", "read", "idle", "more"}
)

// defaultPart is the weight of a service written without one.
const defaultPart = 1

// words reads the options of a traffic rule; a missing one is empty.
func (p *parser) traffic(l line, words []word, keys []string) (map[string]word, bool) {
	opts, ok := p.options(l, words, keys...)
	for key, w := range opts {
		w.text = unescape(w.text)
		opts[key] = w
	}
	return opts, ok
}

func readRoute(p *parser, l line) {
	args, ok := p.args(l, 2, len(routeOptions)+1)
	if !ok {
		return
	}
	name := unescape(args[0].text)
	opts, ok := p.traffic(l, args[1:], routeOptions)
	if !ok || !p.once(l, args[0].at, "route name "+name, "the route "+name) {
		return
	}
	r := Route{
		Name: name, Host: opts["host"].text, PathPrefix: opts["path"].text, UnknownFields: opts["more"].text,
		Timeout: p.optional(l, opts["within"]), LatencyObjective: p.optional(l, opts["aim"]),
		Priority: p.number(l, opts["rank"]), MaxTries: p.number(l, opts["tries"]),
	}
	if kind, given := opts["kind"]; given {
		if r.Kind, ok = ParseRequestKind(kind.text); !ok {
			p.bad(l, kind.at, verbs["route"].example, "%q is not a kind; kinds are unsafe, idempotent and download", kind.text)
		}
	}
	p.target(l, args, &r)
	r.Services, r.Weighted = p.parts(l, opts["to"])
	p.set.Routes = append(p.set.Routes, r)
}

// target checks where a route leads from.
func (p *parser) target(l line, args []word, r *Route) {
	if r.Host == "" {
		p.bad(l, args[0].at, verbs["route"].example, "a route needs host=")
		return
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		p.bad(l, args[0].at, verbs["route"].example, "the path of a route begins and ends with a slash")
		return
	}
	p.once(l, args[0].at, "route "+r.Host+" "+r.PathPrefix, "the route for host="+r.Host+" path="+r.PathPrefix)
}

// parts reads to=NAME or to=NAME:WEIGHT,NAME:WEIGHT; commas and colons within names are escaped.
func (p *parser) parts(l line, w word) (parts []WeightedService, split bool) {
	raw, _, _ := strings.Cut(l.text[w.at:], " ")
	for one := range strings.SplitSeq(raw, ",") {
		name, weight, weighted := cutLast(one, ":")
		part := WeightedService{Service: unescape(name), Weight: defaultPart}
		if weighted {
			split = true
			n, err := strconv.ParseFloat(weight, 64)
			if err != nil || !(n >= 0) {
				p.bad(l, w.at, verbs["route"].example, "%q is not a weight; it is a number from 0", weight)
			}
			part.Weight = n
		}
		if part.Service == "" || w.text == "" {
			p.bad(l, l.end(), verbs["route"].example, "a route needs to=SERVICE")
			return nil, false
		}
		parts = append(parts, part)
	}
	p.targets = append(p.targets, target{line: l, at: w.at, parts: parts})
	return parts, split
}

func cutLast(text, sep string) (before, after string, found bool) {
	i := strings.LastIndex(text, sep)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+len(sep):], true
}

// target is where a route leads, checked once every service is known.
type target struct {
	line  line
	at    int
	parts []WeightedService
}

// checkTargets reports routes to services that no line defines, and routes without any weight.
func (p *parser) checkTargets() {
	for _, t := range p.targets {
		sum := 0.0
		for _, part := range t.parts {
			sum += part.Weight
			_, known := p.services[part.Service]
			pool := slices.ContainsFunc(p.set.Pools, func(one Pool) bool { return one.Name == part.Service })
			if !known && !pool {
				p.bad(t.line, t.at, "", "service %q is not defined in this file", part.Service)
			}
		}
		if sum <= 0 {
			p.bad(t.line, t.at, "", "the weights of the route add up to 0")
		}
	}
}

func readPool(p *parser, l line) {
	args, ok := p.args(l, 1, len(poolOptions)+1)
	if !ok {
		return
	}
	name := unescape(args[0].text)
	opts, ok := p.traffic(l, args[1:], poolOptions)
	if !ok || !p.once(l, args[0].at, "service "+name, "service "+name) {
		return
	}
	p.set.Pools = append(p.set.Pools, Pool{
		Name: name, HealthPath: opts["health"].text, MaxConnections: p.number(l, opts["connections"]),
		ColdPeriod: p.optional(l, opts["cold"]), ColdRate: p.decimal(l, opts["rate"]), UnknownFields: opts["more"].text,
	})
}

func readBound(p *parser, l line) {
	args, ok := p.args(l, 0, len(boundOptions))
	if !ok {
		return
	}
	opts, ok := p.traffic(l, args, boundOptions)
	if !ok || !p.once(l, l.words[0].at, "bound", "the bound") {
		return
	}
	p.set.CallerLimits = &CallerLimits{
		MaxHeaderBytes: p.number(l, opts["header"]), MaxBodyBytes: p.number(l, opts["body"]),
		HeaderTimeout: p.optional(l, opts["read"]), IdleTimeout: p.optional(l, opts["idle"]), UnknownFields: opts["more"].text,
	}
}

// readEvacuate takes a zone out that needs no zone line: an order of the change interface.
func readEvacuate(p *parser, l line) {
	args, ok := p.args(l, 1, 1)
	if !ok || !p.once(l, args[0].at, "evacuate "+args[0].text, "evacuate "+args[0].text) {
		return
	}
	p.set.EvacuatedZones = append(p.set.EvacuatedZones, unescape(args[0].text))
}

// optional reads a duration that may be missing.
func (p *parser) optional(l line, w word) time.Duration {
	if w.text == "" {
		return 0
	}
	d, err := time.ParseDuration(w.text)
	if err != nil || d < 0 {
		p.bad(l, w.at, "", "%q is not a time; it is a number with ms, s, m or h", w.text)
	}
	return d
}

// number reads a whole number that may be missing.
func (p *parser) number(l line, w word) int {
	if w.text == "" {
		return 0
	}
	n, err := strconv.Atoi(w.text)
	if err != nil {
		p.bad(l, w.at, "", "%q is not a whole number", w.text)
	}
	return n
}

// decimal reads a number that may be missing.
func (p *parser) decimal(l line, w word) float64 {
	if w.text == "" {
		return 0
	}
	n, err := strconv.ParseFloat(w.text, 64)
	if err != nil {
		p.bad(l, w.at, "", "%q is not a number", w.text)
	}
	return n
}
