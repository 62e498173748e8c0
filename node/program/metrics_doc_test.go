package program_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// Guards against metrics that docs/metrics.md does not list, or lists with another type.
func TestMetricsAreDocumented(t *testing.T) {
	table, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	entry, _ := startPair(t, newFakeControl(), newFakeBackend(t, nil))
	sendRequest(t, entry, "GET", "/free", "", nil)
	sendRequest(t, entry, "GET", "/free", "", map[string]string{"Pollenhill-Depth": "26"})
	raw := entry.fetchMetrics(t)
	served := regexp.MustCompile(`(?m)^# TYPE (\S+) (\S+)$`).FindAllStringSubmatch(raw, -1)
	refused := false
	for _, m := range served {
		name, kind := m[1], m[2]
		refused = refused || name == "refusals_total"
		fromLibrary := name == "target_info" || strings.HasPrefix(name, "go_") || strings.HasPrefix(name, "process_")
		if row := "| `" + name + "` | " + kind + " |"; !fromLibrary && !strings.Contains(string(table), row) {
			t.Errorf("docs/metrics.md has no row %q", row)
		}
	}
	if !refused {
		t.Error("a refused call is not counted as refusals_total")
	}
}
