package localapi_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"pollenhill.example/node/transport/localapi"
)

// Guards against response texts that change for back ends when a package or type is renamed: encoding/json writes the
// names of Go types into its errors.
func TestHeartbeatDecodeErrorTexts(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := localapi.New(localapi.Config{Metrics: prometheus.NewRegistry()})
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	for body, want := range map[string]string{
		`[]`:                                 "json: cannot unmarshal array into Go value of type local.beat\n",
		`{"slots":"6"}`:                      "json: cannot unmarshal string into Go struct field beat.slots of type int\n",
		`{"warming":true}`:                   "json: cannot unmarshal bool into Go struct field beat.warming of type float64\n",
		`{"sequence":-1}`:                    "json: cannot unmarshal number -1 into Go struct field beat.sequence of type uint64\n",
		`{"address":7}`:                      "json: cannot unmarshal number into Go struct field beat.address of type netip.AddrPort\n",
		`{"address":"localapi.heartbeat:1"}`: "ParseAddr(\"localapi.heartbeat\"): unexpected character (at \"localapi.heartbeat\")\n",
		`{`:                                  "unexpected end of JSON input\n",
	} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+ln.Addr().String()+"/backends/i-1", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest || string(got) != want {
			t.Errorf("%s: status %d, body %q, want 400, %q", body, resp.StatusCode, got, want)
		}
	}
}
