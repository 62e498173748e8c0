package refusalhelp_test

import (
	"strings"
	"testing"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/pollenhill/protocol/refusalhelp"
)

// Guards against a refusal reason that is added to package refusal without an entry, so that operators cannot look it up.
func TestEveryReasonHasEntry(t *testing.T) {
	for reason := refusal.None; !strings.HasPrefix(reason.String(), "Reason("); reason++ {
		entry, ok := refusalhelp.Find(reason.String())
		if !ok || entry.Reason != reason.String() || entry.Meaning == "" || entry.Action == "" {
			t.Errorf("no complete entry for %v", reason)
		}
	}
}

// Guards against a crash and against a wrong entry for text without a reason, such as an empty details parameter or a
// word that only begins like a reason.
func TestFindWithoutReason(t *testing.T) {
	for _, text := range []string{"", "details=", `details=""; level=0`, "coldness"} {
		if entry, ok := refusalhelp.Find(text); ok {
			t.Errorf("Find(%q) returns the entry of %q, want none", text, entry.Reason)
		}
	}
}
