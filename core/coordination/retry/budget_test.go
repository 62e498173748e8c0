package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/coordination/retry"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
)

var epoch = time.Unix(1_000_000, 0)

// Guards against retries and hedges that exceed their configured share of the calls.
func TestExtraAttemptsStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.New(retry.Config{Ratio: 0.1, Burst: 10, HedgeRatio: 0.05, HedgeQuantile: 0.95})
		calls, extra, hedges := 0, 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b.RecordCall(epoch)
				calls++
			case 1:
				b.RecordResult(epoch, rapid.Bool().Draw(t, "overloaded"))
			case 2:
				if b.Take(epoch) {
					extra++
				}
			case 3:
				if b.TakeHedge(epoch) {
					extra++
					hedges++
				}
			}
		}
		if float64(extra) > 0.1*float64(calls)+1e-6 || float64(hedges) > 0.05*float64(calls)+1e-6 {
			t.Fatalf("%d extra attempts, %d of them hedges, for %d calls", extra, hedges, calls)
		}
	})
}

// Guards against extra attempts that keep an overloaded service overloaded.
func TestNoExtraAttemptsUnderOverload(t *testing.T) {
	b := retry.New(retry.Config{Ratio: 0.1, Burst: 10, HedgeRatio: 0.05, HedgeQuantile: 0.95})
	for range 200 {
		b.RecordCall(epoch)
		b.RecordLatency(epoch, 10*time.Millisecond)
	}
	if delay, ok := b.HedgeDelay(epoch); !ok || delay < 9*time.Millisecond || delay > 11*time.Millisecond {
		t.Fatalf("hedge delay %v, %v, want about 10 ms", delay, ok)
	}
	for i := range 100 {
		b.RecordResult(epoch, i%3 == 0)
	}
	if _, ok := b.HedgeDelay(epoch); ok || b.Take(epoch) || b.TakeHedge(epoch) {
		t.Fatal("extra attempts while a third of the attempts is refused")
	}
}

// Guards against a refusal that is retried at every level of a call chain, and against a second run of a request that is not
// idempotent and may have run.
func TestOnlyAdjacentEntryNodeRetries(t *testing.T) {
	tests := map[string]struct {
		failure retry.Failure
		want    bool
	}{
		"refused at own depth":       {retry.Failure{Outcome: attempt.NotRun, Reason: refusal.AtCapacity, FailureDepth: 3, Depth: 3}, true},
		"refused at greater depth":   {retry.Failure{Outcome: attempt.NotRun, Reason: refusal.AtCapacity, FailureDepth: 4, Depth: 3}, false},
		"unknown":                    {retry.Failure{Outcome: attempt.Unknown}, false},
		"unknown but idempotent":     {retry.Failure{Outcome: attempt.Unknown, Idempotent: true}, true},
		"answered":                   {retry.Failure{Outcome: attempt.Answered, Idempotent: true}, false},
		"cancelled by its own entry": {retry.Failure{Outcome: attempt.NotRun, Reason: refusal.Cancelled}, false},
	}
	for name, test := range tests {
		if got := retry.ShouldRetry(test.failure); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

// Guards against a budget with IgnoreOverload that ends because of refusals, and against extra attempts made elsewhere that
// are not charged.
func TestBudgetThatIgnoresOverload(t *testing.T) {
	b := retry.New(retry.Config{Ratio: 0.1, Burst: 10, IgnoreOverload: true})
	for range 100 {
		b.RecordCall(epoch)
		b.RecordResult(epoch, true)
	}
	if !b.Take(epoch) {
		t.Fatal("refusals ended a budget that ignores overload")
	}
	b.Charge(9)
	if b.Take(epoch) {
		t.Fatal("a charged budget allows another attempt")
	}
	b.Charge(100)
	for range 200 {
		b.RecordCall(epoch)
	}
	if !b.Take(epoch) {
		t.Fatal("a charge lowers the budget by more than a burst")
	}
}
