package rule

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Options of the traffic rules. Tests that parse the rules which ruleText writes fail if an option is missing here.
var (
	routeOptions       = []string{"host", "path", "kind", "within", "aim", "rank", "tries", "to", "open", "more"}
	poolOptions        = []string{"health", "connections", "cold", "rate", "more"}
	callerLimitOptions = []string{"header", "body", "read", "idle", "more"}
)

// defaultWeight is the weight of a service for which the rule gives none.
const defaultWeight = 1

// parseTrafficOptions parses options whose values are escaped; an option that is not given is missing from the result.
func (p *parser) parseTrafficOptions(l line, words []word, keys []string) (map[string]word, bool) {
	opts, ok := p.parseOptions(l, words, keys...)
	for key, w := range opts {
		w.text = unescape(w.text)
		opts[key] = w
	}
	return opts, ok
}

func parseRouteRule(p *parser, l line) {
	args, ok := p.arguments(l, 2, len(routeOptions)+1)
	if !ok {
		return
	}
	name := unescape(args[0].text)
	opts, ok := p.parseTrafficOptions(l, args[1:], routeOptions)
	if !ok || !p.registerOnce(l, args[0].offset, "route name "+name, "the route "+name) {
		return
	}
	r := Route{
		Name:             name,
		Host:             opts["host"].text,
		PathPrefix:       opts["path"].text,
		UnknownFields:    opts["more"].text,
		Timeout:          p.optionalDuration(l, opts["within"]),
		LatencyObjective: p.optionalDuration(l, opts["aim"]),
		Priority:         p.optionalInt(l, opts["rank"]),
		MaxTries:         p.optionalInt(l, opts["tries"]),
	}
	if kind, ok := opts["kind"]; ok {
		if r.Kind, ok = ParseRequestKind(kind.text); !ok {
			p.report(l, kind.offset, verbs["route"].example, "%q is not a kind; kinds are unsafe, idempotent, download and upload", kind.text)
		}
	}
	r.Access = p.parseAccess(l, opts["open"])
	p.checkRouteMatch(l, args, &r)
	r.Services, r.Weighted = p.parseRouteServices(l, opts["to"])
	p.set.Routes = append(p.set.Routes, r)
}

// parseAccess parses open=yes or open=no; a missing one is AccessUnset.
func (p *parser) parseAccess(l line, w word) Access {
	for access := AccessUnset; access <= AccessOpen; access++ {
		if w.text == access.String() {
			return access
		}
	}
	p.report(l, w.offset, verbs["route"].example, "%q is not an access; write open=yes or open=no", w.text)
	return AccessUnset
}

// checkRouteMatch checks the host and the path prefix of a route.
func (p *parser) checkRouteMatch(l line, args []word, r *Route) {
	if r.Host == "" {
		p.report(l, args[0].offset, verbs["route"].example, "a route needs host=")
		return
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		p.report(l, args[0].offset, verbs["route"].example, "the path of a route begins and ends with a slash")
		return
	}
	p.registerOnce(l, args[0].offset, "route "+r.Host+" "+r.PathPrefix, "the route for host="+r.Host+" path="+r.PathPrefix)
}

// parseRouteServices parses to=NAME or to=NAME:WEIGHT,NAME:WEIGHT. It reads the escaped text from the line, because
// commas and colons within names are escaped.
func (p *parser) parseRouteServices(l line, w word) (services []WeightedService, weighted bool) {
	escaped, _, _ := strings.Cut(l.text[w.offset:], " ")
	for item := range strings.SplitSeq(escaped, ",") {
		name, weight, hasWeight := cutLast(item, ":")
		service := WeightedService{Service: unescape(name), Weight: defaultWeight}
		if hasWeight {
			weighted = true
			n, err := strconv.ParseFloat(weight, 64)
			if err != nil || !(n >= 0) {
				p.report(l, w.offset, verbs["route"].example, "%q is not a weight; it is a number from 0", weight)
			}
			service.Weight = n
		}
		if service.Service == "" || w.text == "" {
			p.report(l, l.end(), verbs["route"].example, "a route needs to=SERVICE")
			return nil, false
		}
		services = append(services, service)
	}
	p.routeTargets = append(p.routeTargets, routeTarget{line: l, offset: w.offset, services: services})
	return services, weighted
}

