package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/protocol/control"
	client "pollenhill.example/node/transport/control"
)

// run runs a test in virtual time with the rules of revision 5 at every control process.
func run(t *testing.T, f func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.end()
		for _, f := range b.fakes {
			f.set(func() { f.rules = whole(5) })
		}
		pass(time.Second)
		if s := b.c.State(); s.Revision != 5 || !s.Confirmed || b.followed(t).region != "home" {
			t.Fatalf("start: %+v", s)
		}
		f(t, b)
	})
}

// Guards against a client that stays with a faulty control process, loses its state or goes back to older rules.
func TestControlFaults(t *testing.T) {
	tests := []struct {
		name      string
		fault     func(b *bench, at *fake)
		moves     bool
		confirmed bool
	}{
		{"silent partition", func(_ *bench, at *fake) { at.set(func() { at.silent = true }) }, true, true},
		{"not current", func(_ *bench, at *fake) { at.set(func() { at.current = false }) }, true, true},
		{"cut stream", func(_ *bench, at *fake) { at.stop() }, true, true},
		{"none current", func(b *bench, _ *fake) {
			for _, f := range b.fakes {
				f.set(func() { f.current = false })
			}
		}, false, false},
		{"all silent", func(b *bench, _ *fake) {
			for _, f := range b.fakes {
				f.set(func() { f.silent = true })
			}
		}, false, false},
		{"restarted with older state", func(b *bench, at *fake) {
			for _, f := range b.fakes {
				f.set(func() { f.rules = whole(2) })
			}
			at.stop()
		}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(t *testing.T, b *bench) {
				at := b.followed(t)
				tt.fault(b, at)
				pass(2500 * time.Millisecond) // one heartbeat and the two seconds of the page
				s := b.c.State()
				if (s.Server != at.name) != tt.moves || s.Confirmed != tt.confirmed {
					t.Errorf("from %s to %q, confirmed %v", at.name, s.Server, s.Confirmed)
				}
				if s.Revision != 5 || s.RulesText != text(5) {
					t.Errorf("revision %d with %q", s.Revision, s.RulesText)
				}
			})
		})
	}
}

// Guards against rules that a faulty stream leaves behind, wrong or out of order.
func TestDeltaFaults(t *testing.T) {
	wrong := delta(5, 6)
	wrong.GetRules().Hash++
	tests := []struct {
		name  string
		send  []*control.WatchResponse
		whole bool // the client has to ask for the whole text
	}{
		{"in order", []*control.WatchResponse{delta(5, 6), delta(6, 7)}, false},
		{"duplicated", []*control.WatchResponse{delta(5, 6), delta(5, 6), delta(6, 7), delta(6, 7)}, false},
		{"older one again", []*control.WatchResponse{delta(5, 6), delta(6, 7), delta(5, 6)}, false},
		{"one lost", []*control.WatchResponse{delta(6, 7)}, true},
		{"reordered", []*control.WatchResponse{delta(6, 7), delta(5, 6)}, true},
		{"wrong hash", []*control.WatchResponse{wrong}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(t *testing.T, b *bench) {
				at := b.followed(t)
				for _, f := range b.fakes {
					f.set(func() { f.rules, f.requests = whole(7), nil })
				}
				for _, msg := range tt.send {
					at.push(msg)
				}
				pass(time.Second)
				if s := b.c.State(); s.Revision != 7 || s.RulesText != text(7) {
					t.Errorf("revision %d with %q", s.Revision, s.RulesText)
				}
				asked := 0
				for _, f := range b.fakes {
					f.set(func() {
						asked += lo.CountBy(f.requests, func(r *control.WatchRequest) bool { return r.GetRevision() == 0 })
					})
				}
				if (asked > 0) != tt.whole {
					t.Errorf("asked for the whole text %d times", asked)
				}
			})
		})
	}
}

// Guards against members that get lost with the stream, and against deltas that are not applied.
func TestMembers(t *testing.T) {
	run(t, func(t *testing.T, b *bench) {
		members := func(full bool, set []string, gone ...string) *control.WatchResponse {
			m := &control.Members{Full: full, Gone: gone}
			for _, n := range set {
				m.Set = append(m.Set, &control.Member{Node: n})
			}
			return &control.WatchResponse{Event: &control.WatchResponse_Members{Members: m}}
		}
		at := b.followed(t)
		at.push(members(true, []string{"a", "b"}))
		at.push(members(false, []string{"c"}, "a"))
		pass(100 * time.Millisecond)
		names := func() string {
			all := ""
			for _, m := range b.c.State().Members {
				all += m.GetNode()
			}
			return all
		}
		if names() != "bc" {
			t.Errorf("members %q, want bc", names())
		}
		for _, f := range b.fakes {
			f.stop()
		}
		pass(10 * time.Second)
		if s := b.c.State(); names() != "bc" || s.Confirmed {
			t.Errorf("without control: members %q, confirmed %v", names(), s.Confirmed)
		}
	})
}

