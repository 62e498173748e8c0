package admission

import (
	"math"
	"time"
)

const (
	recentWindow = time.Second      // time constant of recent shares
	usualWindow  = 30 * time.Second // time constant of the usual load
	// maxTracked is the number of routes or accounts of which a back end keeps counts.
	maxTracked = 512
	// forgottenCount is the decayed count below which a route or account is dropped if there are too many.
	forgottenCount = 0.05
	// excessFactor is the multiple of its usual rate up to which an account competes with the others.
	excessFactor = 1.5
	// minUsualPerSecond is a rate up to which no account exceeds its usual load: a few requests of a small account keep
	// nobody waiting.
	minUsualPerSecond = 2.0
	// excessBurst is the time for which an account may save up the rate that it may send, and minExcessBurst the least number of
	// requests that it may save up.
	excessBurst    = 500 * time.Millisecond
	minExcessBurst = 4.0
	// neglectedShare is the part of the mean share of starts below which a route is served less than others.
	neglectedShare = 0.4
	// minShareArrivals is the number of recent arrivals of a route before its share of starts is known.
	minShareArrivals = 1.0
)

// decayingCount is a count of events that falls by the factor e within its window.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c decayingCount) read(now time.Time, window time.Duration) float64 {
	return c.value * math.Exp(-now.Sub(c.at).Seconds()/window.Seconds())
}

func (c *decayingCount) add(now time.Time, window time.Duration) {
	*c = decayingCount{value: c.read(now, window) + 1, at: now}
}

// accountLoad finds requests by which accounts exceed their usual load of a back end.
type accountLoad struct {
	since    time.Time // first arrival
	accounts map[string]*accountArrivals
}

// accountArrivals is the usual load of an account, and how many of its requests may arrive now without exceeding it.
type accountArrivals struct {
	usual   decayingCount // requests that did not exceed it
	allowed float64
	at      time.Time // when allowed was true
}

// exceedsUsual counts the arrival of a request and reports whether its account then exceeds its usual load. An account
// that sends more for longer gets a higher usual load within some usualWindows.
func (l *accountLoad) exceedsUsual(now time.Time, account string) bool {
	if account == "" {
		return false
	}
	a := l.account(now, account)
	if a == nil {
		return false
	}
	if now.Sub(l.since) >= 2*recentWindow {
		perSecond := max(excessFactor*l.usualPerSecond(now, a), minUsualPerSecond)
		a.allowed = min(a.allowed+perSecond*now.Sub(a.at).Seconds(), max(minExcessBurst, perSecond*excessBurst.Seconds()))
		a.at = now
		if a.allowed < 1 {
			return true
		}
		a.allowed--
	}
	a.usual.add(now, usualWindow)
	return false
}

// account returns the state of an account, or nil if there are too many.
func (l *accountLoad) account(now time.Time, name string) *accountArrivals {
	if l.accounts == nil {
		l.since, l.accounts = now, map[string]*accountArrivals{}
	}
	a, ok := l.accounts[name]
	if ok {
		return a
	}
	if len(l.accounts) >= maxTracked {
		l.dropIdle(now)
	}
	if len(l.accounts) >= maxTracked {
		return nil
	}
	a = &accountArrivals{allowed: minExcessBurst, at: now}
	l.accounts[name] = a
	return a
}

func (l *accountLoad) dropIdle(now time.Time) {
	for name, a := range l.accounts {
		if a.usual.read(now, usualWindow) < forgottenCount {
			delete(l.accounts, name)
		}
	}
}

// usualPerSecond returns the usual rate of an account. The count holds only what came since the first arrival of any.
func (l *accountLoad) usualPerSecond(now time.Time, a *accountArrivals) float64 {
	observed := usualWindow.Seconds() * (1 - math.Exp(-now.Sub(l.since).Seconds()/usualWindow.Seconds()))
	return a.usual.read(now, usualWindow) / observed
}

// routeShares finds routes of which a smaller share is started than of the others.
type routeShares struct {
	total  routeCounts
	routes map[string]*routeCounts
}

// routeCounts counts the arrivals and starts of a route.
type routeCounts struct{ arrivals, starts decayingCount }

func (s *routeShares) counts(route string) *routeCounts {
	c, ok := s.routes[route]
	if ok {
		return c
	}
	if s.routes == nil || len(s.routes) >= maxTracked {
		s.routes = map[string]*routeCounts{}
	}
	c = &routeCounts{}
	s.routes[route] = c
	return c
}

func (s *routeShares) arrived(now time.Time, route string) {
	s.total.arrivals.add(now, recentWindow)
	s.counts(route).arrivals.add(now, recentWindow)
}

func (s *routeShares) started(now time.Time, route string) {
	s.total.starts.add(now, recentWindow)
	s.counts(route).starts.add(now, recentWindow)
}

// isNeglected reports whether a route gets clearly fewer of its requests started than all routes together.
func (s *routeShares) isNeglected(now time.Time, route string) bool {
	c := s.counts(route)
	if c.arrivals.read(now, recentWindow) < minShareArrivals {
		return true
	}
	return c.share(now) < neglectedShare*s.total.share(now)
}

// share returns the starts as a share of the arrivals.
func (c routeCounts) share(now time.Time) float64 {
	arrivals := c.arrivals.read(now, recentWindow)
	if arrivals == 0 {
		return 0
	}
	return c.starts.read(now, recentWindow) / arrivals
}
