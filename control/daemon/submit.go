package daemon

import (
	"context"
	"strings"
	"time"

	"pollenhill.example/core/state/replica"
)

// Submit proposes a rule file as the change with the given number.
func (d *Daemon) Submit(ctx context.Context, number uint64, text string) (replica.Result, error) {
	return d.group.Propose(ctx, replica.Command{
		Kind: replica.Change, Time: time.Now(), Number: number, Text: text,
		Origin: d.settings.Name, Reason: reason(text),
	})
}

// reason returns the comment of the change line, which is the second line of a rule file.
func reason(text string) string {
	_, rest, _ := strings.Cut(text, "\n")
	line, _, _ := strings.Cut(rest, "\n")
	_, comment, _ := strings.Cut(line, "#")
	return strings.TrimSpace(comment)
}
