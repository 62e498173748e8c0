package command_test

import (
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pollenhill.example/core/protocol/control/controlconnect"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/mtls/mtlstest"
	"pollenhill.example/pollenhill/command"
)

// serveTLS starts a healthy control process with TLS and returns its address.
func serveTLS(t *testing.T, cfg mtls.Config) string {
	t.Helper()
	source, err := mtls.LoadCredentials(cfg)
	if err != nil {
		t.Fatal(err)
	}
	_, handler := controlconnect.NewControlHandler(healthy())
	srv := httptest.NewUnstartedServer(handler)
	srv.Listener = source.WrapListener(srv.Listener, mtls.ALPNHTTP2, mtls.ALPNHTTP1)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// Guards against a command line that cannot read a group with TLS, reads one without being allowed to, or hides why it
// cannot.
func TestStatusWithTLS(t *testing.T) {
	dir := t.TempDir()
	hour := time.Now().Add(time.Hour)
	ours, other := mtlstest.NewAuthority(t), mtlstest.NewAuthority(t)
	own := ours.Issue(t, dir, "operator", hour)
	foreign := other.Issue(t, dir, "foreign", hour)
	blind := foreign
	blind.CAFile = own.CAFile
	secured := serveTLS(t, ours.Issue(t, dir, "control", hour, net.IPv4(127, 0, 0, 1)))
	moved := serveTLS(t, ours.Issue(t, dir, "moved", hour, net.IPv4(127, 0, 0, 2)))
	flags := func(address string, cfg mtls.Config) []string {
		return []string{"--control", address, "--cert", cfg.CertFile, "--key", cfg.KeyFile, "--ca", cfg.CAFile}
	}
	plain := serve(t, healthy())
	cases := []struct {
		name string
		args []string
		code int
		err  []string
	}{
		{"good", flags(secured, own), command.ExitOK, nil},
		{"other authority", flags(secured, foreign), command.ExitUnreachable, []string{"TLS handshake to " + secured, "unknown authority"}},
		{"refused by the other side", flags(secured, blind), command.ExitUnreachable, []string{"TLS handshake to " + secured, "remote error"}},
		{"wrong address", flags(moved, own), command.ExitUnreachable, []string{"TLS handshake to " + moved, "127.0.0.2"}},
		{"no certificate", []string{"--control", secured}, command.ExitUnreachable, []string{secured}},
		{"plain control process", flags(plain, own), command.ExitUnreachable, []string{"TLS handshake to " + plain, "does not use TLS"}},
		{"expired", flags(secured, ours.Issue(t, dir, "expired", time.Now().Add(-time.Minute))), command.ExitFileError, []string{"expired.crt", "valid from"}},
		{"a flag is missing", []string{"--control", secured, "--cert", own.CertFile}, command.ExitFileError, []string{"--key"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			code, _, err := run(t, "", append(tc.args, "status")...)
			if code != tc.code {
				t.Fatalf("exit code %d, want %d: %s", code, tc.code, err)
			}
			for _, part := range tc.err {
				if !strings.Contains(err, part) {
					t.Errorf("error %q does not mention %q", err, part)
				}
			}
		})
	}
}
