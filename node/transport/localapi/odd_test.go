package localapi_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/node/coordination/instance"
	"pollenhill.example/node/transport/localapi"
)

// recorder keeps what a Server accepts.
type recorder struct {
	mu    sync.Mutex
	beats []instance.Heartbeat
	ended []string
}

func (r *recorder) accepted() ([]instance.Heartbeat, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.beats, r.ended
}

// startRecording serves the local API until the test ends and returns its address.
func startRecording(t testing.TB) (*recorder, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{}
	server := localapi.New(localapi.Config{
		Zone: "a", Metrics: prometheus.NewRegistry(),
		OnHeartbeat: func(_ context.Context, h instance.Heartbeat) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.beats = append(r.beats, h)
			return nil
		},
		OnDeregister: func(_ context.Context, id string) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.ended = append(r.ended, id)
			return nil
		},
	})
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	return r, ln.Addr().String()
}

// send writes a request on c, with id as raw bytes of the target, and returns the status of the response.
func send(t testing.TB, c net.Conn, r *bufio.Reader, method, id, body string) int {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := fmt.Fprintf(c, "%s /backends/%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, id, len(body), body); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func dial(t testing.TB, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// reportWith returns a valid report with one field replaced, or without it if the value is empty.
func reportWith(field, value string) string {
	fields := map[string]string{
		"service": `"s"`, "address": `"127.0.0.1:80"`, "zone": `"a"`, "version": `"v1"`, "slots": "4", "state": `"ready"`, "warming": "0", "sequence": "3", "born": "7",
	}
	fields[field] = value
	var parts []string
	for name, v := range fields {
		if v != "" {
			parts = append(parts, fmt.Sprintf("%q:%s", name, v))
		}
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// Guards against a report of another writer that ends the node, is believed, or makes the announcements of the node unreadable
// for other processes: nested deeply, with a number too large, a port out of range, a field missing, or an ID that is not text.
func TestOddReportsChangeNothing(t *testing.T) {
	r, address := startRecording(t)
	const valid = "i-1"
	whole := reportWith("slots", "4")
	tests := []struct{ name, id, body string }{
		{"nested deeply", valid, strings.Repeat("[", 8000) + strings.Repeat("]", 8000)},
		{"nested field", valid, reportWith("zone", strings.Repeat(`{"a":`, 2000)+"1"+strings.Repeat("}", 2000))},
		{"port out of range", valid, reportWith("address", `"127.0.0.1:65536"`)},
		{"negative port", valid, reportWith("address", `"127.0.0.1:-1"`)},
		{"slots too large", valid, reportWith("slots", "1e99")},
		{"slots of 64 bits", valid, reportWith("slots", "9223372036854775807")},
		{"sequence too large", valid, reportWith("sequence", "18446744073709551616")},
		{"negative sequence", valid, reportWith("sequence", "-1")},
		{"fraction of a sequence", valid, reportWith("sequence", "1.5")},
		{"cold start too large", valid, reportWith("warming", "1e300")},
		{"cold start that overflows", valid, reportWith("warming", "9300000000000")},
		{"start too large", valid, reportWith("born", "1e30")},
		{"start in the far future", valid, reportWith("born", "9223372036854775807")},
		{"negative start", valid, reportWith("born", "-1")},
		{"state not known", valid, reportWith("state", `"odd"`)},
		{"without a service", valid, reportWith("service", "")},
		{"without an address", valid, reportWith("address", "")},
		{"without a zone", valid, reportWith("zone", "")},
		{"without a version", valid, reportWith("version", "")},
		{"without slots", valid, reportWith("slots", "")},
		{"without a state", valid, reportWith("state", "")},
		{"without its cold start", valid, reportWith("warming", "")},
		{"without a sequence", valid, reportWith("sequence", "")},
		{"null", valid, "null"},
		{"not JSON", valid, "\xff\xfe"},
		{"ID not UTF-8", "\xff\xfe", whole},
		{"ID too long", strings.Repeat("i", 200), whole},
	}
	c, in := dial(t, address)
	for _, tt := range tests {
		if status := send(t, c, in, http.MethodPut, tt.id, tt.body); status != http.StatusBadRequest {
			t.Errorf("%s: status %d", tt.name, status)
		}
	}
	if status := send(t, c, in, http.MethodDelete, "\xff", ""); status != http.StatusBadRequest {
		t.Errorf("deregistration with an odd ID: status %d", status)
	}
	if beats, ended := r.accepted(); len(beats) > 0 || len(ended) > 0 {
		t.Errorf("accepted %+v and %q", beats, ended)
	}
	if status := send(t, c, in, http.MethodPut, valid, whole); status != http.StatusOK {
		t.Errorf("valid report after the odd ones: status %d", status)
	}
}

// Guards against IDs that are views of a request buffer: they change when the buffer is used again, and a later report then
// speaks of another instance.
func TestReportIDsOutliveTheirRequest(t *testing.T) {
	r, address := startRecording(t)
	c, in := dial(t, address)
	send(t, c, in, http.MethodPut, "i-first", reportWith("sequence", "1"))
	send(t, c, in, http.MethodDelete, "i-third", "")
	send(t, c, in, http.MethodPut, "x-other", reportWith("sequence", "2"))
	beats, ended := r.accepted()
	if len(beats) != 2 || len(ended) != 1 || beats[0].ID != "i-first" || ended[0] != "i-third" {
		t.Errorf("heartbeats %+v, ended %q", beats, ended)
	}
}

// FuzzReport guards against reports that end the process, leave the bounds of an instance, or name one that cannot be encoded
// for other processes.
func FuzzReport(f *testing.F) {
	f.Add("i-1", reportWith("slots", "4"))
	f.Add("\xff", reportWith("slots", "4"))
	f.Add("i-1", reportWith("warming", "1e300"))
	f.Add("i-1", strings.Repeat("[", 100))
	r, address := startRecording(f)
	f.Fuzz(func(t *testing.T, id, body string) {
		if strings.ContainsAny(id, " \r\n\t/?#%") || id == "" {
			t.Skip("another request line")
		}
		c, in := dial(t, address)
		status := send(t, c, in, http.MethodPut, id, body)
		if status != http.StatusOK {
			return
		}
		beats, _ := r.accepted()
		h := beats[len(beats)-1]
		b := &control.Backend{Name: h.ID, Service: h.Service, Slots: uint32(h.Slots), Start: h.StartMillis}
		if _, err := proto.Marshal(b); err != nil {
			t.Errorf("%+v cannot be encoded: %v", h, err)
		}
		if h.Slots < 1 || int(b.GetSlots()) != h.Slots || h.ColdStart < 0 || h.ColdStart > instance.MaxColdStart {
			t.Errorf("out of bounds: %+v", h)
		}
	})
}
