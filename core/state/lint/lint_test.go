package lint_test

import (
	"testing"

	"pollenhill.example/core/state/lint"
	"pollenhill.example/core/state/rule"
)

const header = "format 1\nchange 7 # kari: test\n"

// soundRules use every verb that is checked, and nothing in them is doubtful.
const soundRules = header + `service booking host=booking.example path=/boats # kari: test
pool records cold=3s rate=35 # kari: test
route lookup host=booking.example path=/free/ kind=idempotent within=500ms aim=200ms to=records open=yes # kari: test
route logs host=booking.example path=/free/logs/ to=records # kari: test
account harbour keys=k1 quota=40 burst=80 # kari: test
`

func check(t *testing.T, text string) []lint.Finding {
	t.Helper()
	set, err := rule.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return lint.Check(set, text)
}

// Guards against findings about sound rules, which would teach operators to skip them.
func TestSoundRulesHaveNoFindings(t *testing.T) {
	if got := check(t, soundRules); len(got) > 0 {
		t.Errorf("got %v", got)
	}
}

// Guards against an entry that silently never matches, or a limit that silently has no effect.
func TestFindings(t *testing.T) {
	for name, tc := range map[string]struct {
		lines string
		want  lint.Finding // without Reason
	}{
		"host in other case": {
			lines: "route other host=BOOKING.example path=/free/ to=records # a: b\n",
			want:  lint.Finding{Class: lint.NeverMatches, Verb: "route", Name: "lookup", Line: 5},
		},
		"query in a path": {
			lines: "route query host=booking.example path=/x?y/ to=records # a: b\n",
			want:  lint.Finding{Class: lint.NeverMatches, Verb: "route", Name: "query", Line: 8},
		},
		"blank in a path": {
			lines: "route blank host=booking.example path=/x%20y/ to=records # a: b\n",
			want:  lint.Finding{Class: lint.NeverMatches, Verb: "route", Name: "blank", Line: 8},
		},
		"weight 0": {
			lines: "route split host=booking.example path=/split/ to=records:1,booking:0 # a: b\n",
			want:  lint.Finding{Class: lint.NeverMatches, Verb: "route", Name: "split", Line: 8},
		},
		"objective after the timeout": {
			lines: "route late host=booking.example path=/late/ within=1s aim=2s to=records # a: b\n",
			want:  lint.Finding{Class: lint.Contradicts, Verb: "route", Name: "late", Line: 8},
		},
		"objective after the default timeout": {
			lines: "route late host=booking.example path=/late/ aim=3s to=records # a: b\n",
			want:  lint.Finding{Class: lint.Contradicts, Verb: "route", Name: "late", Line: 8},
		},
		"pool without a route": {
			lines: "pool stock # a: b\n",
			want:  lint.Finding{Class: lint.NeverMatches, Verb: "pool", Name: "stock", Line: 8},
		},
		"cold back end that gets no request": {
			lines: "pool stock cold=100ms rate=5 # a: b\nroute stock host=stock.example path=/ to=stock # a: b\n",
			want:  lint.Finding{Class: lint.Contradicts, Verb: "pool", Name: "stock", Line: 8},
		},
		"more hedges than extra attempts": {
			lines: "hedge booking 20% # a: b\n",
			want:  lint.Finding{Class: lint.Contradicts, Verb: "service", Name: "booking", Line: 3},
		},
		"service behind a route": {
			lines: "service rest host=booking.example path=/free/ # a: b\n",
			want:  lint.Finding{Class: lint.NeverMatches, Verb: "service", Name: "rest", Line: 8},
		},
		"account without a key": {
			lines: "account sj%C3%B8 # a: b\n",
			want:  lint.Finding{Class: lint.NeverMatches, Verb: "account", Name: "sjø", Line: 8},
		},
		"burst without quota": {
			lines: "account b keys=k2 burst=3 # a: b\n",
			want:  lint.Finding{Class: lint.Contradicts, Verb: "account", Name: "b", Line: 8},
		},
		"rollout of an unknown service": {
			lines: "rollout bookings target=v2 within=12s # a: b\n",
			want:  lint.Finding{Class: lint.NeverMatches, Verb: "rollout", Name: "bookings", Line: 8},
		},
		"quota below one request": {
			lines: "account b keys=k2 quota=0.5 # a: b\n",
			want:  lint.Finding{Class: lint.Contradicts, Verb: "account", Name: "b", Line: 8},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := check(t, soundRules+tc.lines)
			if len(got) != 1 {
				t.Fatalf("got %v, want one finding", got)
			}
			if got[0].Reason == "" {
				t.Error("no reason")
			}
			got[0].Reason = ""
			if got[0] != tc.want {
				t.Errorf("got %+v, want %+v", got[0], tc.want)
			}
		})
	}
}

// Guards against access that has no effect: open routes without accounts, and accounts whose key no route needs.
func TestAccessWithoutEffect(t *testing.T) {
	pool := "pool records # a: b\n"
	open := "route lookup host=a.example path=/ to=records open=yes # a: b\n"
	if got := check(t, header+pool+open); len(got) != 1 || got[0].Class != lint.Contradicts || got[0].Verb != "route" {
		t.Errorf("open route without accounts: got %v", got)
	}
	if got := check(t, header+pool+open+"account b keys=k # a: b\n"); len(got) != 1 || got[0].Class != lint.NeverMatches || got[0].Verb != "account" {
		t.Errorf("account beside open routes only: got %v", got)
	}
}
