package rule_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/state/rule"
)

// word draws text that ends words, options and comments.
var word = rapid.StringMatching(`[a-z#%=,: ø]{1,8}`)

// millis draws a time that a table can state.
func millis(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.IntRange(1, 100_000).Draw(t, name)) * time.Millisecond
}

func traffics(t *rapid.T) rule.TrafficRules {
	names := rapid.SliceOfNDistinct(word, 1, 4, rapid.ID[string]).Draw(t, "services")
	var out rule.TrafficRules
	for _, n := range names {
		out.Pools = append(out.Pools, rule.Pool{
			Name: n, HealthPath: "/" + word.Draw(t, "health"), MaxConnections: rapid.IntRange(1, 1000).Draw(t, "connections"),
			ColdPeriod: millis(t, "cold"), ColdRate: float64(rapid.IntRange(0, 1000).Draw(t, "rate")) / 8, UnknownFields: word.Draw(t, "more"),
		})
	}
	if rapid.Bool().Draw(t, "bounded") {
		out.CallerLimits = &rule.CallerLimits{MaxHeaderBytes: rapid.IntRange(0, 1<<20).Draw(t, "header"), HeaderTimeout: millis(t, "read") - time.Millisecond}
	}
	for _, n := range rapid.SliceOfNDistinct(word, 0, 5, rapid.ID[string]).Draw(t, "routes") {
		r := rule.Route{
			Name: n, Host: word.Draw(t, "host"), PathPrefix: "/" + strings.ReplaceAll(n, "/", "") + "/", Timeout: millis(t, "within"),
			LatencyObjective: millis(t, "aim"), Priority: rapid.IntRange(0, 9).Draw(t, "rank"), MaxTries: rapid.IntRange(0, 3).Draw(t, "tries"),
			Kind: rule.RequestKind(rapid.IntRange(0, 2).Draw(t, "kind")), Weighted: rapid.Bool().Draw(t, "split"),
		}
		r.Services = []rule.WeightedService{{Service: names[0], Weight: 1}}
		if r.Weighted {
			r.Services = append(r.Services, rule.WeightedService{Service: names[len(names)-1], Weight: float64(rapid.IntRange(0, 100).Draw(t, "weight"))})
		}
		out.Routes = append(out.Routes, r)
	}
	return out
}

// Guards against a change by a program that is in force other than it was sent, whatever its names are.
func TestMergeReadsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := traffics(t), traffics(t)
		text := rule.ReplaceTrafficRules("", 1, "a: b", first)
		text = rule.ReplaceTrafficRules(text, 2, "a: c", second)
		set, err := rule.Parse(text)
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		if got := set.TrafficRules(); !reflect.DeepEqual(got, second) {
			t.Fatalf("got %+v, want %+v from\n%s", got, second, text)
		}
	})
}

// Guards against a change by a program that touches lines which people wrote.
func TestMergeKeepsLines(t *testing.T) {
	old := golden(t, "traffic")
	set, err := rule.Parse(old)
	if err != nil {
		t.Fatal(err)
	}
	traffic := set.TrafficRules()
	traffic.Routes[1].Priority = 7
	got := rule.ReplaceTrafficRules(old, 8, "operator: test", traffic)
	want := strings.Replace(old, "change 7 # kari: routes", "change 8 # operator: test", 1)
	want = strings.Replace(want, "route moved host=booking.example path=/logs/ kind=download to=records:90,stock:10 # kari: a tenth goes to the new service",
		"route moved host=booking.example path=/logs/ kind=download rank=7 to=records:90,stock:10 # operator: test", 1)
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// Guards against an order to empty a zone that is lost, doubled, or takes other lines along when it is withdrawn.
func TestEvacuate(t *testing.T) {
	old := golden(t, "page")
	out := rule.SetZoneEvacuated(old, 8, "operator: out", "oslo-a", true)
	if again := rule.SetZoneEvacuated(out, 9, "operator: out", "oslo-a", true); strings.Count(again, "evacuate") != 1 {
		t.Errorf("twice out gives\n%s", again)
	}
	set, err := rule.Parse(out)
	if err != nil || !set.ZoneOut("oslo-a") {
		t.Fatalf("zone is not out: %v", err)
	}
	back := rule.SetZoneEvacuated(out, 9, "operator: back", "oslo-a", false)
	header := func(text string) string { return strings.Join(strings.SplitAfter(text, "\n")[2:], "") }
	if header(back) != header(old) {
		t.Errorf("back gives\n%s", back)
	}
}

// Guards against a request that the wrong route gets: the longest prefix of its own host decides.
func TestLookup(t *testing.T) {
	text := "format 1\nchange 1 # a: b\npool s # a: b\n" +
		"route short host=a.example path=/x/ to=s # a: b\n" +
		"route long host=a.example path=/x/y/ to=s # a: b\n" +
		"route other host=b.example path=/ to=s # a: b\n"
	set, err := rule.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1?q=/z/", "long"},
		{"A.Example:80", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/xy/1", ""},
		{"a.example", "", ""},
		{"b.example", "/x/y/1", "other"},
		{"c.example", "/x/y/1", ""},
	}
	for _, tt := range tests {
		if r, _ := set.RouteFor(tt.host, tt.path); r.Name != tt.want {
			t.Errorf("%s%s goes to %q, want %q", tt.host, tt.path, r.Name, tt.want)
		}
	}
}

// Guards against traffic rules that are accepted although they lead nowhere.
func TestTrafficProblems(t *testing.T) {
	head := "format 1\nchange 1 # a: b\npool s # a: b\n"
	for _, line := range []string{
		"route r path=/ to=s", "route r host=h to=s", "route r host=h path=/a to=s", "route r host=h path=a/ to=s",
		"route r host=h path=/", "route r host=h path=/ to=t", "route r host=h path=/ to=s:0", "route r host=h path=/ to=s:-1",
		"route r host=h path=/ to=s:x", "route r host=h path=/ to=s kind=odd", "route r host=h path=/ to=s within=1",
		"route r host=h path=/ to=s,", "pool s health=/", "bound idle=x", "evacuate", "evacuate a b",
	} {
		if _, err := rule.Parse(head + line + " # a: b\n"); err == nil {
			t.Errorf("%q is accepted", line)
		}
	}
}
