package program_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
	"pollenhill.example/node/program"
)

// streamWatchTime is how long the test checks that a node waits for a stream. A node that does not wait stops within 100 ms.
const streamWatchTime = 500 * time.Millisecond

// Guards against a shutdown that truncates a response in flight. A stream must go on while the entry node or the destination
// node shuts down.
func TestShutdownFinishesRunningStreams(t *testing.T) {
	for name, pick := range map[string]func(entry, destination *testNode) *testNode{
		"entry":       func(entry, _ *testNode) *testNode { return entry },
		"destination": func(_, destination *testNode) *testNode { return destination },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			next := make(chan string)
			finish := sync.OnceFunc(func() { close(next) })
			f := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/stream" {
					return
				}
				for part := range next {
					_, _ = io.WriteString(w, part)
					w.(http.Flusher).Flush()
				}
			})
			entry, destination := startPair(t, newFakeControl(), f)
			t.Cleanup(finish) // so that the handler of the back end returns if the test fails
			stopping := pick(entry, destination)
			c, r := startStream(t, entry)
			defer c.Close()
			next <- "before "
			readChunk(t, r, "before ")
			stopping.stop()
			eventually(t, "the node is leaving", func() bool { return stopping.fetchStatus().Leaving })
			if name == "destination" {
				eventually(t, "new work is refused as not run", func() bool {
					resp := sendRequest(t, entry, "POST", "/new", "", nil)
					return resp.StatusCode == 503 && resp.Header.Get("Pollenhill-Outcome") == "not-run"
				})
			}
			eventually(t, "the listener is closed", func() bool {
				c, err := net.Dial("tcp", stopping.settings.CallerAddress.String())
				if err == nil {
					c.Close()
				}
				return err != nil
			})
			select {
			case err := <-stopping.done:
				t.Fatalf("stopped with a stream in flight: %v", err)
			case <-time.After(streamWatchTime):
			}
			next <- "during "
			readChunk(t, r, "during ")
			next <- "after"
			finish()
			readChunk(t, r, "after")
			if end, err := r.ReadString('\n'); err != nil || end != "0\r\n" {
				t.Errorf("end %q, error %v", end, err)
			}
			stopping.stopAndWait(t)
		})
	}
}

// startStream sends the request for a chunked download.
func startStream(t *testing.T, node *testNode) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", node.settings.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET /stream HTTP/1.1\r\nHost: desk.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// readChunk reads one chunk, and skips the response header before the first one.
func readChunk(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatalf("before %q: %v", want, err)
		}
		if strings.TrimSpace(line) != fmt.Sprintf("%x", len(want)) {
			continue
		}
		part := make([]byte, len(want)+len("\r\n"))
		if _, err := io.ReadFull(r, part); err != nil || string(part) != want+"\r\n" {
			t.Fatalf("part %q, error %v, want %q", part, err, want)
		}
		return
	}
}

// Guards against a node that serves on only some of its listeners because the address of another one is in use.
func TestAddressInUseStartsNothing(t *testing.T) {
	cfg := testSettings(t, "node")
	ln, err := net.Listen("tcp", cfg.LocalAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	log := event.New(event.Config{Process: "node", Logger: zap.NewNop(), Clock: event.NewClock(time.Now)})
	p, err := program.New(program.Config{Settings: cfg, ControlClient: newFakeControl(), Events: log})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Run(t.Context()); err == nil || !strings.Contains(err.Error(), cfg.LocalAddress.String()) {
		t.Errorf("error %v does not name %s", err, cfg.LocalAddress)
	}
	for _, address := range []string{cfg.CallerAddress.String(), cfg.PeerAddress.String()} {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			t.Errorf("%s is open", address)
		}
	}
}

// Guards against invalid settings that are accepted, or whose error does not name the field.
func TestSettingsErrorsNameTheField(t *testing.T) {
	const good = `"name":"n","zone":"a","region":"r","caller":"127.0.0.1:1","peer":"127.0.0.1:2","local":"127.0.0.1:3"`
	tests := map[string]struct{ raw, want string }{
		"unknown field":     {`{` + good + `,"colour":1}`, "colour"},
		"unknown limit":     {`{` + good + `,"limits":{"heder":1}}`, "limits.heder"},
		"negative limit":    {`{` + good + `,"limits":{"body":-1}}`, "limits.body"},
		"bad duration":      {`{` + good + `,"limits":{"idle":"long"}}`, "limits.idle"},
		"bad address":       {`{"name":"n","zone":"a","region":"r","caller":"here","peer":"127.0.0.1:2","local":"127.0.0.1:3"}`, "field caller"},
		"missing name":      {`{"zone":"a","region":"r","caller":"127.0.0.1:1","peer":"127.0.0.1:2","local":"127.0.0.1:3"}`, "name"},
		"name with a slash": {`{"name":"a/b","zone":"a","region":"r","caller":"127.0.0.1:1","peer":"127.0.0.1:2","local":"127.0.0.1:3"}`, "name"},
		"control unnamed":   {`{` + good + `,"control":[{"address":"127.0.0.1:9"}]}`, "control[0].name"},
		"not JSON":          {`{`, "parse"},
	}
	for name, test := range tests {
		file := t.TempDir() + "/node.json"
		if err := os.WriteFile(file, []byte(test.raw), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := program.LoadSettings(file); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: error %v does not contain %q", name, err, test.want)
		}
	}
}
