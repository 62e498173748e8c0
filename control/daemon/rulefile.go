package daemon

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/control/transport/rulefile"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/rule"
)

// ruleFile connects the watcher of the operators' rule file to the group.
type ruleFile struct {
	name    string // of this process
	group   *raftgroup.Group
	log     *event.Log
	watcher *rulefile.Watcher
}

func newRuleFile(i do.Injector) (*ruleFile, error) {
	s := do.MustInvoke[Settings](i)
	g, err := do.Invoke[*raftgroup.Group](i)
	if err != nil {
		return nil, err
	}
	f := &ruleFile{name: s.Name, group: g, log: do.MustInvoke[*event.Log](i)}
	f.watcher = rulefile.NewWatcher(rulefile.Config{Path: s.RuleFile, Submit: f.submitEdit})
	return f, nil
}

// checkRuleFolder checks that the folder of the rule file exists; the file itself may be created later.
func checkRuleFolder(path string) error {
	info, err := os.Stat(filepath.Dir(path))
	if path == "" || err == nil && info.IsDir() {
		return nil
	}
	return errors.Newf("rules: the folder of %s does not exist", path)
}

// submitEdit proposes an edit and logs it if it is not accepted; publishRules logs accepted changes when they are
// applied.
func (f *ruleFile) submitEdit(ctx context.Context, number uint64, text string) (rulefile.Verdict, error) {
	res, err := proposeRules(ctx, f.group, f.name, number, text)
	if err != nil {
		return rulefile.Verdict{}, err
	}
	if res.Verdict != replica.VerdictAccepted {
		f.log.Emit(event.ChangeRejected, zap.Uint64("number", number), zap.Stringer("verdict", res.Verdict), zap.String("problem", res.Problem))
	}
	return rulefile.VerdictFromResult(res)
}

// notifyAccepted passes the rules in force and the changes since the last call to the watcher.
func (f *ruleFile) notifyAccepted(r replica.Rules, changes []replica.AcceptedChange) {
	hashes := lo.Map(changes, func(c replica.AcceptedChange, _ int) uint64 { return c.TextHash })
	f.watcher.NotifyAccepted(rulefile.AcceptedRules{Number: r.ChangeNumber, Text: r.Text, EarlierHashes: hashes})
}

// SubmitRules proposes the text of a rule file as the change with the given number and returns the result of the group.
func (d *Daemon) SubmitRules(ctx context.Context, number uint64, text string) (replica.Result, error) {
	return proposeRules(ctx, d.group, d.settings.Name, number, text)
}

func proposeRules(ctx context.Context, g *raftgroup.Group, origin string, number uint64, text string) (replica.Result, error) {
	return g.Propose(ctx, replica.Command{
		Kind: replica.CommandChangeRules, ProposedAt: time.Now(), ChangeNumber: number, Text: text, Origin: origin, Reason: rule.ChangeReason(text),
	})
}
