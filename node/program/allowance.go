package program

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/event"
	"pollenhill.example/node/coordination/allowance"
)

// reportTimeout bounds a report of account use with its tries at several control processes.
const reportTimeout = time.Second

// allowanceEventInterval is the least time between two events about allowances.
const allowanceEventInterval = time.Second

// allowances applies the allowances of client accounts to requests of callers.
type allowances struct {
	limiter *allowance.Limiter
	soon    chan struct{} // signals that requests wait for the next report
}

func newAllowances(n *Node) *allowances {
	cfg := allowance.Config{Node: n.cfg.Name, Incarnation: n.incarnation, Slack: n.cfg.Limits.AllowanceSlack}
	return &allowances{limiter: allowance.New(cfg, time.Now()), soon: make(chan struct{}, 1)}
}

// Admit counts a request of an account, or returns after which time another one may be admitted.
func (a *allowances) Admit(account string) (time.Duration, bool) {
	d := a.limiter.Admit(time.Now(), account)
	if d.ReportSoon {
		select {
		case a.soon <- struct{}{}:
		default:
		}
	}
	return d.RetryAfter, d.Admitted
}

// GiveBack takes back a request, admitted at a time, that no back end has run.
func (a *allowances) GiveBack(account string, admittedAt time.Time) {
	a.limiter.GiveBack(time.Now(), admittedAt, account)
}

// reportUsage reports the use of limited accounts to the control processes until ctx ends.
func (n *Node) reportUsage(ctx context.Context) {
	ticker := time.NewTicker(allowance.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.allowances.soon:
		}
		if req := n.allowances.limiter.Report(time.Now()); req != nil {
			n.sendUsage(ctx, req)
			pause.For(ctx, allowance.MinReportInterval)
		}
	}
}

func (n *Node) sendUsage(ctx context.Context, req *control.UsageRequest) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := n.controlClient.ReportUsage(ctx, req)
	if err != nil {
		n.allowances.limiter.Failed()
		return
	}
	n.allowances.limiter.Apply(resp)
}

// logAllowances logs refusals over an allowance and the loss and return of fresh totals.
func (n *Node) logAllowances(ctx context.Context) {
	last := allowance.Stats{}
	for pause.For(ctx, allowanceEventInterval) {
		s := n.allowances.limiter.Stats(time.Now())
		if s.Refused > last.Refused {
			n.events.Emit(event.AllowanceExceeded, zap.Uint64("refused", s.Refused-last.Refused), zap.Uint64("admitted", s.Admitted-last.Admitted),
				zap.Bool("touch", s.InTouch))
		}
		if s.InTouch != last.InTouch {
			n.events.Emit(event.AllowanceTotalsChanged, zap.Bool("touch", s.InTouch), zap.Int("accounts", s.Tracked))
		}
		last = s
	}
}
