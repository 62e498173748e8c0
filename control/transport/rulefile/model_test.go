package rulefile_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/control/transport/rulefile"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/rule"
)

// text returns a valid rule file with the given number and reason.
func text(number int, reason string) string {
	return fmt.Sprintf("format 1\nchange %d # kari: %s\nzone oslo-a region=oslo # ola: first site\n", number, reason)
}

func observed(text string) rulefile.Msg { return rulefile.FileContent{Text: text} }

func accepted(number int, reason string) rulefile.Msg {
	return rulefile.AcceptedRules{Number: uint64(number), Text: text(number, reason)}
}

func answered(id uint64, v rulefile.Verdict) rulefile.Msg {
	return rulefile.SubmitResult{ID: id, Verdict: v}
}

// describe returns a command as the tables below write it.
func describe(cmd rulefile.Cmd) string {
	switch cmd := cmd.(type) {
	case rulefile.Submit:
		return fmt.Sprintf("submit %d", cmd.Number)
	case rulefile.WriteAnswer:
		first, _, _ := strings.Cut(cmd.Text, ":")
		return first
	case rulefile.Rewrite:
		return "rewrite"
	default:
		return "wake"
	}
}

type step struct {
	after time.Duration
	msg   rulefile.Msg
	want  string
}

const (
	settle = rulefile.DefaultDebounce
	slow   = rulefile.DefaultIncompleteDebounce
	retry  = rulefile.DefaultRetryDelay
)

var errLost = errors.New("connection reset")

