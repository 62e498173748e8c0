package lint

import (
	"cmp"
	"slices"
	"strings"

	"github.com/samber/lo"

	"pollenhill.example/core/state/rule"
)

// checkRoute finds routes that no request reaches, and times, tries and access that contradict the rest of the rules.
func (c *checker) checkRoute(r *rule.Route) {
	const verb = "route"
	if other, ok := c.set.RouteFor(r.Host, r.PathPrefix); ok && other.Name != r.Name {
		c.report(NeverMatches, verb, r.Name, "route %s has the same path and, as hosts are compared, the same host", other.Name)
	}
	if i := strings.IndexFunc(r.PathPrefix, neverInPath); i >= 0 {
		c.report(NeverMatches, verb, r.Name, "no request has a path with %q", r.PathPrefix[i:i+1])
	}
	for _, part := range r.Services {
		if part.Weight == 0 {
			c.report(NeverMatches, verb, r.Name, "%s has weight 0 and gets no request", part.Service)
		}
	}
	timeout := cmp.Or(r.Timeout, rule.DefaultDeadline)
	if r.LatencyObjective > timeout {
		c.report(Contradicts, verb, r.Name, "aim=%v is longer than within=%v, after which no request waits", r.LatencyObjective, timeout)
	}
	if r.Access == rule.AccessOpen && !c.set.RequiresKeys() {
		c.report(Contradicts, verb, r.Name, "open=yes has no effect: without accounts no route needs a key")
	}
}

// neverInPath reports whether a character cannot stand in the path of a request: the query, the fragment and everything that
// has to be percent-encoded.
func neverInPath(r rune) bool {
	return r <= ' ' || r > '~' || r == '?' || r == '#'
}

func (c *checker) checkPool(p rule.Pool) {
	const verb = "pool"
	used := lo.SomeBy(c.set.Routes, func(r rule.Route) bool {
		return slices.ContainsFunc(r.Services, func(part rule.WeightedService) bool { return part.Service == p.Name })
	})
	if !used {
		c.report(NeverMatches, verb, p.Name, "no route leads to it, and a pool gets requests only through routes")
	}
	if p.ColdPeriod > 0 && p.ColdRate > 0 && p.ColdRate*p.ColdPeriod.Seconds() < 1 {
		c.report(Contradicts, verb, p.Name, "rate=%v allows no request within cold=%v", p.ColdRate, p.ColdPeriod)
	}
}

// checkService checks a service that is not a pool.
func (c *checker) checkService(s rule.Service) {
	const verb = "service"
	if _, pool := c.set.Pool(s.Name); pool {
		return
	}
	if s.HedgeRatio > s.RetryRatio {
		c.report(Contradicts, verb, s.Name, "hedges may be %v%% of the calls, and all extra attempts only %v%%", percent(s.HedgeRatio), percent(s.RetryRatio))
	}
	if strings.HasSuffix(s.PathPrefix, "/") && s.Host != "" {
		if r, ok := c.set.RouteFor(s.Host, s.PathPrefix); ok && r.PathPrefix == s.PathPrefix {
			c.report(NeverMatches, verb, s.Name, "route %s has its host and path, and routes go first", r.Name)
		}
	}
}

// percent returns a ratio in percent, without the digits that floating point adds.
func percent(r rule.Ratio) float64 {
	const digits = 1000
	return float64(int(float64(r)*100*digits+0.5)) / digits
}

func (c *checker) checkAccount(a rule.Account) {
	const verb = "account"
	if len(a.Keys) == 0 {
		c.report(NeverMatches, verb, a.Name, "it has no key, so no request belongs to it")
	}
	needsKey := func(r rule.Route) bool { return r.Access != rule.AccessOpen }
	if len(c.set.Routes) > 0 && !lo.SomeBy(c.set.Routes, needsKey) {
		c.report(NeverMatches, verb, a.Name, "every route is open, so no request needs its key")
	}
	if a.Burst > 0 && !a.Limited() {
		c.report(Contradicts, verb, a.Name, "burst=%v has no effect without quota=", a.Burst)
	}
	if a.Limited() && a.Rate+a.Burst < 1 {
		c.report(Contradicts, verb, a.Name, "quota=%v and burst=%v together allow less than one request", a.Rate, a.Burst)
	}
}

func (c *checker) checkRollout(r rule.Rollout) {
	if _, ok := c.set.Service(r.Service); !ok {
		c.report(NeverMatches, "rollout", r.Service, "no line defines the service")
	}
}
