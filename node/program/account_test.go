package program_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"pollenhill.example/core/protocol/control"
)

const accountRules = `format 1
change 2 # test: accounts
pool desk health=/health connections=20 cold=1s rate=100 # test: one service
pool records health=/health connections=20 cold=1s rate=100 # test: called by the other one
route read host=desk.example path=/read/ kind=idempotent within=5s aim=1s rank=2 tries=2 to=desk # test: lookups
route look host=desk.example path=/look/ kind=idempotent within=5s aim=1s rank=3 tries=2 to=records open=yes # test: calls of back ends
account harbour keys=harbour-key rank=0 # test: harbour office
account sj%C3%B8%20club keys=club-key # test: rowing club
`

// fakePeer is another node with a back end of the service records. It answers each attempt and keeps its headers.
type fakePeer struct {
	mu       sync.Mutex
	received []http.Header
}

// startFakePeer starts a node and makes it a member.
func startFakePeer(t *testing.T, ctl *fakeControl) *fakePeer {
	t.Helper()
	p := &fakePeer{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.received = append(p.received, r.Header.Clone())
		p.mu.Unlock()
		w.Header().Set("Pollenhill-Attempt", r.Header.Get("Pollenhill-Attempt"))
		w.Header().Set("Pollenhill-Outcome", "answered")
	}))
	t.Cleanup(server.Close)
	ctl.Announce(&control.Member{
		Node: "other", Address: server.Listener.Addr().String(), Zone: "a", Region: "r", Incarnation: 1,
		Backends: []*control.Backend{{Name: "r-1", Service: "records", Slots: 50, Connections: 20, State: control.State_STATE_READY}},
	})
	return p
}

// last returns the headers of the newest attempt.
func (p *fakePeer) last() http.Header {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.received) == 0 {
		return http.Header{}
	}
	return p.received[len(p.received)-1]
}

// startAccountNodes starts a node beside b and one without a back end, both with accountRules, and a fake node.
func startAccountNodes(t *testing.T, b *rawBackend) (entry, destination *testNode, other *fakePeer) {
	t.Helper()
	ctl := newFakeControl()
	ctl.state.RulesText, ctl.state.Revision = accountRules, 2
	other = startFakePeer(t, ctl)
	destination = startNode(t, ctl, poolSettings(t, "desk-node", b))
	entry = startNode(t, ctl, poolSettings(t, "entry", nil))
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
	destination.sendHeartbeat(t, "i-1", b, "ready", 1)
	eventually(t, "the entry node reaches the back end", func() bool {
		return sendRequest(t, entry, "GET", "/read/warm", "", map[string]string{"Authorization": "Bearer club-key"}).StatusCode == http.StatusOK
	})
	return entry, destination, other
}

// Guards against a key, or an account that the caller named itself, at a back end or at another node, on the way through two
// nodes and through one.
func TestBackendGetsAccountAndNoKey(t *testing.T) {
	b := newRawBackend(t)
	entry, destination, _ := startAccountNodes(t, b)
	for _, node := range []*testNode{entry, destination} {
		for key, want := range map[string]string{"harbour-key": "harbour", "club-key": "sjø club"} {
			b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
			resp := sendRequest(t, node, "GET", "/read/1", "", map[string]string{
				"Authorization": "Bearer " + key, "Test-Account": "other", "Pollenhill-Account": "other", "Pollenhill-Rank": "7",
			})
			if resp.StatusCode != http.StatusOK || len(b.requests()) != 1 {
				t.Fatalf("%s: status %d, %d requests", node.settings.Name, resp.StatusCode, len(b.requests()))
			}
			checkIdentity(t, b.requests()[0].Header, want)
		}
	}
}

// checkIdentity fails if a request at a back end has another account than want, or a header that only nodes and callers use.
func checkIdentity(t *testing.T, h http.Header, want string) {
	t.Helper()
	if got := h.Values("Test-Account"); len(got) != 1 || got[0] != want {
		t.Errorf("account %q, want %q", got, want)
	}
	for name := range h {
		if name == "Authorization" || strings.HasPrefix(name, "Pollenhill-") && name != "Pollenhill-Depth" {
			t.Errorf("%s: %q reached the back end", name, h[name])
		}
	}
}

// Guards against a key or an account at the back end that an entry node with older rules let through: it knows no accounts and
// passes on what callers send.
func TestAttemptOfNodeWithoutAccountsNamesNone(t *testing.T) {
	b := newRawBackend(t)
	_, destination, _ := startAccountNodes(t, b)
	b.setReply(func(r *http.Request) (string, bool) { return validResponse(r, ""), false })
	req, err := http.NewRequest(http.MethodPost, "http://"+destination.settings.PeerAddress.String()+"/read/1", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		"Pollenhill-Attempt": "e/1/1", "Pollenhill-Service": "desk", "Pollenhill-Deadline": "5000", "Pollenhill-Depth": "0",
		"Pollenhill-Revision": "1", "Pollenhill-Route": "read", "Pollenhill-Aim": "1000", "Authorization": "Bearer harbour-key", "Test-Account": "harbour",
	} {
		req.Header.Set(name, value)
	}
	req.Header.Set("Pollenhill-Incarnation", strconv.FormatUint(destination.fetchStatus().Incarnation, 10))
	resp, err := callerTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if len(b.requests()) != 1 {
		t.Fatalf("status %d, %d requests", resp.StatusCode, len(b.requests()))
	}
	if h := b.requests()[0].Header; h.Get("Authorization") != "" || h.Get("Test-Account") != "" {
		t.Errorf("the back end got %v", h)
	}
}

