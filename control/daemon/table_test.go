package daemon_test

import (
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"pollenhill.example/control/daemon"
)

// callTable sends a call about the table to a process and returns the status and the body of the response.
func callTable(t *testing.T, s daemon.Settings, method, base, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Listen.String()+"/table", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if base != "" {
		req.Header.Set("If-Match", base)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(raw)
}

// Guards against a table whose times read back cut off (review/15), and against patches that change items which they don't name,
// also when the process restarts in between.
func TestTimesReadBack(t *testing.T) {
	const routes = `{"name":"a","host":"h","path":"/a/","kind":"idempotent","timeout":512.3,"aim":128.2,"rank":2,"service":"s","tries":2}`
	const rest = `"services":[{"name":"s","health":"/health","connections":260,"cold":4.1,"rate":42},{"name":"t","health":"/health","connections":260,"cold":1.118,"rate":42}],` +
		`"limits":{"header":16384,"body":67108864,"read":513.8,"idle":16400.9}`
	const patch = `{"name":"b","host":"h","path":"/b/","kind":"idempotent","timeout":1000,"aim":200,"rank":2,"service":"t","tries":2}`
	s := singleSettings(t)
	_, stop := start(t, s)
	await := func(method, base, body string) string {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			if status, answer := callTable(t, s, method, base, body); status == http.StatusOK {
				return answer
			}
		}
		t.Fatalf("%s is not answered", method)
		return ""
	}
	check := func(want string) {
		t.Helper()
		got := await(http.MethodGet, "", "")
		if !equalJSON(t, got, want) {
			t.Errorf("got  %s\nwant %s", got, want)
		}
	}
	await(http.MethodPut, "0", `{"version":1,"routes":[`+routes+`],`+rest+`}`)
	check(`{"version":1,"routes":[` + routes + `],` + rest + `}`)
	await(http.MethodPatch, "1", `{"version":2,"set":{"routes":[`+patch+`]}}`)
	await(http.MethodPatch, "2", `{"version":3,"set":{"routes":[`+patch+`]}}`)
	check(`{"version":3,"routes":[` + routes + `,` + patch + `],` + rest + `}`)
	stop()
	start(t, s)
	await(http.MethodPatch, "3", `{"version":4,"drop":{"routes":["b"]}}`)
	check(`{"version":4,"routes":[` + routes + `],` + rest + `}`)
}

func equalJSON(t *testing.T, a, b string) bool {
	t.Helper()
	var x, y any
	if err := json.Unmarshal([]byte(a), &x); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(b), &y); err != nil {
		t.Fatal(err)
	}
	return reflect.DeepEqual(x, y)
}
