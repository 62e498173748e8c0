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

// ruleText returns a valid rule file with the given number and reason.
func ruleText(number int, reason string) string {
	return fmt.Sprintf("format 1\nchange %d # kari: %s\nzone oslo-a region=oslo # ola: first site\n", number, reason)
}

func fileContent(text string) rulefile.Msg { return rulefile.FileContent{Text: text} }

func acceptedRules(number int, reason string) rulefile.Msg {
	return rulefile.AcceptedRules{Number: uint64(number), Text: ruleText(number, reason)}
}

func submitResult(id uint64, v rulefile.Verdict) rulefile.Msg {
	return rulefile.SubmitResult{ID: id, Verdict: v}
}

// commandName returns the name of a command in the tables below; for an answer this is its first word.
func commandName(cmd rulefile.Cmd) string {
	switch cmd := cmd.(type) {
	case rulefile.Submit:
		return fmt.Sprintf("submit %d", cmd.Number)
	case rulefile.WriteAnswer:
		first, _, _ := strings.Cut(cmd.Text, ":")
		return first
	case rulefile.Rewrite:
		return "rewrite"
	default:
		return "schedule"
	}
}

type step struct {
	after time.Duration // since the step before
	msg   rulefile.Msg
	want  string // names of the commands, separated by spaces
}

const (
	debounce           = rulefile.DefaultDebounce
	incompleteDebounce = rulefile.DefaultIncompleteDebounce
	retryDelay         = rulefile.DefaultRetryDelay
)

var errConnection = errors.New("connection reset")

