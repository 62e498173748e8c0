package choice

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/state/rule"
)

// Model holds what one entry node knows of the back ends; it is not safe for concurrent use.
type Model struct {
	cfg      Config
	targets  map[string][]Target
	rules    *rule.Set
	inflight map[string]int
}

// Config places the entry node and seeds its random choices.
type Config struct {
	Zone   string
	Region string
	Rand   *rand.Rand
}

// New returns a Model without targets.
func New(cfg Config) *Model {
	return &Model{cfg: cfg, targets: map[string][]Target{}, rules: &rule.Set{}, inflight: map[string]int{}}
}

// Update applies one message at the given time.
func (m *Model) Update(_ time.Time, msg Msg) {
	switch msg := msg.(type) {
	case Members:
		m.targets = lo.GroupBy(msg.Targets, func(t Target) string { return t.Service })
	case Rules:
		m.rules = msg.Set
	case Begin:
		m.inflight[msg.Backend]++
	case End:
		m.inflight[msg.Backend]--
	}
}

// Pick returns the target for one attempt, or false if none may get new work.
func (m *Model) Pick(_ time.Time, q Query) (Target, bool) {
	open := lo.Filter(m.targets[q.Service], func(t Target, _ int) bool { return m.open(t) && !slices.Contains(q.Avoid, t.Backend) })
	if len(open) == 0 {
		return Target{}, false
	}
	a, b := open[m.cfg.Rand.IntN(len(open))], open[m.cfg.Rand.IntN(len(open))]
	if m.inflight[b.Backend] < m.inflight[a.Backend] {
		a = b
	}
	return a, true
}

func (m *Model) open(t Target) bool {
	serving := t.State == admission.Cold || t.State == admission.Ready
	return serving && !m.rules.Zones[t.Zone].Out && !m.rules.Backends[t.Backend]
}