// Each case names the failure that it guards against.
var cases = map[string][]step{
	"an accepted edit is answered once": {
		{0, accepted(7, "a"), ""},
		{0, observed(text(8, "b")), "wake"},
		{settle, observed(text(8, "b")), "submit 8"},
		{0, answered(1, rulefile.Verdict{Kind: rulefile.VerdictAccepted}), "accepted"},
		{0, accepted(8, "b"), ""},
		{time.Second, observed(text(8, "b")), ""},
	},
	"acceptance seen before the answer": {
		{0, observed(text(1, "b")), "wake"},
		{settle, observed(text(1, "b")), "submit 1"},
		{0, accepted(1, "b"), "accepted"},
		{0, answered(1, rulefile.Verdict{Kind: rulefile.VerdictAccepted}), ""},
	},
	"racing equal numbers leave the edit alone": {
		{0, accepted(7, "a"), ""},
		{0, observed(text(8, "mine")), "wake"},
		{settle, observed(text(8, "mine")), "submit 8"},
		{0, accepted(8, "theirs"), ""},
		{0, answered(1, rulefile.Verdict{Kind: rulefile.VerdictRejected, Number: 8, Text: text(8, "theirs")}), "rejected"},
		{time.Second, observed(text(8, "mine")), ""},
		{0, accepted(9, "more"), "rejected"},
		{time.Second, observed(text(8, "mine")), ""},
	},
	"a lost answer leads to the same submission": {
		{0, observed(text(8, "b")), "wake"},
		{settle, observed(text(8, "b")), "submit 8"},
		{0, rulefile.SubmitResult{ID: 1, Err: errLost}, "waiting wake"},
		{retry / 2, observed(text(8, "b")), "wake"},
		{retry, observed(text(8, "b")), "submit 8"},
		{0, answered(1, rulefile.Verdict{Kind: rulefile.VerdictRejected}), ""},
		{0, answered(2, rulefile.Verdict{Kind: rulefile.VerdictAccepted}), "accepted"},
	},
	"a partial write is not submitted": {
		{0, observed(""), "wake"},
		{settle / 2, observed("format 1\n"), "wake"},
		{settle / 2, observed(text(8, "b")), "wake"},
		{settle / 2, observed(text(8, "b")), "wake"},
		{settle / 2, observed(text(8, "b")), "submit 8"},
	},
	"a text that stops in the middle of a line gets more time": {
		{0, observed("format 1\nchange 8 # kari: half"), "wake"},
		{settle, observed("format 1\nchange 8 # kari: half"), "wake"},
		{settle, observed(text(8, "half a line more")), "wake"},
		{settle, observed(text(8, "half a line more")), "submit 8"},
	},
	"a missing final newline is accepted in the end": {
		{0, observed("format 1\nchange 8 # kari: half"), "wake"},
		{slow, observed("format 1\nchange 8 # kari: half"), "submit 8"},
	},
	"a rename with a short absence is one edit": {
		{0, accepted(7, "a"), ""},
		{0, observed(text(7, "a")), "wake"},
		{settle, observed(text(7, "a")), "in force"},
		{0, rulefile.FileContent{Missing: true}, "wake"},
		{settle / 2, observed(text(8, "b")), "wake"},
		{settle, observed(text(8, "b")), "submit 8"},
	},
	"a deleted file changes nothing": {
		{0, accepted(7, "a"), ""},
		{0, rulefile.FileContent{Missing: true}, "wake"},
		{settle, rulefile.FileContent{Missing: true}, "missing"},
		{0, accepted(8, "b"), ""},
		{time.Second, rulefile.FileContent{Missing: true}, ""},
	},
	"an unreadable file changes nothing": {
		{0, rulefile.FileContent{Error: "permission denied"}, "wake"},
		{settle, rulefile.FileContent{Error: "permission denied"}, "unreadable"},
		{0, accepted(8, "b"), ""},
	},
	"problems are answered and not submitted": {
		{0, observed("format 1\nchange 8\n"), "wake"},
		{settle, observed("format 1\nchange 8\n"), "refused"},
		{0, accepted(8, "b"), ""},
		{time.Second, observed("format 1\nchange 8\n"), ""},
	},
	"invalid UTF-8 is not submitted": {
		{0, observed("format 1\nchange 8 # J\xf8rgen: x\n"), "wake"},
		{settle, observed("format 1\nchange 8 # J\xf8rgen: x\n"), "refused"},
	},
	"line endings are part of the text": {
		{0, accepted(7, "a"), ""},
		{0, observed(strings.ReplaceAll(text(7, "a"), "\n", "\r\n")), "wake"},
		{settle, observed(strings.ReplaceAll(text(7, "a"), "\n", "\r\n")), "submit 7"},
	},
	"an accepted text is brought up to date, again if that failed": {
		{0, accepted(7, "a"), ""},
		{0, observed(text(7, "a")), "wake"},
		{settle, observed(text(7, "a")), "in force"},
		{0, accepted(8, "b"), "updated rewrite"},
		{time.Second, observed(text(7, "a")), "rewrite"},
		{0, observed(text(8, "b")), "wake"},
		{settle, observed(text(8, "b")), ""},
		{0, observed("x\n"), "wake"},
		{settle, observed("x\n"), "refused"},
		{0, observed(text(8, "b")), "wake"},
		{settle, observed(text(8, "b")), "in force"},
	},
	"a text accepted before a restart is brought up to date": {
		{0, rulefile.AcceptedRules{Number: 9, Text: text(9, "c"), EarlierHashes: []uint64{rule.Hash(text(7, "a"))}}, ""},
		{0, observed(text(7, "a")), "wake"},
		{settle, observed(text(7, "a")), "updated rewrite"},
	},
	"a resend of an old change at start gives way to newer rules": {
		{0, observed(text(7, "a")), "wake"},
		{settle, observed(text(7, "a")), "submit 7"},
		{0, accepted(9, "c"), ""},
		{0, answered(1, rulefile.Verdict{Kind: rulefile.VerdictAccepted}), "updated rewrite"},
	},
	"an edit that is being saved is not overwritten by newer rules": {
		{0, accepted(7, "a"), ""},
		{0, observed(text(8, "mine")), "wake"},
		{0, accepted(8, "theirs"), ""},
		{settle, observed(text(8, "mine")), "submit 8"},
	},
	"a newer edit replaces a submission without verdict": {
		{0, observed(text(8, "a")), "wake"},
		{settle, observed(text(8, "a")), "submit 8"},
		{0, observed(text(8, "b")), "wake"},
		{0, answered(1, rulefile.Verdict{Kind: rulefile.VerdictAccepted}), ""},
		{settle, observed(text(8, "b")), "submit 8"},
		{0, answered(2, rulefile.Verdict{Kind: rulefile.VerdictRejected, Number: 8, Text: text(8, "a")}), "rejected"},
	},
	"a rejection is forgotten with the edit": {
		{0, accepted(7, "a"), ""},
		{0, observed(text(8, "mine")), "wake"},
		{settle, observed(text(8, "mine")), "submit 8"},
		{0, answered(1, rulefile.Verdict{Kind: rulefile.VerdictRejected, Number: 8, Text: text(8, "theirs")}), "rejected"},
		{0, observed("format 1\nchange 9\n"), "wake"},
		{settle, observed("format 1\nchange 9\n"), "refused"},
		{0, accepted(8, "theirs"), ""},
	},
	"a rejection known before the accepted text is completed later": {
		{0, accepted(7, "a"), ""},
		{0, observed(text(8, "mine")), "wake"},
		{settle, observed(text(8, "mine")), "submit 8"},
		{0, answered(1, rulefile.Verdict{Kind: rulefile.VerdictRejected, Number: 8, Reason: "ola: theirs"}), "rejected"},
		{0, accepted(8, "theirs"), "rejected"},
		{time.Second, observed(text(8, "mine")), ""},
	},
	"problems that only the group knows are answered": {
		{0, observed(text(8, "b")), "wake"},
		{settle, observed(text(8, "b")), "submit 8"},
		{0, answered(1, rulefile.Verdict{Kind: rulefile.VerdictInvalid, Problem: "newer check"}), "refused"},
		{time.Second, observed(text(8, "b")), ""},
	},
	"a number out of order is answered": {
		{0, accepted(7, "a"), ""},
		{0, observed(text(12, "b")), "wake"},
		{settle, observed(text(12, "b")), "submit 12"},
		{0, answered(1, rulefile.Verdict{Kind: rulefile.VerdictOutOfOrder, Number: 7}), "rejected"},
	},
	"old rules that arrive late are not put in force": {
		{0, accepted(9, "c"), ""},
		{0, accepted(8, "b"), ""},
		{0, observed(text(8, "b")), "wake"},
		{settle, observed(text(8, "b")), "updated rewrite"},
	},
}

