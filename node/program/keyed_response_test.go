package program_test

import (
	"fmt"
	"sync"
	"testing"
)

// Guards against a request with an Idempotency-Key whose response is received but reported as lost. In about 3 of 100 requests
// the end of the body was handled before the recorded response was passed on.
func TestKeyedResponsesReachTheirCallers(t *testing.T) {
	const (
		callers  = 8
		requests = 50
	)
	f := newFakeBackend(t, nil)
	entry, _ := startPair(t, newFakeControl(), f)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := range requests {
				key := fmt.Sprintf("k%d-%d", c, n)
				headers := map[string]string{"Idempotency-Key": key}
				resp := sendRequest(t, entry, "POST", "/reserve", key, headers)
				// A cold back end refuses some of 8 concurrent requests with the outcome not-run.
				for resp.Header.Get("Pollenhill-Outcome") == "not-run" {
					resp = sendRequest(t, entry, "POST", "/reserve", key, headers)
				}
				if resp.StatusCode != 200 || resp.body != "echo "+key {
					t.Errorf("%s: status %d, body %q", key, resp.StatusCode, resp.body)
				}
			}
		})
	}
	wg.Wait()
}
