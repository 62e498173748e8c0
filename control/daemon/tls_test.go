package daemon_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"pollenhill.example/control/daemon"
	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/control/controlconnect"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/mtls/mtlstest"
	"pollenhill.example/core/transport/tcp"
)

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// certAddresses are the addresses that the processes of these tests listen on and dial from.
var certAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv4(127, 0, 0, 2)}

// tlsDialer returns the dialer of a process with the given TLS files.
func tlsDialer(t testing.TB, cfg mtls.Config) dialFunc {
	t.Helper()
	credentials, err := mtls.LoadCredentials(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return credentials.WrapDialer(tcp.Dialer{Timeout: time.Second}).DialContext
}

// issueFiles writes the TLS files of a process, valid for an hour.
func issueFiles(t testing.TB, a mtlstest.Authority, name string) *mtls.Config {
	t.Helper()
	cfg := a.Issue(t, t.TempDir(), name, time.Now().Add(time.Hour), certAddresses...)
	return &cfg
}

// rawTLSDialer returns a TLS dialer that does not verify the server and offers the given ALPN protocol; it may have no
// certificate.
func rawTLSDialer(protocol string, certificates ...tls.Certificate) dialFunc {
	d := tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocol}, Certificates: certificates}}
	return d.DialContext
}

func loadKeyPair(t testing.TB, cfg mtls.Config) tls.Certificate {
	t.Helper()
	c, err := tls.LoadX509KeyPair(cfg.CertFile, cfg.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// access is a way to connect to a port.
type access struct {
	name   string
	dial   dialFunc
	served bool // calls must be served
}

// accesses returns the ways to connect to processes that trust authority, of which only the first must be served.
func accesses(t testing.TB, authority mtlstest.Authority, protocol string) []access {
	t.Helper()
	expired := authority.Issue(t, t.TempDir(), "expired", time.Now().Add(-time.Minute), certAddresses...)
	return []access{
		{"good", rawTLSDialer(protocol, loadKeyPair(t, *issueFiles(t, authority, "good"))), true},
		{"other authority", rawTLSDialer(protocol, loadKeyPair(t, *issueFiles(t, mtlstest.NewAuthority(t), "other"))), false},
		{"no certificate", rawTLSDialer(protocol), false},
		{"expired", rawTLSDialer(protocol, loadKeyPair(t, expired)), false},
		{"plain", (&net.Dialer{}).DialContext, false},
	}
}

// Guards against a process without a valid certificate of the authority that can call any method of a control process.
func TestControlServesMembersOnly(t *testing.T) {
	authority := mtlstest.NewAuthority(t)
	s := singleSettings(t)
	s.TLS = issueFiles(t, authority, "c1")
	d, _ := start(t, s)
	submitAccepted(t, d, 1)
	intruder := &control.Member{Node: "intruder", Address: "127.0.0.1:1", Zone: "oslo-a", Region: "oslo", Incarnation: 1}
	for _, a := range accesses(t, authority, mtls.ALPNHTTP2) {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{DialContext: a.dial, Protocols: protocols}
		t.Cleanup(transport.CloseIdleConnections)
		url := "http://" + s.Listen.String()
		c := controlconnect.NewControlClient(&http.Client{Transport: transport}, url)
		p := controlconnect.NewPeerClient(&http.Client{Transport: transport}, url)
		calls := []struct {
			name string
			call func(ctx context.Context) error
		}{
			{"announce", func(ctx context.Context) error {
				m := intruder
				if a.served {
					m = nil
				}
				return errorOf(c.Announce(ctx, connect.NewRequest(&control.AnnounceRequest{Member: m})))
			}},
			{"watch", func(ctx context.Context) error {
				in, err := c.Watch(ctx, connect.NewRequest(&control.WatchRequest{Node: "intruder", Zone: "oslo-a", Region: "oslo"}))
				if err != nil {
					return err
				}
				defer in.Close()
				if in.Receive() {
					return nil
				}
				return in.Err()
			}},
			{"claim", func(ctx context.Context) error {
				return errorOf(c.Claim(ctx, connect.NewRequest(&control.ClaimRequest{Service: "booking", Key: a.name, Attempt: "i 1 1", Print: 1})))
			}},
			{"finish", func(ctx context.Context) error {
				return errorOf(c.Finish(ctx, connect.NewRequest(&control.FinishRequest{Service: "booking", Key: a.name, Attempt: "i 1 1", Answer: &control.Answer{}})))
			}},
			{"release", func(ctx context.Context) error {
				return errorOf(c.Release(ctx, connect.NewRequest(&control.ReleaseRequest{Service: "booking", Key: a.name, Attempt: "i 1 1"})))
			}},
			{"status", func(ctx context.Context) error {
				return errorOf(c.Status(ctx, connect.NewRequest(&control.StatusRequest{})))
			}},
			{"rules", func(ctx context.Context) error {
				return errorOf(c.Rules(ctx, connect.NewRequest(&control.RulesRequest{})))
			}},
			{"raft", func(ctx context.Context) error {
				return errorOf(p.Raft(ctx, connect.NewRequest(&control.RaftRequest{From: "c1"})))
			}},
			{"exchange", func(ctx context.Context) error {
				return errorOf(p.Exchange(ctx, connect.NewRequest(&control.ExchangeRequest{})))
			}},
			{"forward", func(ctx context.Context) error {
				return errorOf(p.Forward(ctx, connect.NewRequest(&control.ForwardRequest{Command: []byte("x")})))
			}},
		}
		for _, call := range calls {
			t.Run(a.name+"/"+call.name, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				err := call.call(ctx)
				// A response of the handler, even an error, shows that the call was served.
				if served := err == nil || connect.IsWireError(err); served != a.served {
					t.Fatalf("error %v, want served %v", err, a.served)
				}
			})
		}
	}
	c := startClient(t, "n", s)
	got := awaitState(t, c, "own member", func(s *follow.State) bool { return len(s.Members) > 0 && s.Confirmed })
	for _, m := range got.Members {
		if m.GetNode() == "intruder" {
			t.Fatal("the intruder is in the directory")
		}
	}
	if n := countEvents(t, s.EventFile, event.TLSHandshakeFailed, "TLS handshake from", "127.0.0.1"); n != 1 {
		t.Fatalf("%d events about refused peers of one address, want 1 per minute", n)
	}
}

func errorOf[T any](_ T, err error) error { return err }

// countEvents returns the number of events in the event file with the given kind, step and prefix of the peer.
func countEvents(t *testing.T, path string, kind event.Kind, step, peer string) int {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for line := range strings.Lines(string(raw)) {
		var e struct {
			Event              event.Kind
			Step, Peer, Reason string
		}
		if json.Unmarshal([]byte(line), &e) == nil && e.Event == kind && e.Step == step && strings.HasPrefix(e.Peer, peer) && e.Reason != "" {
			n++
		}
	}
	return n
}

// Guards against control processes that reach no consensus over TLS, and against one that stays current although its
// certificate is from another authority.
func TestGroupWithTLS(t *testing.T) {
	authority := mtlstest.NewAuthority(t)
	all := make([]daemon.Settings, 3)
	var peers []daemon.Peer
	for i := range all {
		all[i] = singleSettings(t)
		all[i].Name = fmt.Sprintf("c%d", i+1)
		all[i].TLS = issueFiles(t, authority, all[i].Name)
		peers = append(peers, daemon.Peer{Name: all[i].Name, Address: all[i].Listen, Region: "oslo"})
	}
	daemons, stops := make([]*daemon.Daemon, 3), make([]func(), 3)
	for i := range all {
		all[i].Peers = peers
		daemons[i], stops[i] = start(t, all[i])
	}
	change := func(number uint64) {
		eventually(t, "a change is accepted", func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			res, err := daemons[0].SubmitRules(ctx, number, ruleText(number))
			return err == nil && res.Verdict == replica.VerdictAccepted
		})
	}
	change(1)
	for _, s := range all {
		awaitState(t, startClient(t, "n-"+s.Name, s), "first change at "+s.Name, func(s *follow.State) bool { return s.RulesText == ruleText(1) })
	}

	stops[2]()
	all[2].TLS = issueFiles(t, mtlstest.NewAuthority(t), "c3")
	all[2].EventFile = filepath.Join(t.TempDir(), "events")
	_, _ = start(t, all[2])
	change(2)
	awaitState(t, startClient(t, "n", all[1]), "second change", func(s *follow.State) bool { return s.RulesText == ruleText(2) })
	for _, peer := range peers[:2] {
		eventually(t, "an event about "+peer.Name, func() bool {
			return countEvents(t, all[2].EventFile, event.TLSHandshakeFailed, "TLS handshake to", peer.Address.String()) == 1
		})
	}
	third := startClient(t, "n3", all[2])
	awaitState(t, third, "member at the third process", func(s *follow.State) bool { return len(s.Members) == 1 })
	if s := third.State(); s.Confirmed || s.RulesText == ruleText(2) {
		t.Fatalf("the third process is current: %+v", s)
	}
}

