package observer_test

import (
	"strconv"
	"testing"
	"time"

	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/observer"
)

func total(t *testing.T, m *observer.Model) (answers, failures uint64, routes int) {
	t.Helper()
	counts, _ := m.Counts()
	for _, c := range counts {
		failures += c.GetFailed()
		for _, n := range c.GetTimes() {
			answers += n
		}
	}
	return answers, failures, len(counts)
}

// Guards against answers that are counted without a rollout, for the instance before, or for the rollout before; against times
// of a cold start; and against a memory that grows with the paths that callers use.
func TestCounts(t *testing.T) {
	m := observer.New()
	r := rule.Rollout{Target: "v2", Since: time.Unix(1, 0)}
	good := observer.Answer{Route: "a", Duration: time.Millisecond}
	check := func(step string, wantAnswers, wantFailures uint64, wantRoutes int) {
		t.Helper()
		if answers, failures, routes := total(t, m); answers != wantAnswers || failures != wantFailures || routes != wantRoutes {
			t.Errorf("%s: %d answers, %d failures, %d routes", step, answers, failures, routes)
		}
	}
	m.Record(good)
	m.SetRollout("i1", "v1", &r)
	check("before the rollout", 0, 0, 0)
	m.Record(good)
	m.Record(observer.Answer{Route: "b", Failed: true})
	m.Record(observer.Answer{Route: "b", Cold: true})
	m.SetRollout("i1", "v1", &r)
	check("during the rollout", 1, 1, 2)
	m.SetRollout("i2", "v2", &r)
	check("another instance", 0, 0, 0)
	for i := range 1000 {
		m.Record(observer.Answer{Route: strconv.Itoa(i)})
	}
	check("many routes", 1000, 0, 33)
	later := rule.Rollout{Target: "v2", Since: time.Unix(2, 0)}
	m.SetRollout("i2", "v2", &later)
	check("another rollout", 0, 0, 0)
	m.SetRollout("i2", "v2", nil)
	m.Record(good)
	if _, active := m.Counts(); active {
		t.Error("counts without a rollout")
	}
}
