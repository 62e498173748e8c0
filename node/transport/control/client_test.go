package control_test

import (
	"context"
	"encoding/base64"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
	client "pollenhill.example/node/transport/control"
)

// runWithRules runs f in virtual time, after the client has received the rules of revision 5, which every control
// process holds.
func runWithRules(t *testing.T, f func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		for _, f := range h.processes {
			f.update(func() { f.rules = fullRules(5) })
		}
		sleep(time.Second)
		if s := h.client.State(); s.Revision != 5 || !s.Confirmed || h.followed(t).region != "home" {
			t.Fatalf("start: %+v", s)
		}
		f(t, h)
	})
}

// Guards against a client that keeps following a faulty control process, loses its state or returns to older rules.
func TestFaultyControlProcess(t *testing.T) {
	tests := []struct {
		name      string
		fault     func(h *harness, at *fakeControlProcess)
		switches  bool
		confirmed bool
	}{
		{"silent partition", func(_ *harness, at *fakeControlProcess) { at.update(func() { at.silent = true }) }, true, true},
		{"not current", func(_ *harness, at *fakeControlProcess) { at.update(func() { at.current = false }) }, true, true},
		{"ended stream", func(_ *harness, at *fakeControlProcess) { at.stop() }, true, true},
		{"none current", func(h *harness, _ *fakeControlProcess) {
			for _, f := range h.processes {
				f.update(func() { f.current = false })
			}
		}, false, false},
		{"all silent", func(h *harness, _ *fakeControlProcess) {
			for _, f := range h.processes {
				f.update(func() { f.silent = true })
			}
		}, false, false},
		{"restarted with older state", func(h *harness, at *fakeControlProcess) {
			for _, f := range h.processes {
				f.update(func() { f.rules = fullRules(2) })
			}
			at.stop()
		}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWithRules(t, func(t *testing.T, h *harness) {
				at := h.followed(t)
				tt.fault(h, at)
				sleep(2500 * time.Millisecond) // one heartbeat and the two seconds in which a node must switch
				s := h.client.State()
				if (s.Server != at.name) != tt.switches || s.Confirmed != tt.confirmed {
					t.Errorf("switched from %s to %q, confirmed %v; want switch %v, confirmed %v", at.name, s.Server, s.Confirmed, tt.switches, tt.confirmed)
				}
				if s.Revision != 5 || s.RulesText != rulesText(5) {
					t.Errorf("revision %d with text %q", s.Revision, s.RulesText)
				}
			})
		})
	}
}

// Guards against wrong or older rules at the client after the stream loses, repeats, reorders or corrupts messages.
func TestFaultyRulesStream(t *testing.T) {
	wrong := rulesDelta(5, 6)
	wrong.GetRules().Hash++
	tests := []struct {
		name string
		send []*control.WatchResponse
		full bool // the client must ask for the full text
	}{
		{"in order", []*control.WatchResponse{rulesDelta(5, 6), rulesDelta(6, 7)}, false},
		{"duplicated", []*control.WatchResponse{rulesDelta(5, 6), rulesDelta(5, 6), rulesDelta(6, 7), rulesDelta(6, 7)}, false},
		{"older one again", []*control.WatchResponse{rulesDelta(5, 6), rulesDelta(6, 7), rulesDelta(5, 6)}, false},
		{"one lost", []*control.WatchResponse{rulesDelta(6, 7)}, true},
		{"reordered", []*control.WatchResponse{rulesDelta(6, 7), rulesDelta(5, 6)}, true},
		{"wrong hash", []*control.WatchResponse{wrong}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWithRules(t, func(t *testing.T, h *harness) {
				at := h.followed(t)
				for _, f := range h.processes {
					f.update(func() { f.rules, f.requests = fullRules(7), nil })
				}
				for _, msg := range tt.send {
					at.push(msg)
				}
				sleep(time.Second)
				if s := h.client.State(); s.Revision != 7 || s.RulesText != rulesText(7) {
					t.Errorf("revision %d with text %q", s.Revision, s.RulesText)
				}
				asked := 0
				for _, f := range h.processes {
					f.update(func() {
						asked += lo.CountBy(f.requests, func(r *control.WatchRequest) bool { return r.GetRevision() == 0 })
					})
				}
				if (asked > 0) != tt.full {
					t.Errorf("asked for the full text %d times, want any: %v", asked, tt.full)
				}
			})
		})
	}
}

