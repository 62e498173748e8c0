package rule

import (
	"strings"
	"time"
)

// Route leads the requests for a host below a path prefix to a service, or by weight to several.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string `json:"Path"` // prefix that begins and ends with a slash
	Kind             RequestKind
	Timeout          time.Duration     `json:"Within"` // longest time that a request is kept waiting; zero: the deadline of the service
	LatencyObjective time.Duration     `json:"Aim"`    // time within which an answer is of full use
	Priority         int               `json:"Rank"`   // 0 is the most urgent
	MaxTries         int               `json:"Tries"`  // back ends that one request may be sent to; zero: no limit of the route
	Services         []WeightedService `json:"Parts"`
	Weighted         bool              `json:"Split"`          // Parts were written with weights
	UnknownFields    string            `json:"More,omitempty"` // fields of the change interface that the rules do not know, as JSON
}

// WeightedService is the share of a route that one service gets.
type WeightedService struct {
	Service string
	Weight  float64
}

// Pool is a service that only routes lead to.
type Pool struct {
	Name           string
	HealthPath     string        `json:"Health"`      // path of the health check
	MaxConnections int           `json:"Connections"` // that one back end takes
	ColdPeriod     time.Duration `json:"Cold"`
	ColdRate       float64       `json:"Rate"` // requests a second that a cold back end takes; zero: no limit
	UnknownFields  string        `json:"More,omitempty"`
}

// CallerLimits limits what callers may send to a node; zero values leave the limits of its settings.
type CallerLimits struct {
	MaxHeaderBytes int           `json:"Header"`
	MaxBodyBytes   int           `json:"Body"`
	HeaderTimeout  time.Duration `json:"Read"` // for a request header
	IdleTimeout    time.Duration `json:"Idle"` // of a connection without a request
	UnknownFields  string        `json:"More,omitempty"`
}

// TrafficRules is what programs change through the change interface: routes, pools and bounds.
type TrafficRules struct {
	Routes       []Route
	Pools        []Pool
	CallerLimits *CallerLimits
}

// Extra attempts per call of a pool: enough that a back end which turns slow or fails part of its requests is made up
// for, and few enough that a service without capacity is not loaded further.
const (
	poolRetry = Ratio(0.18)
	poolHedge = Ratio(0.1)
)

// hostPath finds a route.
type hostPath struct{ host, path string }

// RouteFor returns the route for the Host header and path of a request: the longest prefix of its host.
func (s *Set) RouteFor(host, path string) (Route, bool) {
	host, path = bareHost(host), barePath(path)
	for end := strings.LastIndexByte(path, '/') + 1; end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r, ok := s.lookup[hostPath{host, path[:end]}]; ok {
			return *r, true
		}
	}
	return Route{}, false
}

// TrafficRules returns the routes, pools and bounds in the order of their lines.
func (s *Set) TrafficRules() TrafficRules {
	return TrafficRules{Routes: s.Routes, Pools: s.Pools, CallerLimits: s.CallerLimits}
}

// Pool returns a pool by name.
func (s *Set) Pool(name string) (Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// index prepares the look-ups.
func (s *Set) index() {
	s.lookup = make(map[hostPath]*Route, len(s.Routes))
	for i := range s.Routes {
		r := &s.Routes[i]
		s.lookup[hostPath{bareHost(r.Host), r.PathPrefix}] = r
	}
	s.pools = make(map[string]Pool, len(s.Pools))
	for _, p := range s.Pools {
		s.pools[p.Name] = p
		one := Service{Name: p.Name, Slots: maxCount, MaxConnections: p.MaxConnections, RetryRatio: poolRetry, HedgeRatio: poolHedge}.defaults(nil)
		one.full = true
		s.Services[p.Name] = one
	}
}
