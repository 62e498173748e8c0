package callerretry_test

import (
	"testing"
	"time"

	"pollenhill.example/node/coordination/callerretry"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// Guards against refused callers that count as new when they try again: their objective then starts anew, they delay
// callers that can still meet theirs, and both miss it.
func TestRetriesAreRecognized(t *testing.T) {
	var m callerretry.Model
	m.AddRefused(callerretry.Caller{Route: "look", FirstTry: at(0), Deadline: at(500)})
	m.AddRefused(callerretry.Caller{Route: "look", FirstTry: at(3), Deadline: at(490)})
	for _, c := range []struct {
		name     string
		now      int
		route    string
		deadline int
		want     int
	}{
		{"another route", 120, "book", 500, 120},
		{"another caller", 120, "look", 495, 120},
		{"second try of the first caller", 121, "look", 501, 0},
		{"third try without a second refusal", 130, "look", 500, 130},
		{"second try of the second caller", 140, "look", 490, 3},
	} {
		if got := m.FirstTry(at(c.now), c.route, at(c.deadline)); !got.Equal(at(c.want)) {
			t.Errorf("%s: first try at %v, want %v", c.name, got.Sub(epoch), at(c.want).Sub(epoch))
		}
	}
}

// Guards against unbounded memory: refused callers that never try again stay remembered after their deadline, or
// without a limit on their number.
func TestCallersAreForgotten(t *testing.T) {
	var m callerretry.Model
	m.AddRefused(callerretry.Caller{Route: "look", FirstTry: at(0), Deadline: at(500)})
	if got := m.FirstTry(at(501), "look", at(501)); !got.Equal(at(501)) {
		t.Errorf("a caller is recognized after its deadline")
	}
	for i := range 5000 {
		m.AddRefused(callerretry.Caller{Route: "look", FirstTry: at(i), Deadline: at(10_000 + 10*i)})
	}
	if got := m.FirstTry(at(5000), "look", at(10_000)); !got.Equal(at(5000)) {
		t.Error("the oldest of 5,000 refused callers is still remembered")
	}
}