// cutLast is strings.Cut at the last sep.
func cutLast(text, sep string) (before, after string, found bool) {
	i := strings.LastIndex(text, sep)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+len(sep):], true
}

// routeTarget holds the services of a route until all services are known.
type routeTarget struct {
	line     line
	offset   int
	services []WeightedService
}

// checkRouteServices reports routes to services that no line defines, and routes whose weights are all 0.
func (p *parser) checkRouteServices() {
	for _, t := range p.routeTargets {
		totalWeight := 0.0
		for _, s := range t.services {
			totalWeight += s.Weight
			_, isService := p.services[s.Service]
			isPool := slices.ContainsFunc(p.set.Pools, func(pool Pool) bool { return pool.Name == s.Service })
			if !isService && !isPool {
				p.report(t.line, t.offset, "", "service %q is not defined in this file", s.Service)
			}
		}
		if totalWeight <= 0 {
			p.report(t.line, t.offset, "", "the weights of the route add up to 0")
		}
	}
}

func parsePoolRule(p *parser, l line) {
	args, ok := p.arguments(l, 1, len(poolOptions)+1)
	if !ok {
		return
	}
	name := unescape(args[0].text)
	opts, ok := p.parseTrafficOptions(l, args[1:], poolOptions)
	if !ok || !p.registerOnce(l, args[0].offset, "service "+name, "service "+name) {
		return
	}
	p.set.Pools = append(p.set.Pools, Pool{
		Name:           name,
		HealthPath:     opts["health"].text,
		MaxConnections: p.optionalInt(l, opts["connections"]),
		ColdPeriod:     p.optionalDuration(l, opts["cold"]),
		ColdRate:       p.optionalFloat(l, opts["rate"]),
		UnknownFields:  opts["more"].text,
	})
}

func parseBoundRule(p *parser, l line) {
	args, ok := p.arguments(l, 0, len(callerLimitOptions))
	if !ok {
		return
	}
	opts, ok := p.parseTrafficOptions(l, args, callerLimitOptions)
	if !ok || !p.registerOnce(l, l.words[0].offset, "bound", "the bound") {
		return
	}
	p.set.CallerLimits = &CallerLimits{
		MaxHeaderBytes: p.optionalInt(l, opts["header"]),
		MaxBodyBytes:   p.optionalInt(l, opts["body"]),
		HeaderTimeout:  p.optionalDuration(l, opts["read"]),
		IdleTimeout:    p.optionalDuration(l, opts["idle"]),
		UnknownFields:  opts["more"].text,
	}
}

// parseEvacuateRule takes a zone out of service. The admin API writes this rule; the zone needs no zone rule.
func parseEvacuateRule(p *parser, l line) {
	args, ok := p.arguments(l, 1, 1)
	if !ok || !p.registerOnce(l, args[0].offset, "evacuate "+args[0].text, "evacuate "+args[0].text) {
		return
	}
	p.set.EvacuatedZones = append(p.set.EvacuatedZones, unescape(args[0].text))
}

// optionalDuration parses a duration; a missing one is 0.
func (p *parser) optionalDuration(l line, w word) time.Duration {
	if w.text == "" {
		return 0
	}
	d, err := time.ParseDuration(w.text)
	if err != nil || d < 0 {
		p.report(l, w.offset, "", "%q is not a time; it is a number with ms, s, m or h", w.text)
	}
	return d
}

// optionalInt parses a whole number; a missing one is 0.
func (p *parser) optionalInt(l line, w word) int {
	if w.text == "" {
		return 0
	}
	n, err := strconv.Atoi(w.text)
	if err != nil {
		p.report(l, w.offset, "", "%q is not a whole number", w.text)
	}
	return n
}

// optionalFloat parses a number; a missing one is 0.
func (p *parser) optionalFloat(l line, w word) float64 {
	if w.text == "" {
		return 0
	}
	n, err := strconv.ParseFloat(w.text, 64)
	if err != nil {
		p.report(l, w.offset, "", "%q is not a number", w.text)
	}
	return n
}