func TestModel(t *testing.T) {
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			m := rulefile.NewModel(rulefile.Delays{})
			now := time.Unix(1_800_000_000, 0)
			for i, s := range steps {
				now = now.Add(s.after)
				var got []string
				for _, cmd := range m.Update(now, s.msg) {
					got = append(got, describe(cmd))
				}
				if strings.Join(got, " ") != s.want {
					t.Fatalf("step %d: %v, want %q", i, got, s.want)
				}
			}
		})
	}
}

// Guards against answers that leave an operator without the next step.
func TestAnswers(t *testing.T) {
	theirs := rulefile.Verdict{
		Kind: rulefile.VerdictRejected, Number: 8, Text: text(8, "theirs"), Origin: "control-2",
		Time: time.Date(2026, 12, 4, 1, 2, 3, 0, time.UTC),
	}
	cases := []struct {
		verdict rulefile.Verdict
		want    []string
	}{
		{rulefile.Verdict{Kind: rulefile.VerdictAccepted}, []string{"change 8 is in force", "compared with change 7", "-    2  change 7 # kari: a", "+    2  change 8 # kari: mine"}},
		{theirs, []string{"from control-2 at 2026-12-04 01:02:03 UTC", "change 8 # kari: theirs", "not touched", `write "change 9"`, text(8, "theirs")}},
		{rulefile.Verdict{Kind: rulefile.VerdictOutOfOrder, Number: 7}, []string{"does not follow change 7", `Write "change 8"`}},
	}
	for _, c := range cases {
		m := rulefile.NewModel(rulefile.Delays{})
		now := time.Unix(1_800_000_000, 0)
		m.Update(now, accepted(7, "a"))
		m.Update(now, observed(text(8, "mine")))
		m.Update(now.Add(settle), observed(text(8, "mine")))
		cmds := m.Update(now, answered(1, c.verdict))
		answer, _ := cmds[0].(rulefile.WriteAnswer)
		for _, want := range c.want {
			if !strings.Contains(answer.Text, want) {
				t.Errorf("%v: the answer lacks %q:\n%s", c.verdict.Kind, want, answer.Text)
			}
		}
	}
}

