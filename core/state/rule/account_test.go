package rule_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pollenhill.example/core/state/rule"
)

// Guards against a key that identifies another account or none, and against one that leaves the process in the JSON of a set.
func TestAccountKeys(t *testing.T) {
	set, err := rule.Parse(golden(t, "account"))
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"k7wq2m5t9x": "harbour", "p3vd8n6r4z": "harbour", "a,b=c%": "sjø club", "": "", "k7wq2m5t9": "", "former": ""} {
		if got, ok := set.AccountByKey(key); got.Name != want || ok != (want != "") {
			t.Errorf("key %q: got account %q, want %q", key, got.Name, want)
		}
	}
	raw, err := json.Marshal(set)
	if err != nil || strings.Contains(string(raw), "k7wq2m5t9x") {
		t.Errorf("%v: the JSON of the set shows a key: %s", err, raw)
	}
}

// Guards against a problem that shows the key that two accounts share.
func TestSharedKeyIsNotShown(t *testing.T) {
	_, err := rule.Parse(golden(t, "account") + "account other keys=p3vd8n6r4z # kari: copied\n")
	if err == nil || !strings.Contains(err.Error(), `accounts "harbour" and "other" share a key`) {
		t.Fatalf("got %v", err)
	}
	if strings.Contains(err.Error(), "p3vd8n6r4z") {
		t.Errorf("the problem shows the key: %v", err)
	}
}

// Guards against a priority of the route that goes before that of the account, also where the account has the lowest number.
func TestAccountPriorityGoesFirst(t *testing.T) {
	zero := 0
	if got := (rule.Account{Priority: &zero}).RequestPriority(2); got != 0 {
		t.Errorf("account with priority 0: got %d", got)
	}
	if got := (rule.Account{}).RequestPriority(2); got != 2 {
		t.Errorf("account without priority: got %d, want that of the route", got)
	}
}

// Guards against a problem that shows a key, also one in a misspelt rule or option: problems are logged, and sent from one process
// to another.
func TestProblemsShowNoKeys(t *testing.T) {
	const key = "secretkey"
	lines := map[string]string{
		"no comment":             "account a keys=" + key,
		"option that is none":    "account a kyes=" + key + " # kari: test",
		"key after a blank":      "account a keys=k1, " + key + " # kari: test",
		"key without its option": "account a " + key + " # kari: test",
		"too many words":         "account a keys=k1 rank=0 quota=1 burst=1 more=x rank=2 " + key + " # kari: test",
		"repeated option":        "account a keys=k1 keys=" + key + " # kari: test",
		"bad rank":               "account a keys=" + key + " rank=first # kari: test",
		"bad quota":              "account a keys=" + key + " quota=-1 # kari: test",
		"misspelt rule":          "acount a keys=" + key + " # kari: test",
		"misspelt rule, option":  "acount a kyes=" + key + " # kari: test",
		"control character":      "account a keys=x\x01" + key + " # kari: test",
		"bad byte":               "account a keys=\xff" + key + " # kari: test",
		"account twice":          "account b keys=" + key + " # kari: test\naccount b keys=other # kari: test",
		"shared key":             "account b keys=" + key + " # kari: test\naccount c keys=" + key + " # kari: test",
		"empty key":              "account b keys=" + key + ",, # kari: test",
	}
	for name, line := range lines {
		_, err := rule.Parse("format 1\nchange 1 # kari: test\n" + line + "\n")
		if err == nil || strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a masked line that still shows a key, or that hides more than the keys.
func TestHideKeys(t *testing.T) {
	for line, want := range map[string]string{
		"account a keys=k1,k2 rank=0 # kari: test": "account a keys=(2) rank=0 # kari: test",
		"account a keys=k1":                        "account a keys=(1)",
		"account a keys= rank=0":                   "account a keys=(0) rank=0",
		"account a keys=k1 keys=k2,k3":             "account a keys=(1) keys=(2)",
		"route r host=h path=/keys=/":              "route r host=h path=/keys=/",
		"":                                         "",
	} {
		if got := rule.HideKeys(line); got != want {
			t.Errorf("%q: got %q, want %q", line, got, want)
		}
	}
}

// BenchmarkAccountByKey measures the look-up of a key among those of 2,900 accounts, which each request with a key takes.
func BenchmarkAccountByKey(b *testing.B) {
	var text strings.Builder
	text.WriteString("format 1\nchange 1 # kari: test\n")
	for i := range 2900 {
		fmt.Fprintf(&text, "account a%d keys=irth5mgjy5rcpihh%d,ddedev3nax7u27gx%d # kari: test\n", i, i, i)
	}
	set, err := rule.Parse(text.String())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := set.AccountByKey("ddedev3nax7u27gx2000"); !ok {
			b.Fatal("the key is unknown")
		}
	}
}