// Guards against calls of a back end that are scheduled as if they belonged to nobody, or as if no slot waited for them, and against an account that outlasts the
// request for which they are made.
func TestCallInheritsFromRequestThatTheBackendRuns(t *testing.T) {
	b := newRawBackend(t)
	entry, destination, other := startAccountNodes(t, b)
	running, finish := make(chan struct{}), make(chan struct{})
	b.setReply(func(r *http.Request) (string, bool) {
		close(running)
		<-finish
		return validResponse(r, ""), false
	})
	done := make(chan int)
	go func() {
		done <- sendRequest(t, entry, "GET", "/read/1", "", map[string]string{"Authorization": "Bearer harbour-key", "Test-Request": "p1"}).StatusCode
	}()
	<-running
	call := func(node *testNode) (account, rank, named string) {
		t.Helper()
		if resp := sendRequest(t, node, "GET", "/look/1", "", map[string]string{"Test-Request": "p1.c1"}); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d", resp.StatusCode)
		}
		h := other.last()
		return h.Get("Pollenhill-Account"), h.Get("Pollenhill-Rank"), h.Get("Test-Account")
	}
	if account, rank, named := call(destination); account != "harbour" || rank != "0" || named != "" {
		t.Errorf("call beside the back end: account %q, rank %q, header %q", account, rank, named)
	}
	if nested := other.last().Get("Pollenhill-Nested"); nested == "" {
		t.Error("call beside the back end: not marked as nested")
	}
	if account, rank, _ := call(entry); account != "" || rank != "3" {
		t.Errorf("call at another node: account %q, rank %q", account, rank)
	}
	if nested := other.last().Get("Pollenhill-Nested"); nested != "" {
		t.Error("call at another node: marked as nested")
	}
	close(finish)
	if status := <-done; status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	eventually(t, "a call after its parent inherits nothing", func() bool {
		account, rank, _ := call(destination)
		return account == "" && rank == "3"
	})
}

// Guards against a refused key that nobody sees, or that the metrics or the status of the node show.
func TestRefusedKeyIsCountedAndNotShown(t *testing.T) {
	b := newRawBackend(t)
	entry, _, _ := startAccountNodes(t, b)
	for _, key := range []string{"Bearer former-key", ""} {
		if got := sendRequest(t, entry, "GET", "/read/1", "", map[string]string{"Authorization": key}).StatusCode; got != http.StatusUnauthorized {
			t.Errorf("%q: status %d", key, got)
		}
	}
	metrics := entry.fetchMetrics(t)
	for _, want := range []string{"keys_refused_total{", `sent="true"} 1`, `sent="false"} 1`, "rules_accounts{", "rules_keys{"} {
		if !strings.Contains(metrics, want) {
			t.Errorf("no %s in the metrics", want)
		}
	}
	if strings.Contains(metrics, "-key") {
		t.Error("the metrics show a key")
	}
}

// Guards against a key that comes back: a node that has put a newer revision in force must not go back to an older one within its
// boot, whichever control process or node offers it.
func TestRemovedKeyStaysRemoved(t *testing.T) {
	b := newRawBackend(t)
	_, node, _ := startAccountNodes(t, b)
	ctl := node.control.(*fakeControl)
	status := func() int {
		return sendRequest(t, node, "GET", "/read/1", "", map[string]string{"Authorization": "Bearer club-key"}).StatusCode
	}
	ctl.setRules(3, strings.Replace(strings.Replace(accountRules, "change 2", "change 3", 1), "keys=club-key", "keys=other-key", 1))
	eventually(t, "the key is refused", func() bool { return status() == http.StatusUnauthorized })
	for i, revision := range []uint64{1, 2, 3} {
		ctl.setRules(revision, accountRules)
		// A heartbeat with another number of slots makes the node apply the state of the control process before it answers.
		body := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","version":"v1","warming":0,"slots":%d,"state":"ready","sequence":%d,"born":7}`, b.ln.Addr(), 10+i, 10+i)
		if got := node.putLocal(t, "/backends/i-1", body); got != http.StatusOK {
			t.Fatalf("heartbeat: status %d", got)
		}
		if got := status(); got != http.StatusUnauthorized {
			t.Errorf("revision %d was offered: status %d", revision, got)
		}
	}
}