// Guards against a start with unusable TLS files, or one that fails without naming the file or field.
func TestInvalidTLSFiles(t *testing.T) {
	files := issueFiles(t, mtlstest.NewAuthority(t), "c1")
	cases := []struct {
		name, want string
		tls        map[string]any
	}{
		{"missing key", "tls.key", map[string]any{"cert": files.CertFile, "ca": files.CAFile}},
		{"unknown field", "tls.crt", map[string]any{"crt": files.CertFile}},
		{"absent file", "absent", map[string]any{"cert": files.CertFile, "key": files.KeyFile, "ca": filepath.Join(t.TempDir(), "absent")}},
		{"not a key", files.CAFile, map[string]any{"cert": files.CertFile, "key": files.CAFile, "ca": files.CAFile}},
		{"not an authority", files.KeyFile, map[string]any{"cert": files.CertFile, "key": files.KeyFile, "ca": files.KeyFile}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := singleSettings(t)
			path := saveSettings(t, s, func(m map[string]any) { m["tls"] = tc.tls })
			var errs strings.Builder
			if code := daemon.Main([]string{"control", "--settings", path}, &errs); code == 0 {
				t.Error("exit code 0")
			}
			if !strings.Contains(errs.String(), tc.want) {
				t.Errorf("error %q does not mention %q", errs.String(), tc.want)
			}
			assertNothingLeft(t, s, true)
			if _, err := os.Stat(s.EventFile); err == nil {
				t.Error("an event file was left behind")
			}
		})
	}
}
