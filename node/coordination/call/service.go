package call

import (
	"cmp"
	"time"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/coordination/retry"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/state/rule"
)

// burst is how many extra attempts may come at once: enough for a few failures in a row.
const burst = 10

// Budgets of services whose nodes share the bound on extra attempts.
const (
	poolBurst = 4 // extra attempts that may come at once at one node; those of all nodes add up
	// poolShare is the part of the stated ratio that is used: nodes count their own calls only, and a window of the
	// bound may see the attempts of one and the calls of another.
	poolShare = 0.85
	// poolHedge is the part of the extra attempts that may be hedges.
	poolHedge = 0.75
)

// reserve is how many extra attempts a call leaves to more urgent ones, whose failure would fail other work too.
func (m *Model) reserve(s *state) float64 {
	if _, pool := m.rules.Pool(s.Service); !pool || s.Urgent {
		return 0
	}
	return poolBurst / 4
}

// fastPace is the speed up to which the time of an answer counts as usual.
const fastPace = 2.0

// service is what is learned about one service.
type service struct {
	cfg    retry.Config
	budget *retry.Budget
}

// SetRules replaces the rules in force; budgets whose rules are the same keep what they learned.
func (m *Model) SetRules(now time.Time, set *rule.Set) {
	m.rules = set
	for name, s := range m.services {
		if s.cfg != m.config(name) {
			delete(m.services, name)
		}
	}
	m.cfg.Choice.Update(now, balancer.Rules{Set: set})
}

func (m *Model) config(name string) retry.Config {
	s, ok := m.rules.Service(name)
	if !ok {
		s = rule.Service{RetryRatio: rule.DefaultRetryRatio, HedgeRatio: rule.DefaultHedgeRatio, HedgeQuantile: rule.DefaultHedgeQuantile}
	}
	if _, pool := m.rules.Pool(name); pool {
		ratio := cmp.Or(m.cfg.ExtraRatio*poolShare, float64(s.RetryRatio))
		return retry.Config{Ratio: ratio, Burst: poolBurst, HedgeRatio: ratio * poolHedge, IgnoreOverload: true}
	}
	return retry.Config{Ratio: float64(s.RetryRatio), Burst: burst, HedgeRatio: float64(s.HedgeRatio), HedgeQuantile: float64(s.HedgeQuantile)}
}

func (m *Model) budget(name string) *retry.Budget {
	s, ok := m.services[name]
	if !ok {
		cfg := m.config(name)
		s = &service{cfg: cfg, budget: retry.New(cfg)}
		m.services[name] = s
	}
	return s.budget
}

// learn tells the budget how an attempt ended.
func (m *Model) learn(now time.Time, s *state, t *try, msg Response) {
	b := m.budget(s.Service)
	if msg.Outcome == attempt.Answered {
		b.RecordLatency(now, now.Sub(t.begun))
		m.learnWork(now, s, t, msg)
	}
	b.RecordResult(now, msg.Outcome == attempt.NotRun && retry.IsOverload(msg.Refusal.Reason))
}

// learnWork takes the time of a good answer of a back end that was fast at its start.
func (m *Model) learnWork(now time.Time, s *state, t *try, msg Response) {
	if s.Route == "" || msg.ServerError {
		return
	}
	took := now.Sub(t.begun)
	if usual, known := m.works[s.Route]; known && (t.pace > fastPace || took > odd*usual) {
		return
	}
	m.works.Observe(s.Route, took)
}
