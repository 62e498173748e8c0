package refusalhelp_test

import (
	"strings"
	"testing"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/pollenhill/protocol/refusalhelp"
)

// Guards against a reason that nodes send and operators cannot look up.
func TestEveryReason(t *testing.T) {
	for reason := refusal.None; !strings.HasPrefix(reason.String(), "Reason("); reason++ {
		a, ok := refusalhelp.Find(reason.String())
		if !ok || a.Reason != reason.String() || a.Meaning == "" || a.Action == "" {
			t.Errorf("no advice for %v", reason)
		}
	}
}

// Guards against a crash or a wrong reason for text that names none.
func TestFindNothing(t *testing.T) {
	for _, text := range []string{"", "details=", `details=""; level=0`, "coldness"} {
		if a, ok := refusalhelp.Find(text); ok {
			t.Errorf("%q is taken for %q", text, a.Reason)
		}
	}
}
