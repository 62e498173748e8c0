package rule_test

import (
	"testing"

	"pollenhill.example/core/state/rule"
)

const routingRules = `format 1
change 1 # kari: test
service booking host=booking.example path=/ # kari: x
service reserve host=booking.example path=/reserve # kari: x
service records path=/records # kari: any host
idempotent booking GET,HEAD /free # kari: x
idempotent booking OPTIONS /free/hold # kari: this GET holds a boat
idempotent booking POST,GET /search/ # kari: x
priority booking low / # kari: x
priority booking high /free # kari: x
`

func mustParse(t *testing.T, text string) *rule.Set {
	t.Helper()
	set, err := rule.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// Guards against requests that reach the wrong service, by the order of the routes, a prefix that ends within a path
// segment, or the spelling of the host.
func TestServiceFor(t *testing.T) {
	set := mustParse(t, routingRules)
	cases := []struct{ host, path, service string }{
		{"booking.example", "/", "booking"},
		{"BOOKING.example.:443", "/reserve?boat=3", "reserve"},
		{"booking.example", "/reserve/3", "reserve"},
		{"booking.example", "/reserved", "booking"},
		{"booking.example", "/records/1", "booking"},
		{"other.example", "/records/1", "records"},
		{"[::1]:8080", "/records", "records"},
		{"", "/records", "records"},
		{"other.example", "/record", ""},
		{"other.example", "", ""},
	}
	for _, c := range cases {
		if s, ok := set.ServiceFor(c.host, c.path); s.Name != c.service || ok != (c.service != "") {
			t.Errorf("%s%s goes to %q, want %q", c.host, c.path, s.Name, c.service)
		}
	}
}

// Guards against running a reservation twice because it is taken for a lookup, by its method or by a path that the back
// end resolves to another one.
func TestIdempotent(t *testing.T) {
	set := mustParse(t, routingRules)
	cases := []struct {
		service, method, path string
		want                  bool
	}{
		{"booking", "GET", "/other", true},
		{"booking", "OPTIONS", "/other", true},
		{"booking", "POST", "/other", false},
		{"booking", "get", "/other", false},
		{"booking", "HEAD", "/free", true},
		{"booking", "OPTIONS", "/free", false},
		{"booking", "GET", "/free/hold/3", false},
		{"booking", "GET", "/free/holding", true},
		{"booking", "POST", "/search/boats?x=/free/hold", true},
		{"booking", "POST", "/search", false},
		{"booking", "POST", "/search/../reserve", false},
		{"booking", "POST", "/search/%2E%2e/reserve", false},
		{"booking", "GET", "/free//hold", false},
		{"unknown", "GET", "/", false},
	}
	for _, c := range cases {
		if got := set.Idempotent(c.service, c.method, c.path); got != c.want {
			t.Errorf("%s %s %s: idempotent %v, want %v", c.service, c.method, c.path, got, c.want)
		}
	}
}

// Guards against shedding requests of high priority before others under overload, by a wrong match of the path prefix.
func TestPriority(t *testing.T) {
	set := mustParse(t, routingRules)
	cases := map[string]rule.Priority{"/free/1?x": rule.PriorityHigh, "/freeze": rule.PriorityLow, "/": rule.PriorityLow}
	for path, want := range cases {
		if got := set.Priority("booking", path); got != want {
			t.Errorf("%s has %v, want %v", path, got, want)
		}
	}
	if got := set.Priority("records", "/records"); got != rule.PriorityNormal {
		t.Errorf("without a rule: %v", got)
	}
}

// Guards against a limit of 0 that is replaced by the default: "retry booking 0%" must turn retries off.
func TestExplicitZero(t *testing.T) {
	set := mustParse(t, routingRules+"retry booking 0% # a: b\nhedge booking 0% # a: b\nprobe booking 0% # a: b\nlimit booking queue=0 # a: b\n")
	s, _ := set.Service("booking")
	if s.RetryRatio != 0 || s.HedgeRatio != 0 || s.ProbeShare != 0 || s.QueueLength != 0 || s.Slots != rule.DefaultSlots {
		t.Fatalf("%+v", s)
	}
	if s, _ := set.Service("records"); s.RetryRatio != rule.DefaultRetryRatio || s.QueueLength != rule.DefaultQueueLength {
		t.Fatalf("%+v", s)
	}
	if _, ok := set.Service("unknown"); ok {
		t.Fatal("found an unknown service")
	}
}

var sink rule.Service

func BenchmarkServiceFor(b *testing.B) {
	set, err := rule.Parse(routingRules)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		sink, _ = set.ServiceFor("booking.example", "/reserve/3")
	}
}
