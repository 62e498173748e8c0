package rule_test

import (
	"encoding/json"
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
