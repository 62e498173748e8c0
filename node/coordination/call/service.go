package call

import (
	"time"

	"pollenhill.example/core/coordination/retry"
	"pollenhill.example/core/state/rule"
)

// Bursts of extra attempts: a few more than one, so that rare failures in a row do not reach the caller.
const (
	retryBurst = 10
	hedgeBurst = 5
)

func (m *Model) service(name string) *service {
	s, ok := m.services[name]
	if !ok {
		r := m.rules.Services[name]
		s = &service{
			retry: retry.New(retry.Config{Ratio: ratio(r.Retry, rule.DefaultRetry), Burst: retryBurst}),
			hedge: retry.New(retry.Config{Ratio: ratio(r.Hedge, rule.DefaultHedge), Burst: hedgeBurst}),
			delay: newQuantile(ratio(r.After, rule.DefaultAfter)),
		}
		m.services[name] = s
	}
	return s
}

func ratio(set, fallback rule.Ratio) float64 {
	if set > 0 {
		return float64(set)
	}
	return float64(fallback)
}

func (s *service) call(now time.Time) {
	s.retry.Call(now)
	s.hedge.Call(now)
}

// hedgeAt returns when an attempt that starts now may be hedged, zero while the latency is not known.
func (s *service) hedgeAt(now time.Time) time.Time {
	if d, ok := s.delay.value(); ok {
		return now.Add(d)
	}
	return time.Time{}
}
