package rulefile

import (
	"fmt"
	"strings"
	"time"

	"pollenhill.example/core/state/rule"
)

// maxDiffLines bounds the lines of a diff in an answer.
const maxDiffLines = 200

// inForceLine returns the line that names the rules in force. Answers about problems contain it, because no problem with the
// file changes the rules in force.
func inForceLine(current AcceptedRules) string {
	if current.Number == 0 {
		return "No rules are known to be in force here yet.\n"
	}
	return fmt.Sprintf("The rules in force are those of change %d.\n", current.Number)
}

func missingAnswer(current AcceptedRules) string {
	return "missing: the rule file does not exist.\n\n" + inForceLine(current) +
		"Deleting the file changes nothing. \"pollenhill show --text\" prints the rules to start from.\n"
}

func unreadableAnswer(reason string, current AcceptedRules) string {
	return "unreadable: " + reason + "\n\n" + inForceLine(current)
}

func inForceAnswer(current AcceptedRules) string {
	return fmt.Sprintf("in force: change %d is in force and this file holds it.\n\n%s\n", current.Number, changeLine(current.Text))
}

func updatedAnswer(old string, current AcceptedRules) string {
	return fmt.Sprintf("updated: the file held accepted rules that are no longer in force; it now holds change %d.\n\n%s\n\n%s",
		current.Number, changeLine(current.Text), formatDiff("the file before", old, current.Text))
}

func problemsAnswer(err error, current AcceptedRules) string {
	return "refused: the file was not submitted because it has problems.\n\n" + err.Error() + "\n\n" + inForceLine(current) +
		"The file was not touched. Correct it and save it again.\n"
}

func waitingAnswer(s *submission, err error) string {
	return fmt.Sprintf("waiting: there is no verdict on change %d yet, and it is submitted again until there is.\n\nlast error: %v\n\n%s",
		s.rules.ChangeNumber, err, inForceLine(s.base))
}

func acceptedAnswer(s *submission) string {
	text := fmt.Sprintf("accepted: change %d is in force.\n\n%s\n", s.rules.ChangeNumber, changeLine(s.text))
	if s.base.Number == 0 || s.base.Text == s.text {
		return text
	}
	return text + "\n" + formatDiff(fmt.Sprintf("change %d", s.base.Number), s.base.Text, s.text)
}

// rejectedAnswer shows the accepted change and the newest known rules, into which the operator has to merge the edit.
func rejectedAnswer(s *submission, v Verdict, current AcceptedRules) string {
	newest := AcceptedRules{Number: v.Number, Text: v.Text}
	if current.Number > v.Number {
		newest = current
	}
	line := fmt.Sprintf("change %d # %s", v.Number, v.Reason)
	if v.Text != "" {
		line = changeLine(v.Text)
	}
	text := fmt.Sprintf("rejected: another edit was accepted as change %d first.\n\n", s.rules.ChangeNumber)
	text += fmt.Sprintf("accepted change%s:\n\n    %s\n\n", originAndTime(v), line)
	if v.Text != "" {
		text += formatDiff("your file", s.text, v.Text) + "\n"
	}
	text += "Your file was not touched. To keep your edit, add it to the newest accepted rules,\n"
	text += fmt.Sprintf("write \"change %d\" on line 2 and save.\n", newest.Number+1)
	if newest.Text == "" {
		return text
	}
	return text + fmt.Sprintf("\ntext of change %d:\n\n%s", newest.Number, newest.Text)
}

func invalidAnswer(s *submission, v Verdict) string {
	return fmt.Sprintf("refused: the control group found problems in change %d.\n\n%s\n\n", s.rules.ChangeNumber, v.Problem) +
		inForceLine(s.base) + "The file was not touched. Correct it and save it again.\n"
}

// originAndTime returns where and when the accepted change was proposed, as far as it is known, with a leading space.
func originAndTime(v Verdict) string {
	var text string
	if v.Origin != "" {
		text += " from " + v.Origin
	}
	if !v.Time.IsZero() {
		text += " at " + v.Time.UTC().Format(time.DateTime) + " UTC"
	}
	return text
}

func outOfOrderAnswer(s *submission, v Verdict) string {
	text := fmt.Sprintf("rejected: change %d does not follow change %d, which is in force.\n\n", s.rules.ChangeNumber, v.Number)
	text += fmt.Sprintf("Your file was not touched. Write \"change %d\" on line 2, check that the rest still fits, and save.\n", v.Number+1)
	text += "The same bytes get the same verdict, even when the number has become right; change at least the comment then.\n"
	if s.base.Number == v.Number {
		text += "\n" + formatDiff(fmt.Sprintf("change %d", v.Number), s.base.Text, s.text)
	}
	return text
}

// changeLine returns the second line of a rule text, which names the change, who asked for it and why.
func changeLine(text string) string {
	if attributions := rule.Attributions(text); len(attributions) > 1 {
		return attributions[1].Text
	}
	return ""
}

// formatDiff returns the removed and added lines between two texts with their line numbers; oldName describes the old
// one.
func formatDiff(oldName, oldText, newText string) string {
	edits := rule.Diff(oldText, newText)
	oldLines := rule.Attributions(oldText)
	lines := []string{"compared with " + oldName + ":", ""}
	shift := 0 // difference between new and old line numbers
	for _, e := range edits {
		for i := range e.Count {
			lines = append(lines, fmt.Sprintf("    - %4d  %s", e.Start+i+1, oldLines[e.Start+i].Text))
		}
		for i, added := range e.Lines {
			lines = append(lines, fmt.Sprintf("    + %4d  %s", e.Start+shift+i+1, strings.TrimRight(added, "\r\n")))
		}
		shift += len(e.Lines) - e.Count
	}
	if len(lines) > maxDiffLines {
		omitted := len(lines) - maxDiffLines
		lines = append(lines[:maxDiffLines], fmt.Sprintf("    (%d more lines)", omitted))
	}
	return strings.Join(lines, "\n") + "\n"
}