// Guards against member deltas that are not applied, and against a member list that is lost when the stream ends.
func TestMembersAcrossStreams(t *testing.T) {
	runWithRules(t, func(t *testing.T, h *harness) {
		members := func(full bool, set []string, gone ...string) *control.WatchResponse {
			m := &control.Members{Full: full, Gone: gone}
			for _, n := range set {
				m.Set = append(m.Set, &control.Member{Node: n})
			}
			return &control.WatchResponse{Event: &control.WatchResponse_Members{Members: m}}
		}
		at := h.followed(t)
		at.push(members(true, []string{"a", "b"}))
		at.push(members(false, []string{"c"}, "a"))
		sleep(100 * time.Millisecond)
		names := func() string {
			all := ""
			for _, m := range h.client.State().Members {
				all += m.GetNode()
			}
			return all
		}
		if names() != "bc" {
			t.Errorf("members %q, want bc", names())
		}
		for _, f := range h.processes {
			f.stop()
		}
		sleep(10 * time.Second)
		if s := h.client.State(); names() != "bc" || s.Confirmed {
			t.Errorf("without control processes: members %q, confirmed %v", names(), s.Confirmed)
		}
	})
}

// Guards against newer rules from a peer that are ignored, and older ones that are accepted.
func TestOfferRules(t *testing.T) {
	runWithRules(t, func(t *testing.T, h *harness) {
		changed := h.client.Changed()
		h.client.OfferRules(4, rulesText(4))
		if s := h.client.State(); s.Revision != 5 {
			t.Errorf("older offer: revision %d, want 5", s.Revision)
		}
		h.client.OfferRules(6, rulesText(6))
		if s := h.client.State(); s.Revision != 6 || s.RulesText != rulesText(6) {
			t.Errorf("newer offer: revision %d, want 6", s.Revision)
		}
		select {
		case <-changed:
		default:
			t.Error("Changed signals no change")
		}
	})
}

// Guards against a lease that expires while the node runs, because it announces too rarely or not at all after a
// failover, and against sequence numbers that do not increase.
func TestAnnounceThroughFailover(t *testing.T) {
	runWithRules(t, func(t *testing.T, h *harness) {
		h.client.Announce(&control.Member{Node: "n", Incarnation: 9})
		sleep(10 * time.Second)
		at := h.followed(t)
		at.update(func() { at.silent = true })
		sleep(3 * time.Second) // one lease
		other := h.followed(t)
		var before, after []*control.Member
		at.update(func() { before = at.announcements })
		other.update(func() { after = other.announcements })
		if len(before) < 9 || len(after) == 0 {
			t.Fatalf("%d announcements at %s, %d at %s", len(before), at.name, len(after), other.name)
		}
		if first, last := after[0].GetSequence(), before[len(before)-1].GetSequence(); first <= last {
			t.Errorf("sequence %d after the failover, %d before", first, last)
		}
	})
}

// Guards against a shutdown that the control processes notice only when the lease expires, because the end of the
// context aborts the last announcement.
func TestGoneIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		sleep(time.Second)
		h.client.Announce(&control.Member{Node: "n", Incarnation: 9, Gone: true})
		at := h.followed(t)
		h.stop()
		var all []*control.Member
		at.update(func() { all = at.announcements })
		if len(all) == 0 || !all[len(all)-1].GetGone() {
			t.Errorf("last announcement does not say that the node is gone: %v", all)
		}
	})
}

