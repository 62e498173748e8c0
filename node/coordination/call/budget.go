package call

import (
	"cmp"
	"time"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/coordination/retry"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/state/rule"
)

// retryBurst is how many extra attempts may be sent at once, enough for a few failures in a row.
const retryBurst = 10

// Retry budgets of pools, whose bound on extra attempts applies to all nodes together.
const (
	// poolBurst is how many extra attempts one node may send at once. The bursts of all nodes add up.
	poolBurst = 4
	// poolRatioShare is the share of the configured ratio that a node uses. Each node counts only its own calls, while
	// the time window over which the bound is checked may contain the attempts of one node and the calls of another.
	poolRatioShare = 0.85
	// poolHedgeShare is the share of the extra attempts that may be hedges.
	poolHedgeShare = 0.75
)

// retryReserve returns how many extra attempts a call must leave in the budget for urgent calls, whose failure would make
// other requests fail too.
func (m *Model) retryReserve(s *callState) float64 {
	if _, pool := m.rules.Pool(s.Service); !pool || s.Urgent {
		return 0
	}
	return poolBurst / 4
}

// maxNormalSlowdown is the slowdown up to which a response time counts as a sample of the usual service time.
const maxNormalSlowdown = 2.0

// serviceBudget is the retry budget of one service with the configuration that it was made from.
type serviceBudget struct {
	cfg    retry.Config
	budget *retry.Budget
}

// SetRules replaces the rule set. Retry budgets whose configuration stays the same keep their state.
func (m *Model) SetRules(now time.Time, set *rule.Set) {
	m.rules = set
	for service, b := range m.budgets {
		if b.cfg != m.budgetConfig(service) {
			delete(m.budgets, service)
		}
	}
	m.cfg.Balancer.Update(now, balancer.Rules{Set: set})
}

func (m *Model) budgetConfig(service string) retry.Config {
	s, ok := m.rules.Service(service)
	if !ok {
		s = rule.Service{RetryRatio: rule.DefaultRetryRatio, HedgeRatio: rule.DefaultHedgeRatio, HedgeQuantile: rule.DefaultHedgeQuantile}
	}
	if _, pool := m.rules.Pool(service); pool {
		ratio := cmp.Or(m.cfg.ExtraRatio*poolRatioShare, float64(s.RetryRatio))
		return retry.Config{Ratio: ratio, Burst: poolBurst, HedgeRatio: ratio * poolHedgeShare, IgnoreOverload: true}
	}
	return retry.Config{Ratio: float64(s.RetryRatio), Burst: retryBurst, HedgeRatio: float64(s.HedgeRatio), HedgeQuantile: float64(s.HedgeQuantile)}
}

func (m *Model) budget(service string) *retry.Budget {
	b, ok := m.budgets[service]
	if !ok {
		cfg := m.budgetConfig(service)
		b = &serviceBudget{cfg: cfg, budget: retry.New(cfg)}
		m.budgets[service] = b
	}
	return b.budget
}

// recordResponse updates the retry budget and the usual service time with the response or failure of an attempt.
func (m *Model) recordResponse(now time.Time, s *callState, a *attemptState, msg Response) {
	b := m.budget(s.Service)
	if msg.Outcome == attempt.Answered {
		b.RecordLatency(now, now.Sub(a.startedAt))
		m.observeServiceTime(now, s, a, msg)
	}
	b.RecordResult(now, msg.Outcome == attempt.NotRun && retry.IsOverload(msg.Refusal.Reason))
}

// observeServiceTime takes the time of an answer as a sample of the route's usual service time, unless it is a server
// error, its back end was slow at the start or the time is an outlier.
func (m *Model) observeServiceTime(now time.Time, s *callState, a *attemptState, msg Response) {
	if s.Route == "" || msg.ServerError {
		return
	}
	took := now.Sub(a.startedAt)
	if usual, known := m.serviceTimes[s.Route]; known && (a.slowdown > maxNormalSlowdown || took > outlierFactor*usual) {
		return
	}
	m.serviceTimes.Observe(s.Route, took)
}
