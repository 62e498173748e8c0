package program_test

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/settings"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/mtls/mtlstest"
	"pollenhill.example/node/program"
)

// Guards against settings without a key or authorities, and against a node that starts plain, or in part, although its
// settings ask for TLS.
func TestBadStartWithTLS(t *testing.T) {
	files := mtlstest.NewAuthority(t).Issue(t, t.TempDir(), "node", time.Now().Add(time.Hour))
	cases := []struct {
		name, want string
		tls        map[string]string
	}{
		{"missing key", "tls.key", map[string]string{"cert": files.CertFile, "ca": files.CAFile}},
		{"unknown field", "tls.crt", map[string]string{"crt": files.CertFile}},
		{"absent file", "absent", map[string]string{"cert": files.CertFile, "key": files.KeyFile, "ca": filepath.Join(t.TempDir(), "absent")}},
		{"not a key", files.CAFile, map[string]string{"cert": files.CertFile, "key": files.CAFile, "ca": files.CAFile}},
		{"not an authority", files.KeyFile, map[string]string{"cert": files.CertFile, "key": files.KeyFile, "ca": files.KeyFile}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			raw, err := json.Marshal(config(t, "n"))
			if err != nil {
				t.Fatal(err)
			}
			var object map[string]any
			if err := json.Unmarshal(raw, &object); err != nil {
				t.Fatal(err)
			}
			object["tls"] = tc.tls
			if raw, err = json.Marshal(object); err != nil {
				t.Fatal(err)
			}
			cfg, err := settings.Parse[program.Settings](raw)
			if err == nil {
				log := event.New(event.Config{Process: "n", Logger: zap.NewNop(), Clock: event.NewClock(time.Now)})
				_, err = program.New(program.Config{Settings: cfg, ControlClient: newGroup(), Events: log})
			}
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("error %v does not mention %q", err, tc.want)
			}
		})
	}
}

// issue returns the TLS files of a node.
type issue func(name string) *mtls.Config

// authority returns an issue of files that no other authority's processes accept.
func authority(t testing.TB) issue {
	t.Helper()
	a := mtlstest.NewAuthority(t)
	return func(name string) *mtls.Config {
		cfg := a.Issue(t, t.TempDir(), name, time.Now().Add(time.Hour))
		return &cfg
	}
}

func tlsFiles(name string, files []issue) *mtls.Config {
	if len(files) == 0 || files[0] == nil {
		return nil
	}
	return files[0](name)
}

// transports runs a test with plain connections between the nodes and with TLS.
func transports(t *testing.T, test func(*testing.T, issue)) {
	t.Run("plain", func(t *testing.T) { test(t, nil) })
	t.Run("TLS", func(t *testing.T) { test(t, authority(t)) })
}

// Guards against an unauthenticated destination after which it is unknown whether a reservation ran: it is not run, so
// the caller may try again.
func TestRefusedHandshakeIsNotRun(t *testing.T) {
	destinations := map[string]func(*testing.T) issue{
		"other authority": func(t *testing.T) issue { return authority(t) },
		"plain":           func(*testing.T) issue { return nil },
	}
	for name, files := range destinations {
		t.Run(name, func(t *testing.T) {
			f := newFake(t, nil)
			g := newGroup()
			entry := start(t, g, config(t, "entry", authority(t)))
			destination := start(t, g, config(t, "destination", files(t)))
			destination.keep(t, f, "desk-1")
			var got answer
			eventually(t, "the destination is tried", func() bool {
				got = send(t, entry, "POST", "/reserve", "", nil)
				return strings.Contains(got.Header.Get("Proxy-Status"), "broken")
			})
			if got.Header.Get("Pollenhill-Outcome") != "not-run" || f.total() != 0 {
				t.Fatalf("status %d, %v, %d runs", got.StatusCode, got.Header, f.total())
			}
		})
	}
}
