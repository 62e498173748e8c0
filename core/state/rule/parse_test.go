package rule_test

import (
	"os"
	"testing"

	"pollenhill.example/core/state/rule"
)

func page(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("testdata/page.rules")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// Guards against a parser that cannot read the example of the design page.
func TestParsePage(t *testing.T) {
	set, err := rule.Parse(page(t))
	if err != nil {
		t.Fatal(err)
	}
	if set.Number != 7 || !set.ZoneOut("oslo-b") || set.ZoneOut("oslo-a") || !set.BackendOut("booking-3") {
		t.Fatalf("wrong set: %+v", set)
	}
	s, ok := set.Route("Booking.Example:8080", "/free/today?x=1")
	if !ok || s.Name != "booking" || s.Slots != 12 || s.Queue != 24 || s.After != 0.95 {
		t.Fatalf("wrong route: %+v %v", s, ok)
	}
	if _, ok := set.Route("other.example", "/free"); ok {
		t.Fatal("a route matches another host")
	}
	if set.Priority("booking", "/reserve/3") != rule.High || set.Priority("booking", "/reserved") != rule.Normal {
		t.Fatal("wrong priority")
	}
}
