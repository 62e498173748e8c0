package call

import (
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/choice"
	"pollenhill.example/core/coordination/retry"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/state/rule"
)

// hedgeShare is the part of the aim after which a hedge starts: a request that takes its usual time has ended by then,
// and a hedge at a fast back end can still meet the aim.
const hedgeShare = 0.5

// burst is how many extra attempts may come at once: enough for a few failures in a row.
const burst = 10

// poolBurst is the same for services whose nodes share one budget: the bursts of all nodes add up.
const poolBurst = 4

// reserve is how many extra attempts a call leaves to more urgent ones, whose failure would fail other work too.
func (m *Model) reserve(s *state) float64 {
	if _, pool := m.rules.Pool(s.Service); !pool || s.Urgent {
		return 0
	}
	return poolBurst / 2
}

// service is what is learned about one service.
type service struct {
	cfg    retry.Config
	budget *retry.Budget
}

// Rules replaces the rules in force; budgets whose rules are the same keep what they learned.
func (m *Model) Rules(now time.Time, set *rule.Set) {
	m.rules = set
	for name, s := range m.services {
		if s.cfg != m.config(name) {
			delete(m.services, name)
		}
	}
	m.cfg.Choice.Update(now, choice.Rules{Set: set})
}

func (m *Model) config(name string) retry.Config {
	s, ok := m.rules.Limits(name)
	if !ok {
		s = rule.Service{Retry: rule.DefaultRetry, Hedge: rule.DefaultHedge, After: rule.DefaultAfter}
	}
	_, pool := m.rules.Pool(name)
	return retry.Config{Ratio: float64(s.Retry), Burst: lo.Ternary[float64](pool, poolBurst, burst), Hedge: float64(s.Hedge), After: float64(s.After)}
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

// hedgeAt returns when a hedge of a call that starts now may start, zero for never.
func (m *Model) hedgeAt(now time.Time, s *state) time.Time {
	if s.Keyed || !retry.Hedged(s.Depth, s.Idempotent) {
		return time.Time{}
	}
	if s.Aim > 0 {
		return now.Add(time.Duration(hedgeShare * float64(s.Aim)))
	}
	if d, ok := m.budget(s.Service).Delay(now); ok {
		return now.Add(d)
	}
	return time.Time{}
}

// learn tells the budget how an attempt ended.
func (m *Model) learn(now time.Time, s *state, t *try, msg Head) {
	b := m.budget(s.Service)
	if msg.Outcome == attempt.Answered {
		b.Latency(now, now.Sub(t.begun))
	}
	b.Answer(now, msg.Outcome == attempt.NotRun && retry.Overloaded(msg.Refusal.Reason))
}