// Guards against a verdict of the state machine that is reported as another one.
func TestFromResult(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	taken := replica.AcceptedChange{Revision: 3, Number: 8, Origin: "control-2", Reason: "ola: x", ProposedAt: at}
	cases := []struct {
		result replica.Result
		want   rulefile.Verdict
	}{
		{replica.Result{Verdict: replica.VerdictAccepted, Change: taken}, rulefile.Verdict{Kind: rulefile.VerdictAccepted, Revision: 3}},
		{replica.Result{Verdict: replica.VerdictRejected, Change: taken}, rulefile.Verdict{Kind: rulefile.VerdictRejected, Number: 8, Origin: "control-2", Reason: "ola: x", Time: at}},
		{replica.Result{Verdict: replica.VerdictOutOfOrder, Expected: 8}, rulefile.Verdict{Kind: rulefile.VerdictOutOfOrder, Number: 7}},
		{replica.Result{Verdict: replica.VerdictInvalid, Problem: "p"}, rulefile.Verdict{Kind: rulefile.VerdictInvalid, Problem: "p"}},
	}
	for _, c := range cases {
		if got, err := rulefile.VerdictFromResult(c.result); err != nil || got != c.want {
			t.Errorf("%v: got %+v, %v", c.result.Verdict, got, err)
		}
	}
	if _, err := rulefile.VerdictFromResult(replica.Result{Verdict: replica.VerdictGranted}); err == nil {
		t.Error("a claim's verdict is taken for one about a change")
	}
}

// group is a control group with its verdicts, as the replicated state machine keeps them.
type group struct {
	texts []string // accepted text of change i+1
}

func (g *group) submit(number uint64, text string) rulefile.Verdict {
	last := uint64(len(g.texts))
	if number == last+1 {
		g.texts = append(g.texts, text)
		return rulefile.Verdict{Kind: rulefile.VerdictAccepted}
	}
	if number > last {
		return rulefile.Verdict{Kind: rulefile.VerdictOutOfOrder, Number: last}
	}
	if g.texts[number-1] == text {
		return rulefile.Verdict{Kind: rulefile.VerdictAccepted}
	}
	return rulefile.Verdict{Kind: rulefile.VerdictRejected, Number: number, Text: g.texts[number-1]}
}

// Guards against overwriting an edit that was never accepted, whatever is lost, late or edited in between,
// and against an edit without a verdict once the group answers.
func TestModelNeverOverwritesEdits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &group{}
		m := rulefile.NewModel(rulefile.Delays{})
		now := time.Unix(1_800_000_000, 0)
		file := rulefile.FileContent{Missing: true}
		var last rulefile.Submit
		told := 0
		var carry func(cmds []rulefile.Cmd)
		carry = func(cmds []rulefile.Cmd) {
			for _, cmd := range cmds {
				switch cmd := cmd.(type) {
				case rulefile.Submit:
					last = cmd
				case rulefile.Rewrite:
					if !slices.Contains(g.texts, cmd.Expect) || !slices.Contains(g.texts, cmd.Text) {
						t.Fatalf("rewrite of %q by %q; accepted are %q", cmd.Expect, cmd.Text, g.texts)
					}
					if file.Text == cmd.Expect {
						file.Text = cmd.Text
					}
				}
			}
		}
		update := func(msg rulefile.Msg) { carry(m.Update(now, msg)) }
		answer := func() {
			if last.ID != 0 {
				update(rulefile.SubmitResult{ID: last.ID, Verdict: g.submit(last.Number, last.Text)})
			}
		}
		tell := func() {
			if told < len(g.texts) {
				told++
				update(rulefile.AcceptedRules{Number: uint64(told), Text: g.texts[told-1]})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				number := len(g.texts) + rapid.IntRange(-1, 2).Draw(t, "ahead")
				file = rulefile.FileContent{Text: text(max(number, 1), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "reason"))}
			},
			"delete": func(*rapid.T) { file = rulefile.FileContent{Missing: true} },
			"wait":   func(*rapid.T) { now = now.Add(settle) },
			"read":   func(*rapid.T) { update(file) },
			"answer": func(*rapid.T) { answer() },
			"lose": func(*rapid.T) {
				if last.ID != 0 {
					g.submit(last.Number, last.Text)
					update(rulefile.SubmitResult{ID: last.ID, Err: errLost})
				}
			},
			"other": func(*rapid.T) { g.submit(uint64(len(g.texts)+1), text(len(g.texts)+1, "other")) },
			"tell":  func(*rapid.T) { tell() },
		})
		for range len(g.texts) + 8 {
			now = now.Add(slow)
			update(file)
			answer()
			tell()
		}
		if slices.Contains(g.texts, file.Text) && file.Text != g.texts[len(g.texts)-1] {
			t.Fatalf("the file still holds %q, in force is %q", file.Text, g.texts[len(g.texts)-1])
		}
		if !file.Missing && !slices.Contains(g.texts, file.Text) && last.Text != file.Text {
			t.Fatalf("%q was never submitted", file.Text)
		}
	})
}