// Guards against a claim that is not tried at another control process, is retried past its deadline, or is repeated
// after a permanent error.
func TestClaimFailover(t *testing.T) {
	tests := []struct {
		name        string
		fault       func(h *harness, at *fakeControlProcess)
		granted     bool
		unavailable bool
	}{
		{"no fault", func(*harness, *fakeControlProcess) {}, true, false},
		{"followed one is silent", func(_ *harness, at *fakeControlProcess) { at.update(func() { at.silent = true }) }, true, false},
		{"followed one finds no leader", func(_ *harness, at *fakeControlProcess) {
			at.update(func() { at.claimError = connect.CodeUnavailable })
		}, true, false},
		{"no leader anywhere", func(h *harness, _ *fakeControlProcess) {
			for _, f := range h.processes {
				f.update(func() { f.claimError = connect.CodeUnavailable })
			}
		}, false, true},
		{"too many claims", func(h *harness, _ *fakeControlProcess) {
			for _, f := range h.processes {
				f.update(func() { f.claimError = connect.CodeResourceExhausted })
			}
		}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWithRules(t, func(t *testing.T, h *harness) {
				tt.fault(h, h.followed(t))
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				got, err := h.client.Claim(ctx, &control.ClaimRequest{Service: "s", Key: "k", Attempt: "a"})
				if (got.GetVerdict() == control.Verdict_VERDICT_GRANTED) != tt.granted || (err == nil) != tt.granted {
					t.Errorf("got %v, %v", got, err)
				}
				if errors.Is(err, client.ErrUnavailable) != tt.unavailable {
					t.Errorf("error %v, want ErrUnavailable: %v", err, tt.unavailable)
				}
				if d := time.Since(start); d > 2*time.Second {
					t.Errorf("took %v, want at most 2s", d)
				}
			})
		})
	}
}

// Guards against a revision that decreases for readers of State while control processes hold different revisions.
func TestRevisionNeverDecreases(t *testing.T) {
	runWithRules(t, func(t *testing.T, h *harness) {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			checkObservedStates(ctx, t, h.client)
		}()
		for i := range uint64(12) {
			at := h.followed(t)
			for j, f := range h.processes {
				f.update(func() { f.rules = fullRules(5 + i*uint64(j)/2) })
			}
			h.client.OfferRules(4+i, rulesText(4+i))
			at.stop()
			sleep(2 * time.Second)
			at.update(func() { at.down = false })
		}
		cancel()
		<-done
	})
}

// checkObservedStates checks every published state until ctx ends.
func checkObservedStates(ctx context.Context, t *testing.T, c *client.Client) {
	last := &follow.State{}
	for {
		changed := c.Changed()
		s := c.State()
		if s.Revision < last.Revision || s.RulesText != rulesText(s.Revision) {
			t.Errorf("revision %d after %d, text %q", s.Revision, last.Revision, s.RulesText)
		}
		last = s
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Guards against newer rules that wait for follow.FailoverTimeout although another control process has them.
func TestNewerRulesWhileSuspect(t *testing.T) {
	runWithRules(t, func(t *testing.T, h *harness) {
		at := h.followed(t)
		at.update(func() { at.silent = true })
		for _, f := range h.processes {
			f.update(func() { f.rules = fullRules(6) })
		}
		sleep(450 * time.Millisecond) // FailoverTimeout of 0.7 s may have begun 0.2 s ago
		if s := h.client.State(); s.Server != at.name || s.Revision != 6 || s.RulesText != rulesText(6) {
			t.Errorf("revision %d from %s, want 6 and %s", s.Revision, s.Server, at.name)
		}
	})
}

// incompressibleText returns lines of about n bytes altogether, which take that many on a link, since answers may be compressed.
func incompressibleText(n int) string {
	random := rand.NewChaCha8([32]byte{})
	var b strings.Builder
	for b.Len() < n {
		line := make([]byte, 48)
		_, _ = random.Read(line) // never fails
		b.WriteString(base64.StdEncoding.EncodeToString(line) + "\n")
	}
	return b.String()
}

// Guards against a node that leaves its control process while a long message crosses a slow link and asks for the rules again, so that
// it never gets them (DENIED and CONFIG on tafraout-thumbs-grown: 404 for the routes of a table that grew).
func TestLongMessageOverSlowLink(t *testing.T) {
	runWithRules(t, func(t *testing.T, h *harness) {
		at := h.followed(t)
		asked := 0
		at.update(func() { at.bytesPerTick, asked = 1000, len(at.requests) })
		text := incompressibleText(270_000) // 2.7 s on the link
		rules := &control.Rules{Revision: 6, Text: text, Hash: rule.Hash(text)}
		at.push(&control.WatchResponse{Event: &control.WatchResponse_Rules{Rules: rules}})
		sleep(4 * time.Second)
		if s := h.client.State(); s.Server != at.name || s.Revision != 6 || !s.Confirmed {
			t.Errorf("revision %d from %q, confirmed %v", s.Revision, s.Server, s.Confirmed)
		}
		at.update(func() { asked = len(at.requests) - asked })
		if asked != 0 {
			t.Errorf("asked %d more times", asked)
		}
	})
}
