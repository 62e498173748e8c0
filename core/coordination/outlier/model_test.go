package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/coordination/outlier"
)

var epoch = time.Unix(1_000_000, 0)

func backendNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("b%d", i))
	}
	return names
}

// sendSamples sends rounds of samples: one bad sample for b0 and good ones for its peers.
func sendSamples(m *outlier.Model, now time.Time, names []string, rounds int, bad outlier.Sample) {
	for range rounds {
		for _, name := range names[1:] {
			m.Update(now, outlier.Sample{Backend: name, Latency: 10 * time.Millisecond})
		}
		bad.Backend = names[0]
		m.Update(now, bad)
	}
}

// Guards against sending requests to back ends that are slow or fail fast, and against ejecting a server that is full or
// only somewhat slow.
func TestEjectsOnlyOutliers(t *testing.T) {
	tests := map[string]struct {
		sample outlier.Sample
		want   bool
	}{
		"straggler":      {outlier.Sample{Latency: 50 * time.Millisecond}, true},
		"fails fast":     {outlier.Sample{Result: outlier.Failed, Latency: time.Millisecond}, true},
		"full":           {outlier.Sample{Result: outlier.Full}, false},
		"somewhat slow":  {outlier.Sample{Latency: 20 * time.Millisecond}, false},
		"as fast as all": {outlier.Sample{Latency: 10 * time.Millisecond}, false},
	}
	for name, test := range tests {
		m, names := outlier.New(outlier.Config{}), backendNames(4)
		m.Update(epoch, outlier.Backends{Names: names})
		sendSamples(m, epoch, names, 50, test.sample)
		if got := m.Ejected("b0"); got != test.want {
			t.Errorf("%s: ejected %v, want %v", name, got, test.want)
		}
	}
}

// Guards against ejecting a recovered back end forever, and against full traffic to one that has not recovered.
func TestReturnsAfterGoodTrials(t *testing.T) {
	m, names := outlier.New(outlier.Config{}), backendNames(4)
	m.Update(epoch, outlier.Backends{Names: names})
	sendSamples(m, epoch, names, 50, outlier.Sample{Result: outlier.Failed})
	if m.Available(epoch, "b0") {
		t.Fatal("available right after the ejection")
	}
	now := epoch.Add(2 * time.Second)
	for i := range 3 {
		if !m.Available(now, "b0") || !m.Ejected("b0") {
			t.Fatalf("trial %d: not ejected, or not available for a trial", i)
		}
		m.Update(now, outlier.TrialSent{Backend: "b0"})
		if m.Available(now, "b0") {
			t.Fatalf("trial %d: second attempt during the trial", i)
		}
		m.Update(now, outlier.Sample{Backend: "b0", Latency: 10 * time.Millisecond})
	}
	if m.Ejected("b0") {
		t.Fatal("still ejected after three good trials")
	}
}

// Guards against ejections that leave too few back ends, with any samples.
func TestEjectsALimitedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := backendNames(rapid.IntRange(1, 26).Draw(t, "backends"))
		m, now := outlier.New(outlier.Config{}), epoch
		m.Update(now, outlier.Backends{Names: names})
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond)
			m.Update(now, outlier.Sample{
				Backend: rapid.SampledFrom(names).Draw(t, "backend"),
				Result:  outlier.Result(rapid.IntRange(0, 2).Draw(t, "kind")),
				Latency: time.Duration(rapid.IntRange(1, 100).Draw(t, "latency")) * time.Millisecond,
			})
			if rapid.IntRange(0, 50).Draw(t, "shrink") == 0 {
				names = names[:(len(names)+1)/2]
				m.Update(now, outlier.Backends{Names: names})
			}
			ejected := 0
			for _, name := range names {
				if m.Ejected(name) {
					ejected++
				}
			}
			if float64(ejected) > outlier.DefaultMaxEjectedShare*float64(len(names)) {
				t.Fatalf("%d of %d ejected", ejected, len(names))
			}
		}
	})
}

// Guards against a killed node that keeps getting attempts, which used up the retry budget of its service until its lease
// ended, and against counting a lost zone in the share of back ends that may be ejected.
func TestAbsentIsEjectedAtOnce(t *testing.T) {
	names := backendNames(6)
	m := outlier.New(outlier.Config{})
	m.Update(epoch, outlier.Backends{Names: names})
	for _, name := range names[:4] {
		m.Update(epoch, outlier.Sample{Backend: name, Result: outlier.Absent})
		if m.Available(epoch, name) {
			t.Fatalf("%s is available", name)
		}
	}
	now := epoch.Add(outlier.DefaultBaseEjectionTime)
	m.Update(now, outlier.TrialSent{Backend: names[0]})
	m.Update(now, outlier.Sample{Backend: names[0], Result: outlier.Absent})
	if m.Available(now.Add(outlier.DefaultBaseEjectionTime), names[0]) {
		t.Fatal("available after a failed trial as soon as after the first failure")
	}
	for range 3 {
		m.Update(now, outlier.TrialSent{Backend: names[1]})
		m.Update(now, outlier.Sample{Backend: names[1], Latency: time.Millisecond})
	}
	if m.Ejected(names[1]) {
		t.Fatal("still ejected after three good trials")
	}
}
