package rule

import (
	"strings"
	"time"
)

// Route sends the requests for a host and path prefix to a service, or splits them by weight between several.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string `json:"Path"` // begins and ends with a slash
	Kind             RequestKind
	Timeout          time.Duration     `json:"Within"` // longest time for a request; zero: DefaultDeadline
	LatencyObjective time.Duration     `json:"Aim"`    // latency up to which a response is of full use; not a limit
	Priority         int               `json:"Rank"`   // 0 is the most urgent
	MaxTries         int               `json:"Tries"`  // limit on the back ends that one request is sent to; zero: no limit
	Services         []WeightedService `json:"Parts"`
	Weighted         bool              `json:"Split"` // the rule gives weights, even if it names one service only
	Access           Access            `json:"Open,omitempty"`
	UnknownFields    string            `json:"More,omitempty"` // JSON object of the fields in the admin API that this version does not know
}

// WeightedService is a service of a Route and its weight relative to the other services of the Route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Pool is a service that gets requests only through routes.
type Pool struct {
	Name           string
	HealthPath     string        `json:"Health"`
	MaxConnections int           `json:"Connections"` // to one back end
	ColdPeriod     time.Duration `json:"Cold"`        // time after its start in which a back end is cold
	ColdRate       float64       `json:"Rate"`        // requests per second to a cold back end; zero: no limit
	UnknownFields  string        `json:"More,omitempty"`
}

// CallerLimits limits what callers may send to a node; zero stands for the limit in the settings of the node.
type CallerLimits struct {
	MaxHeaderBytes int           `json:"Header"`
	MaxBodyBytes   int           `json:"Body"`
	HeaderTimeout  time.Duration `json:"Read"` // to receive a request header
	IdleTimeout    time.Duration `json:"Idle"` // for the next request of a connection
	UnknownFields  string        `json:"More,omitempty"`
}

// TrafficRules holds the rules that programs change through the admin API: routes, pools, accounts and caller limits.
type TrafficRules struct {
	Routes       []Route
	Pools        []Pool
	CallerLimits *CallerLimits
	Accounts     []Account
}

// Bounds on extra attempts per call to a pool. They are high enough to make up for a back end that becomes slow or fails
// part of its requests, and low enough not to add load to a service without capacity.
const (
	poolRetryRatio = Ratio(0.18)
	poolHedgeRatio = Ratio(0.1)
)

type routeKey struct{ host, pathPrefix string }

// RouteFor returns the route for the Host header and the request target of a request: among the routes of the host, the
// one with the longest path prefix. It returns false if there is none.
func (s *Set) RouteFor(host, path string) (Route, bool) {
	host, path = normalizeHost(host), withoutQuery(path)
	for end := strings.LastIndexByte(path, '/') + 1; end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r, ok := s.routesByPrefix[routeKey{host, path[:end]}]; ok {
			return *r, true
		}
	}
	return Route{}, false
}

// TrafficRules returns the routes, pools, accounts and caller limits in the order of their lines.
func (s *Set) TrafficRules() TrafficRules {
	return TrafficRules{Routes: s.Routes, Pools: s.Pools, CallerLimits: s.CallerLimits, Accounts: s.Accounts}
}

// Pool returns a pool by name, or false if there is none.
func (s *Set) Pool(name string) (Pool, bool) {
	p, ok := s.poolsByName[name]
	return p, ok
}

// RoutePriority returns the priority number of a route by its name, 0 for an unknown one.
func (s *Set) RoutePriority(name string) int {
	if r, ok := s.routesByName[name]; ok {
		return r.Priority
	}
	return 0
}

// indexTrafficRules indexes the routes and pools, and adds every pool to the services. The concurrency limit of a pool is
// the one that its back ends announce, so the rules set no lower one.
func (s *Set) indexTrafficRules() {
	s.routesByPrefix = make(map[routeKey]*Route, len(s.Routes))
	s.routesByName = make(map[string]*Route, len(s.Routes))
	for i := range s.Routes {
		r := &s.Routes[i]
		s.routesByPrefix[routeKey{normalizeHost(r.Host), r.PathPrefix}] = r
		s.routesByName[r.Name] = r
	}
	s.poolsByName = make(map[string]Pool, len(s.Pools))
	for _, p := range s.Pools {
		s.poolsByName[p.Name] = p
		service := Service{
			Name:           p.Name,
			Slots:          maxCount,
			MaxConnections: p.MaxConnections,
			RetryRatio:     poolRetryRatio,
			HedgeRatio:     poolHedgeRatio,
		}.withDefaults(nil)
		service.defaultsApplied = true
		s.Services[p.Name] = service
	}
}
