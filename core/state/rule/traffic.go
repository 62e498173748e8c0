package rule

import (
	"strings"
	"time"
)

// Route leads the requests for a host below a path prefix to a service, or by weight to several.
type Route struct {
	Name   string
	Host   string
	Path   string // prefix that begins and ends with a slash
	Kind   Kind
	Within time.Duration // longest time that a request is kept waiting; zero: the deadline of the service
	Aim    time.Duration // time within which an answer is of full use
	Rank   int           // 0 is the most urgent
	Tries  int           // back ends that one request may be sent to; zero: no limit of the route
	Parts  []Part
	Split  bool   // Parts were written with weights
	More   string `json:",omitempty"` // fields of the change interface that the rules do not know, as JSON
}

// Part is the share of a route that one service gets.
type Part struct {
	Service string
	Weight  float64
}

// Pool is a service that only routes lead to.
type Pool struct {
	Name        string
	Health      string // path of the health check
	Connections int    // that one back end takes
	Cold        time.Duration
	Rate        float64 // requests a second that a cold back end takes; zero: no limit
	More        string  `json:",omitempty"`
}

// Bound limits what callers may send to a node; zero values leave the limits of its settings.
type Bound struct {
	Header int
	Body   int
	Read   time.Duration // for a request header
	Idle   time.Duration // of a connection without a request
	More   string        `json:",omitempty"`
}

// Traffic is what programs change through the change interface: routes, pools and bounds.
type Traffic struct {
	Routes []Route
	Pools  []Pool
	Bound  *Bound
}

// Extra attempts per call of a pool: enough that a back end which turns slow or fails part of its requests is made up
// for, and few enough that a service without capacity is not loaded further.
const (
	poolRetry = Ratio(0.18)
	poolHedge = Ratio(0.1)
)

// hostPath finds a route.
type hostPath struct{ host, path string }

// Lookup returns the route for the Host header and path of a request: the longest prefix of its host.
func (s *Set) Lookup(host, path string) (Route, bool) {
	host, path = bareHost(host), barePath(path)
	for end := strings.LastIndexByte(path, '/') + 1; end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r, ok := s.lookup[hostPath{host, path[:end]}]; ok {
			return *r, true
		}
	}
	return Route{}, false
}

// Traffic returns the routes, pools and bounds in the order of their lines.
func (s *Set) Traffic() Traffic {
	return Traffic{Routes: s.Routes, Pools: s.Pools, Bound: s.Bound}
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
		s.lookup[hostPath{bareHost(r.Host), r.Path}] = r
	}
	s.pools = make(map[string]Pool, len(s.Pools))
	for _, p := range s.Pools {
		s.pools[p.Name] = p
		one := Service{Name: p.Name, Slots: maxCount, Connections: p.Connections, Retry: poolRetry, Hedge: poolHedge}.defaults(nil)
		one.full = true
		s.Services[p.Name] = one
	}
}
