package destination_test

import (
	"testing"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/protocol/requestlimit"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/destination"
)

var epoch = time.Unix(1_000_000, 0)

func newReadyModel(t *testing.T) *destination.Model {
	t.Helper()
	m := destination.New(destination.Config{Zone: "a", Incarnation: 7})
	m.Update(epoch, destination.Backend{Name: "desk-1", Service: "desk", Slots: 12, State: admission.Ready})
	return m
}

func arrive(sequence uint64) destination.Arrive {
	return destination.Arrive{
		ID:          attempt.ID{Node: "e", Incarnation: 1, Sequence: sequence},
		Incarnation: 7,
		Service:     "desk",
		Deadline:    epoch.Add(time.Second),
	}
}

// Guards against sending an attempt to the back end that the node must refuse, and against a refusal with a wrong reason
// or outcome.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		prepare func(m *destination.Model)
		change  func(a *destination.Arrive)
		reason  refusal.Reason
		outcome attempt.Outcome
	}{
		"other incarnation":   {nil, func(a *destination.Arrive) { a.Incarnation = 6 }, refusal.WrongIncarnation, attempt.NotRun},
		"other service":       {nil, func(a *destination.Arrive) { a.Service = "x" }, refusal.NoBackend, attempt.NotRun},
		"too deep":            {nil, func(a *destination.Arrive) { a.Depth = attempt.MaxCallDepth + 1 }, refusal.CallTooDeep, attempt.NotRun},
		"deadline passed":     {nil, func(a *destination.Arrive) { a.Deadline = epoch }, refusal.TooLate, attempt.NotRun},
		"back end absent":     {func(m *destination.Model) { m.Update(epoch, destination.Backend{}) }, nil, refusal.NoBackend, attempt.NotRun},
		"back end draining":   {func(m *destination.Model) { setState(m, admission.Draining) }, nil, refusal.Draining, attempt.NotRun},
		"node leaving":        {func(m *destination.Model) { m.Update(epoch, destination.Leave{}) }, nil, refusal.Leaving, attempt.NotRun},
		"zone out":            {func(m *destination.Model) { m.Update(epoch, destination.Rules{Set: zoneOut}) }, nil, refusal.ZoneOutOfService, attempt.NotRun},
		"back end out":        {func(m *destination.Model) { m.Update(epoch, destination.Rules{Set: backendOut}) }, nil, refusal.BackendOutOfService, attempt.NotRun},
		"version reverted":    {setRollout("v2"), nil, refusal.BackendOutOfService, attempt.NotRun},
		"version unknown":     {setRollout(""), nil, refusal.BackendOutOfService, attempt.NotRun},
		"cancelled before":    {func(m *destination.Model) { m.Update(epoch, cancel(1)) }, nil, refusal.Cancelled, attempt.NotRun},
		"copy, first started": {func(m *destination.Model) { m.Update(epoch, arrive(1)) }, nil, refusal.DuplicateAttempt, attempt.Unknown},
		"copy, first finished": {func(m *destination.Model) {
			m.Update(epoch, arrive(1))
			m.Update(epoch, destination.Done{ID: arrive(1).ID})
		}, nil, refusal.DuplicateAttempt, attempt.Unknown},
		"copy, first cancelled after start": {func(m *destination.Model) { m.Update(epoch, arrive(1)); m.Update(epoch, cancel(1)) }, nil, refusal.DuplicateAttempt, attempt.Unknown},
		"copy, back end absent":             {func(m *destination.Model) { m.Update(epoch, arrive(1)); m.Update(epoch, destination.Backend{}) }, nil, refusal.DuplicateAttempt, attempt.Unknown},
	}
	for name, test := range tests {
		m, a := newReadyModel(t), arrive(1)
		if test.prepare != nil {
			test.prepare(m)
		}
		if test.change != nil {
			test.change(&a)
		}
		found := false
		for _, cmd := range m.Update(epoch, a) {
			switch cmd := cmd.(type) {
			case destination.Start:
				t.Errorf("%s: started", name)
			case destination.Refuse:
				found = cmd.ID == a.ID && cmd.Reason == test.reason && cmd.Outcome == test.outcome
			}
		}
		if !found {
			t.Errorf("%s: not refused as %s with outcome %s", name, test.reason, test.outcome)
		}
	}
}

var (
	zoneOut    = &rule.Set{Zones: map[string]rule.Zone{"a": {Name: "a", Out: true}}}
	backendOut = &rule.Set{BackendsOut: map[string]bool{"desk-1": true}}
)

