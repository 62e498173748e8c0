package rule_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/state/rule"
)

// wordGenerator draws texts with characters that end words, separate options and begin comments, so that names need
// escaping.
var wordGenerator = rapid.StringMatching(`[a-z#%=,: ø]{1,8}`)

// drawMillis draws a duration in whole milliseconds, the precision of a routing table.
func drawMillis(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.IntRange(1, 100_000).Draw(t, name)) * time.Millisecond
}

func drawTrafficRules(t *rapid.T) rule.TrafficRules {
	names := rapid.SliceOfNDistinct(wordGenerator, 1, 4, rapid.ID[string]).Draw(t, "services")
	var out rule.TrafficRules
	for _, n := range names {
		out.Pools = append(out.Pools, rule.Pool{
			Name: n, HealthPath: "/" + wordGenerator.Draw(t, "health"), MaxConnections: rapid.IntRange(1, 1000).Draw(t, "connections"),
			ColdPeriod: drawMillis(t, "cold"), ColdRate: float64(rapid.IntRange(0, 1000).Draw(t, "rate")) / 8, UnknownFields: wordGenerator.Draw(t, "more"),
		})
	}
	if rapid.Bool().Draw(t, "bounded") {
		out.CallerLimits = &rule.CallerLimits{MaxHeaderBytes: rapid.IntRange(0, 1<<20).Draw(t, "header"), HeaderTimeout: drawMillis(t, "read") - time.Millisecond}
	}
	for _, n := range rapid.SliceOfNDistinct(wordGenerator, 0, 5, rapid.ID[string]).Draw(t, "routes") {
		r := rule.Route{
			Name: n, Host: wordGenerator.Draw(t, "host"), PathPrefix: "/" + strings.ReplaceAll(n, "/", "") + "/", Timeout: drawMillis(t, "within"),
			LatencyObjective: drawMillis(t, "aim"), Priority: rapid.IntRange(0, 9).Draw(t, "rank"), MaxTries: rapid.IntRange(0, 3).Draw(t, "tries"),
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

// Guards against a change by a program that comes into force with other values than it was sent with, for example because
// of special characters in names.
func TestTrafficRulesReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := drawTrafficRules(t), drawTrafficRules(t)
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

// Guards against a change by a program that modifies lines which operators wrote and which it does not change.
func TestReplaceTrafficRulesKeepsLines(t *testing.T) {
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

// Guards against an evacuation that is lost or written twice, or whose end removes other lines.
func TestSetZoneEvacuated(t *testing.T) {
	old := golden(t, "page")
	out := rule.SetZoneEvacuated(old, 8, "operator: out", "oslo-a", true)
	if again := rule.SetZoneEvacuated(out, 9, "operator: out", "oslo-a", true); strings.Count(again, "evacuate") != 1 {
		t.Errorf("taking the zone out twice gives\n%s", again)
	}
	set, err := rule.Parse(out)
	if err != nil || !set.ZoneOut("oslo-a") {
		t.Fatalf("zone is not out: %v", err)
	}
	back := rule.SetZoneEvacuated(out, 9, "operator: back", "oslo-a", false)
	rulesOnly := func(text string) string { return strings.Join(strings.SplitAfter(text, "\n")[2:], "") }
	if rulesOnly(back) != rulesOnly(old) {
		t.Errorf("taking the zone back gives\n%s", back)
	}
}

// Guards against a request that gets a route of another host, or one with a shorter path prefix than the longest match.
func TestRouteFor(t *testing.T) {
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

// Guards against accepting traffic rules that are incomplete, have invalid values, or send requests to unknown services.
func TestInvalidTrafficRules(t *testing.T) {
	header := "format 1\nchange 1 # a: b\npool s # a: b\n"
	for _, line := range []string{
		"route r path=/ to=s", "route r host=h to=s", "route r host=h path=/a to=s", "route r host=h path=a/ to=s",
		"route r host=h path=/", "route r host=h path=/ to=t", "route r host=h path=/ to=s:0", "route r host=h path=/ to=s:-1",
		"route r host=h path=/ to=s:x", "route r host=h path=/ to=s kind=odd", "route r host=h path=/ to=s within=1",
		"route r host=h path=/ to=s,", "pool s health=/", "bound idle=x", "evacuate", "evacuate a b",
	} {
		if _, err := rule.Parse(header + line + " # a: b\n"); err == nil {
			t.Errorf("%q is accepted", line)
		}
	}
}
