package allowance

import (
	"math"
	"sync"
	"time"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
)

// Periods of the accounting.
const (
	// Window is the time over which an allowance is rate x Window + burst.
	Window = 5 * time.Second
	// ReportInterval is the time between reports while limited accounts have traffic.
	ReportInterval = 250 * time.Millisecond
	// MinReportInterval is the time between reports while requests wait for fresh totals.
	MinReportInterval = 50 * time.Millisecond

	refreshInterval = time.Second             // after which an account without new requests is reported again
	trackPeriod     = 15 * time.Second        // since its last request for which an account is reported
	freshPeriod     = 1250 * time.Millisecond // since a report for which the totals in its answer count; an account is reported each refreshInterval
	touchPeriod     = 1500 * time.Millisecond // since a report with an answer for which the node is in touch
	abandonPeriod   = 100 * time.Second       // without answers, after which others may use the share of this node; shorter than AbsentPeriod of control processes
	rejoinPeriod    = 500 * time.Millisecond  // after the node has come in touch again, in which other nodes may not have reported yet
	growPeriod      = 400 * time.Millisecond  // since a report for which the rate adds to the room; then its answers are late
	releaseTime     = time.Second             // in which room that is left in the window is given out
)

// Shares of nodes without fresh totals.
const (
	localShare     = 0.9  // of the equal share: the others learn with a delay that the node is out of touch
	abandonedShare = 0.1  // of the equal share, when others may use it: the overshoot stays below a tenth of the allowance
	roomAtOnce     = 12.0 // requests beyond an even spread, for accounts so small that their demand varies by chance
	overshootGain  = 2.0  // how much faster than room is given out it is taken back once the window is full
	grantShare     = 0.25 // of the room that is granted until the next totals: what nodes use of it is known late
	slackShare     = 0.1  // of the slack that is given out when the totals are fresh; the rest is for their delay
	firstRequests  = 2    // of an account for which an in touch node has no totals yet
)

// Config identifies the node.
type Config struct {
	Node        string
	Incarnation uint64
	Slack       float64 // requests above an allowance in a Window that are tolerated; a part of it evens out small accounts
}

// Limiter admits requests of limited accounts; it is safe for concurrent use.
type Limiter struct {
	cfg     Config
	started time.Time

	mu         sync.Mutex
	accounts   map[string]*account
	byHash     map[uint64]*account
	pending    pendingReport
	full       bool      // the next report names all tracked accounts
	reportedAt time.Time // last report
	answered   time.Time // when the report of the newest answer was made
	rejoined   time.Time // when the node came in touch again the last time
	nodes      int       // known to this node or the control processes
	reserve    float64   // share of the allowance that is left to nodes out of touch
	stats      Stats
}

// Stats counts the decisions about requests of limited accounts.
type Stats struct {
	Admitted uint64
	Refused  uint64
	Tracked  int  // accounts with requests lately
	InTouch  bool // the newest totals are fresh
}

// Decision is the answer to Admit.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // of a refused request
	ReportSoon bool          // the next report should not wait for ReportInterval
}

// New returns a Limiter without accounts.
func New(cfg Config, now time.Time) *Limiter {
	return &Limiter{cfg: cfg, started: now, accounts: map[string]*account{}, byHash: map[uint64]*account{}}
}

// SetAccounts puts the allowances of new rules in force and drops the state of accounts without one.
func (l *Limiter) SetAccounts(accounts []rule.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.accounts
	l.accounts, l.byHash = map[string]*account{}, map[uint64]*account{}
	for _, r := range accounts {
		if !r.Limited() {
			continue
		}
		a := old[r.Name]
		if a == nil {
			a = newAccount(l.cfg.Node, r.Name)
		}
		a.rate, a.burst = r.Rate, r.Burst
		l.accounts[r.Name], l.byHash[a.hash] = a, a
	}
}

// HasAccounts reports whether an account has an allowance.
func (l *Limiter) HasAccounts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts) > 0
}

// Admit decides about a request of an account.
func (l *Limiter) Admit(now time.Time, name string) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil {
		return Decision{Admitted: true}
	}
	slot := l.slot(now)
	a.lastAsked = now
	a.asked.count(slot)
	a.admitted.advance(slot)
	d := l.decide(now, a)
	if d.Admitted {
		a.admitted.count(slot)
		a.total++
		l.stats.Admitted++
	} else {
		l.stats.Refused++
	}
	return d
}

