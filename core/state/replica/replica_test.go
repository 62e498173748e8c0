package replica_test

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"pollenhill.example/core/state/replica"
)

var baseTime = time.UnixMilli(1_700_000_000_000)

func changeCommand(number uint64, text string) replica.Command {
	return replica.Command{
		Kind: replica.CommandChangeRules, ChangeNumber: number, Text: text, ProposedAt: baseTime, Origin: "c1", Reason: "kari: test",
	}
}

// Guards against wrong verdicts on changes that are concurrent, skipped, resent or invalid. A resend must get its first verdict
// even if the state has changed since.
func TestChangeVerdicts(t *testing.T) {
	check := func(text string) error {
		if text == "bad" {
			return errors.New("line 1: bad")
		}
		return nil
	}
	steps := []struct {
		name     string
		number   uint64
		text     string
		want     replica.Verdict
		revision uint64 // of Result.Change, 0 for none
	}{
		{"first", 1, "a", replica.VerdictAccepted, 1},
		{"same number, other bytes", 1, "b", replica.VerdictRejected, 1},
		{"skipped number", 3, "c", replica.VerdictOutOfOrder, 0},
		{"does not parse", 2, "bad", replica.VerdictInvalid, 0},
		{"second", 2, "d", replica.VerdictAccepted, 5},
		{"resend of the first", 1, "a", replica.VerdictAccepted, 1},
		{"resend of the rejected", 1, "b", replica.VerdictRejected, 1},
		{"resend of the skipped, now in order", 3, "c", replica.VerdictOutOfOrder, 0},
		{"resend of the invalid, number now taken", 2, "bad", replica.VerdictInvalid, 0},
		{"edited after the first verdict", 3, "c2", replica.VerdictAccepted, 10},
		{"no number", 0, "e", replica.VerdictOutOfOrder, 0},
	}
	r := replica.New(replica.Config{ValidateRules: check})
	for i, s := range steps {
		res := r.Apply(uint64(i+1), changeCommand(s.number, s.text))
		if res.Verdict != s.want || res.Change.Revision != s.revision {
			t.Errorf("%s: got %v with revision %d, want %v with revision %d", s.name, res.Verdict, res.Change.Revision, s.want, s.revision)
		}
	}
	if got := r.Rules(); got.Text != "c2" || got.ChangeNumber != 3 || got.Revision != 10 {
		t.Errorf("rules %+v, want text c2 with change number 3 and revision 10", got)
	}
}