// Guards against newer rules from a peer that are not taken, and older ones that are.
func TestOffer(t *testing.T) {
	run(t, func(t *testing.T, b *bench) {
		changed := b.c.Changed()
		b.c.OfferRules(4, text(4))
		if s := b.c.State(); s.Revision != 5 {
			t.Errorf("older offer: revision %d", s.Revision)
		}
		b.c.OfferRules(6, text(6))
		if s := b.c.State(); s.Revision != 6 || s.RulesText != text(6) {
			t.Errorf("newer offer: revision %d", s.Revision)
		}
		select {
		case <-changed:
		default:
			t.Error("no signal")
		}
	})
}

// Guards against a lease that ends while the node lives, and against sequences that do not rise.
func TestAnnounceThroughFailover(t *testing.T) {
	run(t, func(t *testing.T, b *bench) {
		b.c.Announce(&control.Member{Node: "n", Incarnation: 9})
		pass(10 * time.Second)
		at := b.followed(t)
		at.set(func() { at.silent = true })
		pass(3 * time.Second) // one lease
		other := b.followed(t)
		var old, after []*control.Member
		at.set(func() { old = at.announced })
		other.set(func() { after = other.announced })
		if len(old) < 9 || len(after) == 0 {
			t.Fatalf("%d announcements at %s, %d at %s", len(old), at.name, len(after), other.name)
		}
		if first, last := after[0].GetSequence(), old[len(old)-1].GetSequence(); first <= last {
			t.Errorf("sequence %d after %d", first, last)
		}
	})
}

// Guards against an end of the node that the control processes learn only from the lease.
func TestGoneIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		pass(time.Second)
		b.c.Announce(&control.Member{Node: "n", Incarnation: 9, Gone: true})
		at := b.followed(t)
		b.end()
		var all []*control.Member
		at.set(func() { all = at.announced })
		if len(all) == 0 || !all[len(all)-1].GetGone() {
			t.Errorf("announced %v", all)
		}
	})
}

// Guards against a claim that is not tried elsewhere, tried without end, or repeated after a final answer.
func TestClaim(t *testing.T) {
	tests := []struct {
		name        string
		fault       func(b *bench, at *fake)
		granted     bool
		unavailable bool
	}{
		{"no fault", func(*bench, *fake) {}, true, false},
		{"followed one is silent", func(_ *bench, at *fake) { at.set(func() { at.silent = true }) }, true, false},
		{"followed one finds no leader", func(_ *bench, at *fake) { at.set(func() { at.fail = connect.CodeUnavailable }) }, true, false},
		{"no leader anywhere", func(b *bench, _ *fake) {
			for _, f := range b.fakes {
				f.set(func() { f.fail = connect.CodeUnavailable })
			}
		}, false, true},
		{"too many claims", func(b *bench, _ *fake) {
			for _, f := range b.fakes {
				f.set(func() { f.fail = connect.CodeResourceExhausted })
			}
		}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(t *testing.T, b *bench) {
				tt.fault(b, b.followed(t))
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				got, err := b.c.Claim(ctx, &control.ClaimRequest{Service: "s", Key: "k", Attempt: "a"})
				if (got.GetVerdict() == control.Verdict_VERDICT_GRANTED) != tt.granted || (err == nil) != tt.granted {
					t.Errorf("got %v, %v", got, err)
				}
				if errors.Is(err, client.ErrUnavailable) != tt.unavailable {
					t.Errorf("error %v", err)
				}
				if d := time.Since(start); d > 2*time.Second {
					t.Errorf("took %v", d)
				}
			})
		})
	}
}

// Guards against readers that see a revision decrease while two control processes disagree.
func TestRevisionAtObservers(t *testing.T) {
	run(t, func(t *testing.T, b *bench) {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			observe(ctx, t, b.c)
		}()
		for i := range uint64(12) {
			at := b.followed(t)
			for j, f := range b.fakes {
				f.set(func() { f.rules = whole(5 + i*uint64(j)/2) })
			}
			b.c.OfferRules(4+i, text(4+i))
			at.stop()
			pass(2 * time.Second)
			at.set(func() { at.down = false })
		}
		cancel()
		<-done
	})
}

func observe(ctx context.Context, t *testing.T, c *client.Client) {
	last := &follow.State{}
	for {
		changed := c.Changed()
		s := c.State()
		if s.Revision < last.Revision || s.RulesText != text(s.Revision) {
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

// Guards against newer rules that wait for the end of the patience although another control process has them.
func TestNewerRulesInDoubt(t *testing.T) {
	run(t, func(t *testing.T, b *bench) {
		at := b.followed(t)
		at.set(func() { at.silent = true })
		for _, f := range b.fakes {
			f.set(func() { f.rules = whole(6) })
		}
		pass(450 * time.Millisecond) // the patience of 0.7 s may have begun 0.2 s ago
		if s := b.c.State(); s.Server != at.name || s.Revision != 6 || s.RulesText != text(6) {
			t.Errorf("revision %d from %s", s.Revision, s.Server)
		}
	})
}