// GiveBack takes back a request that was admitted at a time and reached no back end.
func (l *Limiter) GiveBack(now, admittedAt time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[name]; a != nil {
		for _, w := range []*window{&a.asked, &a.admitted} {
			w.advance(l.slot(now))
			w.uncount(l.slot(admittedAt))
		}
		a.total--
	}
}

// Stats returns the counts since the start and what holds now.
func (l *Limiter) Stats(now time.Time) Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.InTouch = l.inTouch(now)
	for _, a := range l.accounts {
		if a.tracked(now) {
			s.Tracked++
		}
	}
	return s
}

// decide admits by the totals if they are fresh; in touch without totals of this account it admits a few requests until they
// come, and out of touch no more than the share of this node.
func (l *Limiter) decide(now time.Time, a *account) Decision {
	switch {
	case elapsed(l.rejoined, now) < rejoinPeriod:
		return l.admitLocally(now, a)
	case elapsed(a.totals.reportedAt, now) < freshPeriod:
		return l.admitByTotals(now, a)
	case l.inTouch(now):
		admitted := a.total-a.totals.base < firstRequests
		return Decision{Admitted: admitted, RetryAfter: ReportInterval, ReportSoon: true}
	}
	return l.admitLocally(now, a)
}

// admitByTotals admits the fraction of the demand that fits into the window, and no more than the share of this node in the
// room that was left when the totals were made, so that all nodes together do not overshoot before the next totals.
func (l *Limiter) admitByTotals(now time.Time, a *account) Decision {
	t, rate, share := a.totals, a.rate*(1-l.reserve), l.share(a.totals)
	room := a.allowance()*(1-l.reserve) + slackShare*l.cfg.Slack - t.admitted
	allowed := l.allowedRate(a, room)
	grant := l.grant(now, a)
	used := float64(a.total - t.base)
	if used >= grant {
		return Decision{RetryAfter: clampRetry(1 / max(share*rate, 1e-3)), ReportSoon: true}
	}
	if allowed < t.demand {
		fraction := allowed / t.demand
		a.accumulated += fraction
		if a.accumulated < 1 {
			return Decision{RetryAfter: clampRetry((1 - a.accumulated) / max(share*allowed, 1e-3))}
		}
		a.accumulated--
	}
	return Decision{Admitted: true, ReportSoon: used >= grant/2}
}

// allowedRate returns how many requests a second all nodes together may admit with the given room in the window. The allowance is
// spread over the window: what is admitted early would be missing later, since the room returns only when it leaves the window.
func (l *Limiter) allowedRate(a *account, room float64) float64 {
	even := a.allowance() * (1 - l.reserve) / Window.Seconds()
	return max(0, even+min(room, roomAtOnce, overshootGain*room)/releaseTime.Seconds())
}

// share returns the part of the room that this node may use, by its demand and no less than an equal part.
func (l *Limiter) share(t totals) float64 {
	return max(t.ownDemand/max(t.demand, t.ownDemand, 1), 1/float64(max(1, l.nodes)))
}

// grant returns how many requests this node may admit after the report that its totals answer.
func (l *Limiter) grant(now time.Time, a *account) float64 {
	t, rate, allowance := a.totals, a.rate*(1-l.reserve), a.allowance()*(1-l.reserve)
	room := max(0, allowance+slackShare*l.cfg.Slack-t.admitted)
	return l.share(t)*(grantShare*room+rate*min(elapsed(t.reportedAt, now), growPeriod).Seconds()) + 1
}

// admitLocally admits an equal share of the allowance in each window. A share below one request is rounded by the phase of the
// account, so that the sum over all nodes is the allowance.
func (l *Limiter) admitLocally(now time.Time, a *account) Decision {
	share := localShare * a.allowance() / float64(max(1, l.nodes))
	if l.answered.IsZero() {
		// What this node admitted before a restart still counts for a window.
		share *= min(1, elapsed(l.started, now).Seconds()/Window.Seconds())
	}
	if elapsed(l.lastAnswer(), now) > abandonPeriod {
		share *= abandonedShare
	}
	share = math.Floor(share + a.phase)
	if l.answered.IsZero() {
		// All nodes may have started at once, in which case refusals would hit accounts that have sent nothing.
		share = max(1, share)
	}

	if elapsed(a.totals.reportedAt, now) < Window {
		// The others still count what this node has reported last.
		share = min(share, a.totals.ownAdmitted+l.grant(now, a))
	}
	if float64(a.admitted.sum(windowSlots)) < share {
		return Decision{Admitted: true, ReportSoon: true}
	}
	return Decision{RetryAfter: time.Duration(a.admitted.oldest()) * slotWidth, ReportSoon: true}
}