// Guards against a snapshot that loses who made a change, when and why.
func TestSnapshotKeepsOriginTimeAndReason(t *testing.T) {
	r := replica.New(replica.Config{})
	r.Apply(1, changeCommand(1, "a"))
	restored, err := replica.Restore(replica.Config{}, r.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	got := restored.AcceptedChanges()
	if len(got) != 1 || got[0].Origin != "c1" || got[0].Reason != "kari: test" || !got[0].ProposedAt.Equal(baseTime) {
		t.Fatalf("accepted changes after a restore: %+v", got)
	}
}

// Guards against unbounded growth of the accepted changes, and against a wrong verdict on a number that is forgotten.
func TestAcceptedChangesAreBounded(t *testing.T) {
	r := replica.New(replica.Config{})
	last := uint64(replica.MaxAcceptedChanges + 10)
	for n := uint64(1); n <= last; n++ {
		r.Apply(n, changeCommand(n, strconv.FormatUint(n, 10)))
	}
	if got := len(r.AcceptedChanges()); got != replica.MaxAcceptedChanges {
		t.Errorf("%d accepted changes are remembered, want %d", got, replica.MaxAcceptedChanges)
	}
	if res := r.Apply(last+1, changeCommand(1, "1")); res.Verdict != replica.VerdictOutOfOrder || res.Expected != last+1 {
		t.Errorf("forgotten number: verdict %v, expected number %d", res.Verdict, res.Expected)
	}
	if got := r.Rules().ChangeNumber; got != last {
		t.Errorf("change number %d in force, want %d", got, last)
	}
}

func claimCommand(attempt string, fingerprint uint64, at time.Duration) replica.Command {
	return replica.Command{
		Kind: replica.CommandClaim, Service: "booking", IdempotencyKey: "k", AttemptID: attempt, ProposedAt: baseTime.Add(at),
		Fingerprint: fingerprint,
	}
}

func finishCommand(attempt string, at time.Duration) replica.Command {
	return replica.Command{
		Kind: replica.CommandFinishClaim, Service: "booking", IdempotencyKey: "k", AttemptID: attempt, ProposedAt: baseTime.Add(at),
		Response: replica.Response{Status: 201, ContentType: "text/plain", Body: []byte("boat 7")},
	}
}

// Guards against two attempts that both hold the claim of an idempotency key, which would book twice.
func TestClaimVerdicts(t *testing.T) {
	release := func(attempt string) replica.Command {
		return replica.Command{Kind: replica.CommandReleaseClaim, Service: "booking", IdempotencyKey: "k", AttemptID: attempt}
	}
	steps := []struct {
		name string
		cmd  replica.Command
		want replica.Verdict
	}{
		{"first", claimCommand("a", 1, 0), replica.VerdictGranted},
		{"same attempt", claimCommand("a", 1, 0), replica.VerdictGranted},
		{"other attempt", claimCommand("b", 1, 0), replica.VerdictHeld},
		{"other request", claimCommand("b", 2, 0), replica.VerdictMismatch},
		{"release by another", release("b"), replica.VerdictIgnored},
		{"still held", claimCommand("b", 1, 0), replica.VerdictHeld},
		{"release", release("a"), replica.VerdictStored},
		{"after the release", claimCommand("b", 1, 0), replica.VerdictGranted},
		{"finish by the old owner", finishCommand("a", 0), replica.VerdictIgnored},
		{"finish", finishCommand("b", 0), replica.VerdictStored},
		{"release after finish", release("b"), replica.VerdictIgnored},
		{"resend", claimCommand("c", 1, 0), replica.VerdictDone},
		{"clock set back", claimCommand("c", 1, -100*time.Hour), replica.VerdictDone},
		{"before the expiry", claimCommand("c", 1, 24*time.Hour-time.Millisecond), replica.VerdictDone},
		{"at the expiry", claimCommand("c", 1, 24*time.Hour), replica.VerdictGranted},
	}
	r := replica.New(replica.Config{})
	for i, s := range steps {
		res := r.Apply(uint64(i+1), s.cmd)
		if res.Verdict != s.want {
			t.Errorf("%s: got %v, want %v", s.name, res.Verdict, s.want)
		}
		if res.Verdict == replica.VerdictDone && string(res.Response.Body) != "boat 7" {
			t.Errorf("%s: response %+v, want body %q", s.name, res.Response, "boat 7")
		}
	}
}

// Guards against an unbounded number of claims, and against a held claim that is dropped to make room for a new one.
func TestClaimsAreBounded(t *testing.T) {
	r := replica.New(replica.Config{MaxClaims: 2})
	want := []replica.Verdict{replica.VerdictGranted, replica.VerdictGranted, replica.VerdictFull, replica.VerdictFull}
	for i, v := range want {
		c := claimCommand("a", 1, 0)
		c.IdempotencyKey = strconv.Itoa(i)
		if res := r.Apply(uint64(i+1), c); res.Verdict != v {
			t.Errorf("claim %d: got %v, want %v", i, res.Verdict, v)
		}
	}
	c := claimCommand("b", 1, 0)
	c.IdempotencyKey = "0"
	if res := r.Apply(5, c); res.Verdict != replica.VerdictHeld {
		t.Errorf("resend of the first claim: got %v, want %v", res.Verdict, replica.VerdictHeld)
	}
}

// Guards against results and states that depend on anything but the log: a replica that is restored from its snapshot between
// any two entries must return the same results and have the same snapshots as one that is never restored. Changes of the table
// and of zones are not drawn here.
func TestReplayIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := replica.Config{MaxClaims: 4, DedupWindow: time.Second}
		continuous, restored := replica.New(cfg), replica.New(cfg)
		for i := range rapid.IntRange(1, 60).Draw(t, "entries") {
			cmd := drawCommand(t)
			decoded, err := replica.DecodeCommand(cmd.Encode())
			if err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "restore") {
				if restored, err = replica.Restore(cfg, restored.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			want, got := continuous.Apply(uint64(i+1), cmd), restored.Apply(uint64(i+1), decoded)
			if !bytes.Equal(want.Encode(), got.Encode()) {
				t.Fatalf("entry %d: result %+v after restores, want %+v", i+1, got, want)
			}
			if !bytes.Equal(continuous.Snapshot(), restored.Snapshot()) {
				t.Fatalf("snapshots differ after entry %d", i+1)
			}
		}
	})
}