// modelCases holds messages with the commands that they must result in; each name is the property that would be violated.
var modelCases = map[string][]step{
	"an accepted edit is answered once": {
		{0, acceptedRules(7, "a"), ""},
		{0, fileContent(ruleText(8, "b")), "schedule"},
		{debounce, fileContent(ruleText(8, "b")), "submit 8"},
		{0, submitResult(1, rulefile.Verdict{Kind: rulefile.VerdictAccepted}), "accepted"},
		{0, acceptedRules(8, "b"), ""},
		{time.Second, fileContent(ruleText(8, "b")), ""},
	},
	"acceptance that is seen before the verdict is answered once": {
		{0, fileContent(ruleText(1, "b")), "schedule"},
		{debounce, fileContent(ruleText(1, "b")), "submit 1"},
		{0, acceptedRules(1, "b"), "accepted"},
		{0, submitResult(1, rulefile.Verdict{Kind: rulefile.VerdictAccepted}), ""},
	},
	"an edit is kept when another one with its number is accepted": {
		{0, acceptedRules(7, "a"), ""},
		{0, fileContent(ruleText(8, "mine")), "schedule"},
		{debounce, fileContent(ruleText(8, "mine")), "submit 8"},
		{0, acceptedRules(8, "theirs"), ""},
		{0, submitResult(1, rulefile.Verdict{Kind: rulefile.VerdictRejected, Number: 8, Text: ruleText(8, "theirs")}), "rejected"},
		{time.Second, fileContent(ruleText(8, "mine")), ""},
		{0, acceptedRules(9, "more"), "rejected"},
		{time.Second, fileContent(ruleText(8, "mine")), ""},
	},
	"a submission whose result is lost is repeated": {
		{0, fileContent(ruleText(8, "b")), "schedule"},
		{debounce, fileContent(ruleText(8, "b")), "submit 8"},
		{0, rulefile.SubmitResult{ID: 1, Err: errConnection}, "waiting schedule"},
		{retryDelay / 2, fileContent(ruleText(8, "b")), "schedule"},
		{retryDelay, fileContent(ruleText(8, "b")), "submit 8"},
		{0, submitResult(1, rulefile.Verdict{Kind: rulefile.VerdictRejected}), ""},
		{0, submitResult(2, rulefile.Verdict{Kind: rulefile.VerdictAccepted}), "accepted"},
	},
	"a partial write is not submitted": {
		{0, fileContent(""), "schedule"},
		{debounce / 2, fileContent("format 1\n"), "schedule"},
		{debounce / 2, fileContent(ruleText(8, "b")), "schedule"},
		{debounce / 2, fileContent(ruleText(8, "b")), "schedule"},
		{debounce / 2, fileContent(ruleText(8, "b")), "submit 8"},
	},
	"a text that stops in the middle of a line is debounced longer": {
		{0, fileContent("format 1\nchange 8 # kari: half"), "schedule"},
		{debounce, fileContent("format 1\nchange 8 # kari: half"), "schedule"},
		{debounce, fileContent(ruleText(8, "half a line more")), "schedule"},
		{debounce, fileContent(ruleText(8, "half a line more")), "submit 8"},
	},
	"a missing final newline is accepted in the end": {
		{0, fileContent("format 1\nchange 8 # kari: half"), "schedule"},
		{incompleteDebounce, fileContent("format 1\nchange 8 # kari: half"), "submit 8"},
	},
	"a rename with a short absence is one edit": {
		{0, acceptedRules(7, "a"), ""},
		{0, fileContent(ruleText(7, "a")), "schedule"},
		{debounce, fileContent(ruleText(7, "a")), "in force"},
		{0, rulefile.FileContent{Missing: true}, "schedule"},
		{debounce / 2, fileContent(ruleText(8, "b")), "schedule"},
		{debounce, fileContent(ruleText(8, "b")), "submit 8"},
	},
	"a deleted file changes nothing": {
		{0, acceptedRules(7, "a"), ""},
		{0, rulefile.FileContent{Missing: true}, "schedule"},
		{debounce, rulefile.FileContent{Missing: true}, "missing"},
		{0, acceptedRules(8, "b"), ""},
		{time.Second, rulefile.FileContent{Missing: true}, ""},
	},
	"an unreadable file changes nothing": {
		{0, rulefile.FileContent{Error: "permission denied"}, "schedule"},
		{debounce, rulefile.FileContent{Error: "permission denied"}, "unreadable"},
		{0, acceptedRules(8, "b"), ""},
	},
	"problems are answered and not submitted": {
		{0, fileContent("format 1\nchange 8\n"), "schedule"},
		{debounce, fileContent("format 1\nchange 8\n"), "refused"},
		{0, acceptedRules(8, "b"), ""},
		{time.Second, fileContent("format 1\nchange 8\n"), ""},
	},
	"invalid UTF-8 is not submitted": {
		{0, fileContent("format 1\nchange 8 # J\xf8rgen: x\n"), "schedule"},
		{debounce, fileContent("format 1\nchange 8 # J\xf8rgen: x\n"), "refused"},
	},
	"line endings are part of the text": {
		{0, acceptedRules(7, "a"), ""},
		{0, fileContent(strings.ReplaceAll(ruleText(7, "a"), "\n", "\r\n")), "schedule"},
		{debounce, fileContent(strings.ReplaceAll(ruleText(7, "a"), "\n", "\r\n")), "submit 7"},
	},
	"an accepted text is replaced by newer rules, again if the rewrite failed": {
		{0, acceptedRules(7, "a"), ""},
		{0, fileContent(ruleText(7, "a")), "schedule"},
		{debounce, fileContent(ruleText(7, "a")), "in force"},
		{0, acceptedRules(8, "b"), "updated rewrite"},
		{time.Second, fileContent(ruleText(7, "a")), "rewrite"},
		{0, fileContent(ruleText(8, "b")), "schedule"},
		{debounce, fileContent(ruleText(8, "b")), ""},
		{0, fileContent("x\n"), "schedule"},
		{debounce, fileContent("x\n"), "refused"},
		{0, fileContent(ruleText(8, "b")), "schedule"},
		{debounce, fileContent(ruleText(8, "b")), "in force"},
	},
	"a text accepted before a restart is replaced by newer rules": {
		{0, rulefile.AcceptedRules{Number: 9, Text: ruleText(9, "c"), EarlierHashes: []uint64{rule.Hash(ruleText(7, "a"))}}, ""},
		{0, fileContent(ruleText(7, "a")), "schedule"},
		{debounce, fileContent(ruleText(7, "a")), "updated rewrite"},
	},
	"an old change that is submitted again at start is replaced by newer rules": {
		{0, fileContent(ruleText(7, "a")), "schedule"},
		{debounce, fileContent(ruleText(7, "a")), "submit 7"},
		{0, acceptedRules(9, "c"), ""},
		{0, submitResult(1, rulefile.Verdict{Kind: rulefile.VerdictAccepted}), "updated rewrite"},
	},
	"an edit that is being saved is not overwritten by newer rules": {
		{0, acceptedRules(7, "a"), ""},
		{0, fileContent(ruleText(8, "mine")), "schedule"},
		{0, acceptedRules(8, "theirs"), ""},
		{debounce, fileContent(ruleText(8, "mine")), "submit 8"},
	},
	"a newer edit replaces a submission without verdict": {
		{0, fileContent(ruleText(8, "a")), "schedule"},
		{debounce, fileContent(ruleText(8, "a")), "submit 8"},
		{0, fileContent(ruleText(8, "b")), "schedule"},
		{0, submitResult(1, rulefile.Verdict{Kind: rulefile.VerdictAccepted}), ""},
		{debounce, fileContent(ruleText(8, "b")), "submit 8"},
		{0, submitResult(2, rulefile.Verdict{Kind: rulefile.VerdictRejected, Number: 8, Text: ruleText(8, "a")}), "rejected"},
	},
	"a rejection is not answered again after the edit has changed": {
		{0, acceptedRules(7, "a"), ""},
		{0, fileContent(ruleText(8, "mine")), "schedule"},
		{debounce, fileContent(ruleText(8, "mine")), "submit 8"},
		{0, submitResult(1, rulefile.Verdict{Kind: rulefile.VerdictRejected, Number: 8, Text: ruleText(8, "theirs")}), "rejected"},
		{0, fileContent("format 1\nchange 9\n"), "schedule"},
		{debounce, fileContent("format 1\nchange 9\n"), "refused"},
		{0, acceptedRules(8, "theirs"), ""},
	},
	"a rejection without the accepted text is answered again with it": {
		{0, acceptedRules(7, "a"), ""},
		{0, fileContent(ruleText(8, "mine")), "schedule"},
		{debounce, fileContent(ruleText(8, "mine")), "submit 8"},
		{0, submitResult(1, rulefile.Verdict{Kind: rulefile.VerdictRejected, Number: 8, Reason: "ola: theirs"}), "rejected"},
		{0, acceptedRules(8, "theirs"), "rejected"},
		{time.Second, fileContent(ruleText(8, "mine")), ""},
	},
	"problems that only the group finds are answered": {
		{0, fileContent(ruleText(8, "b")), "schedule"},
		{debounce, fileContent(ruleText(8, "b")), "submit 8"},
		{0, submitResult(1, rulefile.Verdict{Kind: rulefile.VerdictInvalid, Problem: "newer check"}), "refused"},
		{time.Second, fileContent(ruleText(8, "b")), ""},
	},
	"a number out of order is answered": {
		{0, acceptedRules(7, "a"), ""},
		{0, fileContent(ruleText(12, "b")), "schedule"},
		{debounce, fileContent(ruleText(12, "b")), "submit 12"},
		{0, submitResult(1, rulefile.Verdict{Kind: rulefile.VerdictOutOfOrder, Number: 7}), "rejected"},
	},
	"old rules that arrive late are not put in force": {
		{0, acceptedRules(9, "c"), ""},
		{0, acceptedRules(8, "b"), ""},
		{0, fileContent(ruleText(8, "b")), "schedule"},
		{debounce, fileContent(ruleText(8, "b")), "updated rewrite"},
	},
}