// inTouch reports whether the newest answer of a control process is fresh.
func (l *Limiter) inTouch(now time.Time) bool {
	return !l.answered.IsZero() && elapsed(l.answered, now) < touchPeriod
}

// lastAnswer returns the time of the report of the newest answer, or of the start.
func (l *Limiter) lastAnswer() time.Time {
	if l.answered.IsZero() {
		return l.started
	}
	return l.answered
}

func (l *Limiter) slot(now time.Time) int64 { return int64(now.Sub(l.started) / slotWidth) }

// SetNodes sets the number of nodes before the first answer has named it; later calls have no effect.
func (l *Limiter) SetNodes(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answered.IsZero() {
		l.nodes = max(l.nodes, n)
	}
}

// elapsed returns the time since t. The steady clock does not count the suspension of a machine; the time of day does.
func elapsed(t, now time.Time) time.Duration {
	if t.IsZero() {
		return math.MaxInt64
	}
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// clampRetry returns a wait within the time that totals are fresh and a Window.
func clampRetry(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, ReportInterval.Seconds()), Window.Seconds()) * float64(time.Second))
}

// pendingReport is what the newest report said, for its answer.
type pendingReport struct {
	at      time.Time
	reports map[uint64]reported
}

// reported is what a report said about one account.
type reported struct {
	base     int64 // admitted since the start
	demand   float64
	admitted float64 // in the window
}

// Report returns what has changed since the last report, or nil if nothing has. One report is made at a time: its answer goes to
// Apply, its failure to Failed.
func (l *Limiter) Report(now time.Time) *control.UsageRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = pendingReport{at: now, reports: map[uint64]reported{}}
	req := &control.UsageRequest{Node: l.cfg.Node, Incarnation: l.cfg.Incarnation}
	for _, a := range l.accounts {
		use, due := a.report(now, l.slot(now), l.full)
		if !due {
			continue
		}
		req.Accounts = append(req.Accounts, use)
		l.pending.reports[a.hash] = reported{base: a.total, demand: float64(use.GetDemand()), admitted: float64(use.GetAdmitted())}
	}
	// Without traffic the node stays in touch with reports that name no account.
	if len(req.GetAccounts()) == 0 && (len(l.accounts) == 0 || now.Sub(l.reportedAt) < refreshInterval) {
		return nil
	}
	l.full, l.reportedAt = false, now
	return req
}

// countNodes takes the number of nodes and how many of them are out of touch. A control process that has started lately does not
// know of those that were out of touch before; this node may.
func (l *Limiter) countNodes(resp *control.UsageResponse) {
	known := int(resp.GetNodes())
	if time.Duration(resp.GetAge())*time.Second < abandonPeriod {
		known = max(known, l.nodes)
	}
	l.nodes = known
	inTouch := resp.GetNodes() - min(resp.GetAbsent(), resp.GetNodes())
	l.reserve = 1 - float64(inTouch)/float64(known)
}

// Failed notes that no control process has answered the newest report.
func (l *Limiter) Failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.full = true
}

// Apply takes the answer to the newest report.
func (l *Limiter) Apply(resp *control.UsageResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.full = l.full || resp.GetFull()
	if !resp.GetCurrent() || resp.GetNodes() == 0 {
		return
	}
	if !l.answered.IsZero() && elapsed(l.answered, l.pending.at) >= touchPeriod {
		l.rejoined = l.pending.at
	}
	l.answered = l.pending.at
	l.countNodes(resp)

	for _, u := range resp.GetAccounts() {
		a, r := l.byHash[u.GetAccount()], l.pending.reports[u.GetAccount()]
		if a != nil {
			a.totals = totals{
				reportedAt: l.pending.at, base: r.base, ownDemand: r.demand, ownAdmitted: r.admitted,
				admitted: float64(u.GetAdmitted()), demand: float64(u.GetDemand()),
			}
		}
	}
}
