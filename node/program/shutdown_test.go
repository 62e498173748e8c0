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

// quiet is how long a node that waits for a stream is watched; one that does not wait ends within 100 ms.
const quiet = 500 * time.Millisecond

// Guards against a shutdown that cuts a request in flight: a stream that runs on through the entry node, and through
// the destination node, while each of them ends.
func TestShutdownFinishesRunningStreams(t *testing.T) {
	for name, pick := range map[string]func(entry, destination *vm) *vm{
		"entry":       func(entry, _ *vm) *vm { return entry },
		"destination": func(_, destination *vm) *vm { return destination },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			next := make(chan string)
			finish := sync.OnceFunc(func() { close(next) })
			f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/stream" {
					return
				}
				for part := range next {
					_, _ = io.WriteString(w, part)
					w.(http.Flusher).Flush()
				}
			})
			entry, destination := pair(t, newGroup(), f)
			t.Cleanup(finish) // a failed test must not leave the back end waiting
			ending := pick(entry, destination)
			c, r := stream(t, entry)
			defer c.Close()
			next <- "before "
			readPart(t, r, "before ")
			ending.stop()
			eventually(t, "the node is leaving", func() bool { return ending.status().Leaving })
			if name == "destination" {
				eventually(t, "new work is refused as not run", func() bool {
					resp := send(t, entry, "POST", "/new", "", nil)
					return resp.StatusCode == 503 && resp.Header.Get("Pollenhill-Outcome") == "not-run"
				})
			}
			eventually(t, "the listener is closed", func() bool {
				c, err := net.Dial("tcp", ending.settings.CallerAddress.String())
				if err == nil {
					c.Close()
				}
				return err != nil
			})
			select {
			case err := <-ending.done:
				t.Fatalf("ended with a stream in flight: %v", err)
			case <-time.After(quiet):
			}
			next <- "during "
			readPart(t, r, "during ")
			next <- "after"
			finish()
			readPart(t, r, "after")
			if end, err := r.ReadString('\n'); err != nil || end != "0\r\n" {
				t.Errorf("end %q, error %v", end, err)
			}
			ending.end(t)
		})
	}
}

// stream starts a chunked download and reads its header.
func stream(t *testing.T, v *vm) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", v.settings.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET /stream HTTP/1.1\r\nHost: desk.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// readPart reads one chunk, after the header if it is the first.
func readPart(t *testing.T, r *bufio.Reader, want string) {
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

// Guards against a node that starts with only some of its listeners.
func TestAddressInUseStartsNothing(t *testing.T) {
	cfg := config(t, "node")
	ln, err := net.Listen("tcp", cfg.LocalAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	log := event.New(event.Config{Process: "node", Logger: zap.NewNop(), Clock: event.NewClock(time.Now)})
	p, err := program.New(program.Config{Settings: cfg, ControlClient: newGroup(), Events: log})
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

// Guards against wrong settings that are not refused, or whose error does not name the field.
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
