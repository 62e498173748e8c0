package observer

import (
	"slices"
	"strings"
	"sync"
	"time"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/observation"
	"pollenhill.example/core/state/rule"
)

// maxRoutes bounds the number of routes that are counted apart; the answers of further ones are counted together.
const maxRoutes = 32

// Model counts the answers of one back end during a rollout. Without one it counts nothing; it is safe for concurrent use.
type Model struct {
	mu      sync.Mutex
	active  bool
	subject subject
	routes  map[string]*control.RouteCount
}

// subject is what the counts are about; for another one they begin at 0.
type subject struct {
	backend string
	version string
	target  string
	since   time.Time
}

// Answer is the end of one attempt at the back end.
type Answer struct {
	Route    string
	Failed   bool // the back end answered with a server error or broke the exchange
	Duration time.Duration
	Cold     bool // times of a back end in cold start are left out, since every version is slow then
}

// New returns a Model that counts nothing.
func New() *Model { return &Model{} }

// SetRollout tells which instance runs beside the node and which rollout its service has, nil for none.
func (m *Model) SetRollout(backend, version string, r *rule.Rollout) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active = r != nil && r.State == rule.RolloutAdvancing && backend != ""
	if !m.active {
		return
	}
	s := subject{backend: backend, version: version, target: r.Target, since: r.Since}
	if s != m.subject {
		m.subject, m.routes = s, map[string]*control.RouteCount{}
	}
}

// Active reports whether a rollout advances.
func (m *Model) Active() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active
}

// Record counts an answer.
func (m *Model) Record(a Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.active {
		return
	}
	c := m.count(a.Route)
	if a.Failed {
		c.Failed++
		return
	}
	if !a.Cold {
		c.Times[observation.Bucket(a.Duration)]++
	}
}

func (m *Model) count(route string) *control.RouteCount {
	if _, known := m.routes[route]; !known && len(m.routes) >= maxRoutes {
		route = ""
	}
	c, known := m.routes[route]
	if !known {
		c = &control.RouteCount{Route: route, Times: make([]uint64, observation.Buckets)}
		m.routes[route] = c
	}
	return c
}

// Counts returns the counts of all routes, or false if no rollout advances.
func (m *Model) Counts() ([]*control.RouteCount, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.active {
		return nil, false
	}
	list := make([]*control.RouteCount, 0, len(m.routes))
	for _, c := range m.routes {
		list = append(list, &control.RouteCount{Route: c.GetRoute(), Failed: c.GetFailed(), Times: slices.Clone(c.GetTimes())})
	}
	slices.SortFunc(list, func(a, b *control.RouteCount) int { return strings.Compare(a.GetRoute(), b.GetRoute()) })
	return list, true
}
