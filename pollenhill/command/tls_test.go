package command_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/mtls/mtlstest"
	"pollenhill.example/pollenhill/command"
)

// serveControlTLS serves a healthy control process with mutual TLS on a loopback address, which it returns.
func serveControlTLS(t *testing.T, cfg mtls.Config) string {
	t.Helper()
	credentials, err := mtls.LoadCredentials(cfg)
	if err != nil {
		t.Fatal(err)
	}
	srv := newControlServer(newHealthyProcess())
	srv.Listener = credentials.WrapListener(srv.Listener, mtls.ALPNHTTP2, mtls.ALPNHTTP1)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// Guards against a client that cannot query a control group with TLS, queries one without a valid certificate, or does not
// report why it fails.
func TestStatusWithTLS(t *testing.T) {
	dir := t.TempDir()
	validUntil := time.Now().Add(time.Hour)
	authority, otherAuthority := mtlstest.NewAuthority(t), mtlstest.NewAuthority(t)
	operatorFiles := authority.Issue(t, dir, "operator", validUntil)
	foreignFiles := otherAuthority.Issue(t, dir, "foreign", validUntil)
	untrustedFiles := foreignFiles // trusts the control process, which does not trust it
	untrustedFiles.CAFile = operatorFiles.CAFile
	tlsAddress := serveControlTLS(t, authority.Issue(t, dir, "control", validUntil, net.IPv4(127, 0, 0, 1)))
	wrongIPAddress := serveControlTLS(t, authority.Issue(t, dir, "moved", validUntil, net.IPv4(127, 0, 0, 2)))
	flags := func(address string, cfg mtls.Config) []string {
		return []string{"--control", address, "--cert", cfg.CertFile, "--key", cfg.KeyFile, "--ca", cfg.CAFile}
	}
	plainAddress := serveControl(t, newHealthyProcess())
	cases := []struct {
		name string
		args []string
		code int
		err  []string
	}{
		{"good", flags(tlsAddress, operatorFiles), command.ExitOK, nil},
		{"other authority", flags(tlsAddress, foreignFiles), command.ExitUnreachable, []string{"TLS handshake to " + tlsAddress, "unknown authority"}},
		{"refused by the other side", flags(tlsAddress, untrustedFiles), command.ExitUnreachable, []string{"TLS handshake to " + tlsAddress, "remote error"}},
		{"wrong address", flags(wrongIPAddress, operatorFiles), command.ExitUnreachable, []string{"TLS handshake to " + wrongIPAddress, "127.0.0.2"}},
		{"no certificate", []string{"--control", tlsAddress}, command.ExitUnreachable, []string{tlsAddress}},
		{"plain control process", flags(plainAddress, operatorFiles), command.ExitUnreachable, []string{"TLS handshake to " + plainAddress, "does not use TLS"}},
		{"expired", flags(tlsAddress, authority.Issue(t, dir, "expired", time.Now().Add(-time.Minute))), command.ExitFileError, []string{"expired.crt", "valid from"}},
		{"a flag is missing", []string{"--control", tlsAddress, "--cert", operatorFiles.CertFile}, command.ExitFileError, []string{"--key"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			code, _, err := runCommand(t, "", append(tc.args, "status")...)
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