// Guards against lost, unanswered and overwritten edits in each of the orders of messages in modelCases.
func TestModel(t *testing.T) {
	for name, steps := range modelCases {
		t.Run(name, func(t *testing.T) {
			m := rulefile.NewModel(rulefile.Delays{})
			now := time.Unix(1_800_000_000, 0)
			for i, s := range steps {
				now = now.Add(s.after)
				var got []string
				for _, cmd := range m.Update(now, s.msg) {
					got = append(got, commandName(cmd))
				}
				if strings.Join(got, " ") != s.want {
					t.Fatalf("step %d: %v, want %q", i, got, s.want)
				}
			}
		})
	}
}

// Guards against answers that do not tell an operator what happened and what to do next.
func TestAnswers(t *testing.T) {
	theirs := rulefile.Verdict{
		Kind: rulefile.VerdictRejected, Number: 8, Text: ruleText(8, "theirs"), Origin: "control-2",
		Time: time.Date(2026, 12, 4, 1, 2, 3, 0, time.UTC),
	}
	cases := []struct {
		verdict rulefile.Verdict
		want    []string
	}{
		{rulefile.Verdict{Kind: rulefile.VerdictAccepted}, []string{"change 8 is in force", "compared with change 7", "-    2  change 7 # kari: a", "+    2  change 8 # kari: mine"}},
		{theirs, []string{"from control-2 at 2026-12-04 01:02:03 UTC", "change 8 # kari: theirs", "not touched", `write "change 9"`, ruleText(8, "theirs")}},
		{rulefile.Verdict{Kind: rulefile.VerdictOutOfOrder, Number: 7}, []string{"does not follow change 7", `Write "change 8"`}},
	}
	for _, c := range cases {
		m := rulefile.NewModel(rulefile.Delays{})
		now := time.Unix(1_800_000_000, 0)
		m.Update(now, acceptedRules(7, "a"))
		m.Update(now, fileContent(ruleText(8, "mine")))
		m.Update(now.Add(debounce), fileContent(ruleText(8, "mine")))
		cmds := m.Update(now, submitResult(1, c.verdict))
		answer, _ := cmds[0].(rulefile.WriteAnswer)
		for _, want := range c.want {
			if !strings.Contains(answer.Text, want) {
				t.Errorf("%v: the answer lacks %q:\n%s", c.verdict.Kind, want, answer.Text)
			}
		}
	}
}

