package program

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/allowance"
)

// reportTimeout bounds a report of account use with its tries at several control processes.
const reportTimeout = time.Second

// allowanceEventInterval is the least time between two events about allowances.
const allowanceEventInterval = time.Second

// allowances applies the allowances of client accounts to requests of callers.
type allowances struct {
	limiter *allowance.Limiter
	soon    wakeup // of the next report: requests wait for it, or the accounts have changed
}

func newAllowances(n *Node) *allowances {
	cfg := allowance.Config{Node: n.cfg.Name, Incarnation: n.incarnation, Slack: n.cfg.Limits.AllowanceSlack}
	return &allowances{limiter: allowance.New(cfg, time.Now()), soon: newWakeup()}
}

// Admit counts a request of an account, or returns after which time another one may be admitted.
func (a *allowances) Admit(account string) (time.Duration, bool) {
	d := a.limiter.Admit(time.Now(), account)
	if d.ReportSoon {
		a.soon.signal()
	}
	return d.RetryAfter, d.Admitted
}

// GiveBack takes back a request, admitted at a time, that no back end has run.
func (a *allowances) GiveBack(account string, admittedAt time.Time) {
	a.limiter.GiveBack(time.Now(), admittedAt, account)
}

// setAccounts puts the allowances of new rules in force.
func (a *allowances) setAccounts(accounts []rule.Account) {
	a.limiter.SetAccounts(accounts)
	a.soon.signal()
}

// reportUsage reports the use of limited accounts to the control processes until ctx ends, and logs what was refused.
func (n *Node) reportUsage(ctx context.Context) {
	ticker := time.NewTicker(allowance.ReportInterval)
	defer ticker.Stop()
	log := allowanceLog{events: n.events}
	for {
		var tick <-chan time.Time // nil while no account is limited
		if n.allowances.limiter.HasAccounts() {
			tick = ticker.C
		}
		select {
		case <-ctx.Done():
			return
		case <-tick:
		case <-n.allowances.soon:
		}
		log.update(time.Now(), n.allowances.limiter)
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

// allowanceLog logs refusals over an allowance and the loss and return of fresh totals.
type allowanceLog struct {
	events   *event.Log
	last     allowance.Stats
	loggedAt time.Time
}

// update logs what has changed since the last call that did so, at most once in allowanceEventInterval.
func (l *allowanceLog) update(now time.Time, limiter *allowance.Limiter) {
	if now.Sub(l.loggedAt) < allowanceEventInterval {
		return
	}
	s, last := limiter.Stats(now), l.last
	if s.Refused > last.Refused {
		l.events.Emit(event.AllowanceExceeded, zap.Uint64("refused", s.Refused-last.Refused), zap.Uint64("admitted", s.Admitted-last.Admitted),
			zap.Bool("touch", s.InTouch))
	}
	if s.InTouch != last.InTouch {
		l.events.Emit(event.AllowanceTotalsChanged, zap.Bool("touch", s.InTouch), zap.Int("accounts", s.Tracked))
	}
	l.last, l.loggedAt = s, now
}
