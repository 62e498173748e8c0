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

// Guards against incomplete TLS settings that are accepted, and against a node that starts without TLS, or with only a part of
// it, although its settings name TLS files.
func TestInvalidTLSSettingsAreRefused(t *testing.T) {
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
			raw, err := json.Marshal(testSettings(t, "n"))
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
				_, err = program.New(program.Config{Settings: cfg, ControlClient: newFakeControl(), Events: log})
			}
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("error %v does not mention %q", err, tc.want)
			}
		})
	}
}

// tlsIssuer issues the TLS files of the named node.
type tlsIssuer func(name string) *mtls.Config

// newAuthority returns the issuer of a new certificate authority, which processes with files of another authority reject.
func newAuthority(t testing.TB) tlsIssuer {
	t.Helper()
	a := mtlstest.NewAuthority(t)
	return func(name string) *mtls.Config {
		cfg := a.Issue(t, t.TempDir(), name, time.Now().Add(time.Hour))
		return &cfg
	}
}

// tlsConfig returns the TLS settings of a node, nil without an issuer.
func tlsConfig(name string, issuers []tlsIssuer) *mtls.Config {
	if len(issuers) == 0 || issuers[0] == nil {
		return nil
	}
	return issuers[0](name)
}

// withAndWithoutTLS runs a test twice: with plain connections between the nodes, and with TLS.
func withAndWithoutTLS(t *testing.T, test func(*testing.T, tlsIssuer)) {
	t.Run("plain", func(t *testing.T) { test(t, nil) })
	t.Run("TLS", func(t *testing.T) { test(t, newAuthority(t)) })
}

// Guards against the outcome unknown after a TLS handshake with the destination failed. The request has not run, so that the
// caller may retry it.
func TestRefusedHandshakeIsNotRun(t *testing.T) {
	destinations := map[string]func(*testing.T) tlsIssuer{
		"other authority": func(t *testing.T) tlsIssuer { return newAuthority(t) },
		"plain":           func(*testing.T) tlsIssuer { return nil },
	}
	for name, newIssuer := range destinations {
		t.Run(name, func(t *testing.T) {
			f := newFakeBackend(t, nil)
			ctl := newFakeControl()
			entry := startNode(t, ctl, testSettings(t, "entry", newAuthority(t)))
			destination := startNode(t, ctl, testSettings(t, "destination", newIssuer(t)))
			destination.keepAnnounced(t, f, "desk-1")
			var got response
			eventually(t, "the destination has been tried", func() bool {
				got = sendRequest(t, entry, "POST", "/reserve", "", nil)
				return strings.Contains(got.Header.Get("Proxy-Status"), "broken")
			})
			if got.Header.Get("Pollenhill-Outcome") != "not-run" || f.totalRuns() != 0 {
				t.Fatalf("status %d, %v, %d runs", got.StatusCode, got.Header, f.totalRuns())
			}
		})
	}
}