// setRollout returns a function that sets the version of the back end after a rollout to v2 was reverted.
func setRollout(version string) func(m *destination.Model) {
	return func(m *destination.Model) {
		m.Update(epoch, destination.Rules{Set: &rule.Set{Rollouts: []rule.Rollout{{Service: "desk", Target: "v2", State: rule.RolloutReverted}}}})
		m.Update(epoch, destination.Backend{Name: "desk-1", Service: "desk", Slots: 12, State: admission.Ready, Version: version})
	}
}

func setState(m *destination.Model, s admission.State) {
	m.Update(epoch, destination.Backend{Name: "desk-1", Service: "desk", Slots: 12, State: s})
}

func cancel(sequence uint64) destination.Cancel {
	return destination.Cancel{ID: arrive(sequence).ID, Incarnation: 7}
}

// Guards against reporting "not run" for an attempt that started, or that was sent to an earlier process of this node.
func TestCancelOutcomes(t *testing.T) {
	tests := map[string]struct {
		prepare func(m *destination.Model)
		cancel  destination.Cancel
		want    destination.CancelOutcome
	}{
		"never seen": {nil, cancel(1), destination.NotRun},
		"started":    {func(m *destination.Model) { m.Update(epoch, arrive(1)) }, cancel(1), destination.Started},
		"finished": {func(m *destination.Model) {
			m.Update(epoch, arrive(1))
			m.Update(epoch, destination.Done{ID: arrive(1).ID})
		}, cancel(1), destination.Started},
		"earlier incarnation": {nil, destination.Cancel{ID: arrive(1).ID, Incarnation: 6}, destination.Unknown},
	}
	for name, test := range tests {
		m := newReadyModel(t)
		if test.prepare != nil {
			test.prepare(m)
		}
		var got []destination.CancelOutcome
		for _, cmd := range m.Update(epoch, test.cancel) {
			if v, ok := cmd.(destination.CancelResult); ok {
				got = append(got, v.Outcome)
			}
		}
		if len(got) != 1 || got[0] != test.want {
			t.Errorf("%s: %v, want %s", name, got, test.want)
		}
	}
}

// Guards against probes of a back end that is absent, because it left or its lease expired, and against probes beyond
// the probing budget.
func TestProbesKeepTheirBudget(t *testing.T) {
	m := destination.New(destination.Config{Zone: "a", Incarnation: 7})
	announced := m.Update(epoch, destination.Backend{Name: "desk-1", Service: "desk", Slots: 12, State: admission.Ready})
	const budget = 120 * time.Millisecond // 1% of the slot time of 12 slots in one second
	seen, spent := map[string]bool{}, time.Duration(0)
	for now := epoch; now.Before(epoch.Add(time.Second)); now = now.Add(20 * time.Millisecond) {
		cmds := append(announced, m.Update(now, destination.Tick{})...)
		announced = nil
		for _, cmd := range cmds {
			if p, ok := cmd.(destination.Probe); ok {
				seen[p.Path] = true
				spent += p.Deadline.Sub(now)
			}
		}
	}
	if spent > budget || !seen[destination.PathLoad] || !seen[destination.PathHealth] {
		t.Errorf("probes took %v of the budget of %v, probed paths: %v", spent, budget, seen)
	}
	m.Update(epoch.Add(time.Second), destination.Backend{})
	for now := epoch.Add(time.Second); now.Before(epoch.Add(3 * time.Second)); now = now.Add(20 * time.Millisecond) {
		for _, cmd := range m.Update(now, destination.Tick{}) {
			if _, ok := cmd.(destination.Probe); ok {
				t.Fatal("probe of an absent back end")
			}
		}
	}
}

// Guards against a request limit that is lost when its back end is absent for a moment, that passes to the next instance at
// the address, or that a late response of an earlier instance sets.
func TestRequestLimitBelongsToInstance(t *testing.T) {
	limited := func(m *destination.Model) bool {
		_, named := m.View().Hint.RequestLimit.PerSecond()
		return named
	}
	m := newReadyModel(t)
	m.Update(epoch, destination.RequestLimit{Backend: "desk-1", Limit: requestlimit.New(4)})
	m.Update(epoch, destination.Backend{})
	setState(m, admission.Ready)
	if !limited(m) {
		t.Error("lost with an absence of the back end")
	}
	m.Update(epoch, destination.Backend{Name: "desk-2", Service: "desk", Slots: 12, State: admission.Ready})
	if limited(m) {
		t.Error("holds for the next instance")
	}
	m.Update(epoch, destination.RequestLimit{Backend: "desk-1", Limit: requestlimit.New(4)})
	if limited(m) {
		t.Error("set by a late response of the earlier instance")
	}
}