// drawnKinds are the kinds of commands that drawCommand draws.
var drawnKinds = []replica.CommandKind{
	replica.CommandChangeRules, replica.CommandClaim, replica.CommandFinishClaim, replica.CommandReleaseClaim,
	replica.CommandJoin, replica.CommandLeave, replica.CommandEndInstance,
}

func drawCommand(t *rapid.T) replica.Command {
	return replica.Command{
		Kind:           rapid.SampledFrom(drawnKinds).Draw(t, "kind"),
		ProposedAt:     baseTime.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond),
		ChangeNumber:   rapid.Uint64Range(0, 5).Draw(t, "number"),
		Text:           rapid.SampledFrom([]string{"", "a", "b\xff"}).Draw(t, "text"),
		Service:        "s",
		IdempotencyKey: rapid.SampledFrom([]string{"k", "l", "m", "n", "o"}).Draw(t, "key"),
		AttemptID:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "attempt"),
		Fingerprint:    rapid.Uint64Range(0, 1).Draw(t, "print"),
		Response:       replica.Response{Status: 200, Body: rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "body")},
		Member:         replica.Member{ID: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "id"), Name: "x"},
		Node:           "n",
		InstanceID:     rapid.SampledFrom([]string{"i", "j"}).Draw(t, "instance"),
		StartMillis:    rapid.Int64Range(-1, 3).Draw(t, "start"),
	}
}

// Guards against a member that was removed and joins again by itself, because the group forgot that it left.
func TestMemberThatLeftIsRemembered(t *testing.T) {
	r := replica.New(replica.Config{})
	member := replica.Member{ID: "c1/1", Name: "c1", Address: "127.0.0.1:1"}
	r.Apply(1, replica.Command{Kind: replica.CommandJoin, Member: member})
	if got := r.Members(); len(got) != 1 || got[0] != member || r.HasLeft("c1/1") {
		t.Fatalf("members after the join: %+v", got)
	}
	for i, id := range []string{"c1/1", "founder/1"} {
		r.Apply(uint64(i+2), replica.Command{Kind: replica.CommandLeave, Member: replica.Member{ID: id}})
		if restored, err := replica.Restore(replica.Config{}, r.Snapshot()); err != nil || !restored.HasLeft(id) {
			t.Errorf("%s: HasLeft is not true after a restore, error %v", id, err)
		}
	}
	if got := r.Members(); len(got) != 0 {
		t.Errorf("members after both left: %+v, want none", got)
	}
}

// Guards against a snapshot of another format version, or a damaged one, that is restored.
func TestRestoreRefusesInvalidSnapshots(t *testing.T) {
	for name, raw := range map[string][]byte{
		"other format version": {0x08, 0x02},
		"empty":                {},
		"truncated":            {0x08, 0x01, 0x32, 0x05, 'a'},
	} {
		if _, err := replica.Restore(replica.Config{}, raw); err == nil {
			t.Errorf("%s: Restore returned no error", name)
		}
	}
}
