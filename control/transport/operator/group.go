package operator

import (
	"context"
	"time"

	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/rule"
)

// Group is the part of the consensus group that operators' edits need.
type Group interface {
	Propose(ctx context.Context, cmd replica.Command) (replica.Result, error)
	Read(f func(*replica.Replica))
	Changed() <-chan struct{} // closed when the next command is applied
}

// Submitter returns the Submit function of a Config that proposes changes in the name of a control process.
func Submitter(g Group, name string, now func() time.Time) func(ctx context.Context, number uint64, text string) (Verdict, error) {
	return func(ctx context.Context, number uint64, text string) (Verdict, error) {
		result, err := g.Propose(ctx, replica.Command{
			Kind: replica.Change, Time: now(), Number: number, Text: text, Origin: name, Reason: rule.Reason(text),
		})
		if err != nil {
			return Verdict{}, err
		}
		return FromResult(result)
	}
}

// Follow passes accepted rules from the group to accept, starting with those in force, until ctx ends.
func Follow(ctx context.Context, g Group, accept func(Accepted)) {
	var last uint64
	for {
		changed := g.Changed() // before reading, so that no change falls in between
		if rules, ok := newer(g, last); ok {
			accept(rules)
			last = rules.Number
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// newer returns the rules in force if their number is above last, with the hashes of the changes since then.
func newer(g Group, last uint64) (Accepted, bool) {
	var rules Accepted
	g.Read(func(r *replica.Replica) {
		if r.Rules().Number <= last {
			return
		}
		rules = Accepted{Number: r.Rules().Number, Text: r.Rules().Text}
		for _, c := range r.Changes() {
			if c.Number > last {
				rules.Earlier = append(rules.Earlier, c.Hash)
			}
		}
	})
	return rules, rules.Number > last
}