// Guards against a verdict of the state machine that is converted to another one.
func TestVerdictFromResult(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	accepted := replica.AcceptedChange{Revision: 3, Number: 8, Origin: "control-2", Reason: "ola: x", ProposedAt: at}
	cases := []struct {
		result replica.Result
		want   rulefile.Verdict
	}{
		{replica.Result{Verdict: replica.VerdictAccepted, Change: accepted}, rulefile.Verdict{Kind: rulefile.VerdictAccepted, Revision: 3}},
		{replica.Result{Verdict: replica.VerdictRejected, Change: accepted}, rulefile.Verdict{Kind: rulefile.VerdictRejected, Number: 8, Origin: "control-2", Reason: "ola: x", Time: at}},
		{replica.Result{Verdict: replica.VerdictOutOfOrder, Expected: 8}, rulefile.Verdict{Kind: rulefile.VerdictOutOfOrder, Number: 7}},
		{replica.Result{Verdict: replica.VerdictInvalid, Problem: "p"}, rulefile.Verdict{Kind: rulefile.VerdictInvalid, Problem: "p"}},
	}
	for _, c := range cases {
		if got, err := rulefile.VerdictFromResult(c.result); err != nil || got != c.want {
			t.Errorf("%v: got %+v, %v", c.result.Verdict, got, err)
		}
	}
	if _, err := rulefile.VerdictFromResult(replica.Result{Verdict: replica.VerdictGranted}); err == nil {
		t.Error("a verdict on a claim was converted")
	}
}

// fakeGroup is a control group that gives the verdicts of the replicated state machine.
type fakeGroup struct {
	texts []string // accepted text of change i+1
}

func (g *fakeGroup) submit(number uint64, text string) rulefile.Verdict {
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

// Guards against overwriting an edit that was never accepted, and against an edit that is never submitted, when results
// are lost or late and the file changes in between.
func TestModelNeverOverwritesEdits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &fakeGroup{}
		m := rulefile.NewModel(rulefile.Delays{})
		now := time.Unix(1_800_000_000, 0)
		file := rulefile.FileContent{Missing: true}
		var last rulefile.Submit
		notified := 0
		var execute func(cmds []rulefile.Cmd)
		execute = func(cmds []rulefile.Cmd) {
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
		update := func(msg rulefile.Msg) { execute(m.Update(now, msg)) }
		answer := func() {
			if last.ID != 0 {
				update(rulefile.SubmitResult{ID: last.ID, Verdict: g.submit(last.Number, last.Text)})
			}
		}
		notify := func() {
			if notified < len(g.texts) {
				notified++
				update(rulefile.AcceptedRules{Number: uint64(notified), Text: g.texts[notified-1]})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				number := len(g.texts) + rapid.IntRange(-1, 2).Draw(t, "ahead")
				file = rulefile.FileContent{Text: ruleText(max(number, 1), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "reason"))}
			},
			"delete": func(*rapid.T) { file = rulefile.FileContent{Missing: true} },
			"wait":   func(*rapid.T) { now = now.Add(debounce) },
			"read":   func(*rapid.T) { update(file) },
			"answer": func(*rapid.T) { answer() },
			"lose": func(*rapid.T) {
				if last.ID != 0 {
					g.submit(last.Number, last.Text)
					update(rulefile.SubmitResult{ID: last.ID, Err: errConnection})
				}
			},
			"other": func(*rapid.T) { g.submit(uint64(len(g.texts)+1), ruleText(len(g.texts)+1, "other")) },
			"tell":  func(*rapid.T) { notify() },
		})
		for range len(g.texts) + 8 {
			now = now.Add(incompleteDebounce)
			update(file)
			answer()
			notify()
		}
		if slices.Contains(g.texts, file.Text) && file.Text != g.texts[len(g.texts)-1] {
			t.Fatalf("the file still holds %q, in force is %q", file.Text, g.texts[len(g.texts)-1])
		}
		if !file.Missing && !slices.Contains(g.texts, file.Text) && last.Text != file.Text {
			t.Fatalf("%q was never submitted", file.Text)
		}
	})
}
