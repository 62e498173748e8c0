package rulefile

import (
	"fmt"
	"strings"
	"time"

	"pollenhill.example/core/state/rule"
)

// maxShown bounds the lines of a comparison in an answer.
const maxShown = 200

// inForceLine says which rules calls follow, whatever happens to the file.
func inForceLine(force AcceptedRules) string {
	if force.Number == 0 {
		return "No rules are known to be in force here yet.\n"
	}
	return fmt.Sprintf("The rules in force are those of change %d.\n", force.Number)
}

func missing(force AcceptedRules) string {
	return "missing: the rule file does not exist.\n\n" + inForceLine(force) +
		"Deleting the file changes nothing. \"pollenhill show --text\" prints the rules to start from.\n"
}

func unreadable(reason string, force AcceptedRules) string {
	return "unreadable: " + reason + "\n\n" + inForceLine(force)
}

func inForce(force AcceptedRules) string {
	return fmt.Sprintf("in force: change %d is in force and this file holds it.\n\n%s\n", force.Number, changeLine(force.Text))
}

func updated(old string, force AcceptedRules) string {
	return fmt.Sprintf("updated: the file held accepted rules that are no longer in force; it now holds change %d.\n\n%s\n\n%s",
		force.Number, changeLine(force.Text), comparison("the file before", old, force.Text))
}

func problems(err error, force AcceptedRules) string {
	return "refused: the file was not submitted because it has problems.\n\n" + err.Error() + "\n\n" + inForceLine(force) +
		"The file was not touched. Correct it and save it again.\n"
}

func undecided(w *pending, err error) string {
	return fmt.Sprintf("waiting: there is no verdict on change %d yet, and it is submitted again until there is.\n\nlast error: %v\n\n%s",
		w.set.ChangeNumber, err, inForceLine(w.base))
}

func acceptance(w *pending) string {
	text := fmt.Sprintf("accepted: change %d is in force.\n\n%s\n", w.set.ChangeNumber, changeLine(w.text))
	if w.base.Number == 0 || w.base.Text == w.text {
		return text
	}
	return text + "\n" + comparison(fmt.Sprintf("change %d", w.base.Number), w.base.Text, w.text)
}

// rejection shows the accepted change and the text that the edit has to be added to, the newest one known.
func rejection(w *pending, v Verdict, force AcceptedRules) string {
	newest := AcceptedRules{Number: v.Number, Text: v.Text}
	if force.Number > v.Number {
		newest = force
	}
	line := fmt.Sprintf("change %d # %s", v.Number, v.Reason)
	if v.Text != "" {
		line = changeLine(v.Text)
	}
	text := fmt.Sprintf("rejected: another edit was accepted as change %d first.\n\n", w.set.ChangeNumber)
	text += fmt.Sprintf("accepted change%s:\n\n    %s\n\n", provenance(v), line)
	if v.Text != "" {
		text += comparison("your file", w.text, v.Text) + "\n"
	}
	text += "Your file was not touched. To keep your edit, add it to the newest accepted rules,\n"
	text += fmt.Sprintf("write \"change %d\" on line 2 and save.\n", newest.Number+1)
	if newest.Text == "" {
		return text
	}
	return text + fmt.Sprintf("\ntext of change %d:\n\n%s", newest.Number, newest.Text)
}

func invalid(w *pending, v Verdict) string {
	return fmt.Sprintf("refused: the control group found problems in change %d.\n\n%s\n\n", w.set.ChangeNumber, v.Problem) +
		inForceLine(w.base) + "The file was not touched. Correct it and save it again.\n"
}

func provenance(v Verdict) string {
	var text string
	if v.Origin != "" {
		text += " from " + v.Origin
	}
	if !v.Time.IsZero() {
		text += " at " + v.Time.UTC().Format(time.DateTime) + " UTC"
	}
	return text
}

func disorder(w *pending, v Verdict) string {
	text := fmt.Sprintf("rejected: change %d does not follow change %d, which is in force.\n\n", w.set.ChangeNumber, v.Number)
	text += fmt.Sprintf("Your file was not touched. Write \"change %d\" on line 2, check that the rest still fits, and save.\n", v.Number+1)
	text += "The same bytes get the same verdict, even when the number has become right; change at least the comment then.\n"
	if w.base.Number == v.Number {
		text += "\n" + comparison(fmt.Sprintf("change %d", v.Number), w.base.Text, w.text)
	}
	return text
}

// changeLine returns the second line of accepted rules, which says who asked for the change and why.
func changeLine(text string) string {
	if credits := rule.Attributions(text); len(credits) > 1 {
		return credits[1].Text
	}
	return ""
}

// comparison lists removed and added lines with their line numbers.
func comparison(name, old, text string) string {
	edits := rule.Diff(old, text)
	before := rule.Attributions(old)
	lines := []string{"compared with " + name + ":", ""}
	shift := 0
	for _, e := range edits {
		for i := range e.Count {
			lines = append(lines, fmt.Sprintf("    - %4d  %s", e.Start+i+1, before[e.Start+i].Text))
		}
		for i, one := range e.Lines {
			lines = append(lines, fmt.Sprintf("    + %4d  %s", e.Start+shift+i+1, strings.TrimRight(one, "\r\n")))
		}
		shift += len(e.Lines) - e.Count
	}
	if len(lines) > maxShown {
		more := len(lines) - maxShown
		lines = append(lines[:maxShown], fmt.Sprintf("    (%d more lines)", more))
	}
	return strings.Join(lines, "\n") + "\n"
}
