package replica

import (
	"math"
	"reflect"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/state/rule"
)

// resendWindow is how long after the time limit of a rollout an equal order counts as sent again. Callers repeat an order for
// seconds only; later it asks for another try of a version that was reverted.
const resendWindow = 30 * time.Second

// rolloutSubject is the name under which the orders about the rollout of a service are remembered beside those about zones,
// whose names have no control characters.
func rolloutSubject(service string) string { return "\x00rollout " + service }

// RolloutOrder returns the log index of the newest order about the rollout of a service, 0 if there is none.
func (r *Replica) RolloutOrder(service string) uint64 { return r.ZoneOrder(rolloutSubject(service)) }

// Rollouts returns the rollouts of the rules in force.
func (r *Replica) Rollouts() []rule.Rollout { return r.ruleSet().Rollouts }

// Rollout returns the newest rollout of a service.
func (r *Replica) Rollout(service string) (rule.Rollout, bool) { return r.ruleSet().Rollout(service) }

// orderRollout starts the rollout of a service. An order that is sent again is acknowledged again; one that a newer order has
// overtaken, because a control process or a message was held up, has no effect.
func (r *Replica) orderRollout(index uint64, c Command) Result {
	if c.Service == "" || c.Target == "" || c.Within <= 0 {
		return Result{Verdict: VerdictInvalid, Problem: "a rollout needs a service, a target version and a time"}
	}
	if current, ok := r.Rollout(c.Service); ok && r.isResent(current, c) {
		return Result{Verdict: VerdictStored}
	}
	if newest := r.RolloutOrder(c.Service); c.Conditional && c.KnownOrder != newest {
		return Result{Verdict: VerdictStale, Expected: newest}
	}
	r.recordZoneOrder(index, rolloutSubject(c.Service))
	since := fromMillis(toMillis(c.ProposedAt)) // as the log keeps it, so that all members write the same text
	next := rule.Rollout{Service: c.Service, Target: c.Target, Within: c.Within, Since: since, State: c.State}
	if c.State == rule.RolloutCompleted {
		next.Share = 1
	}
	return r.writeRollout(index, c, next, "ordered")
}

// isResent reports whether an order asks for what the current rollout does or has done.
func (r *Replica) isResent(current rule.Rollout, c Command) bool {
	recent := fromMillis(r.stateTime).Sub(current.Since) <= current.Within+resendWindow
	return isCarriedOut(current, c) || current.Target == c.Target && current.Within == c.Within && recent
}

// isCarriedOut reports whether the current rollout has done what an order asks for, or is doing it.
func isCarriedOut(current rule.Rollout, c Command) bool {
	if current.Target != c.Target {
		return false
	}
	return current.State == rule.RolloutCompleted || current.State == rule.RolloutAdvancing && current.Within == c.Within
}

// advanceRollout changes the share or the state of a rollout that has not ended. The state of one that has ended is final.
func (r *Replica) advanceRollout(index uint64, c Command) Result {
	current, ok := r.Rollout(c.Service)
	if newest := r.RolloutOrder(c.Service); !ok || c.KnownOrder != newest || current.State != rule.RolloutAdvancing {
		return Result{Verdict: VerdictStale, Expected: newest}
	}
	next := advanced(current, c)
	if reflect.DeepEqual(next, current) {
		return Result{Verdict: VerdictStored}
	}
	return r.writeRollout(index, c, next, c.State.String())
}

// advanced returns the current rollout with the share and the state in c.
func advanced(current rule.Rollout, c Command) rule.Rollout {
	next := current
	next.State, next.Replaced = c.State, c.Replaced
	if math.Abs(float64(c.Share-current.Share)) > 1/shareUnit {
		next.Share = c.Share
	}
	return next
}

func (r *Replica) writeRollout(index uint64, c Command, next rule.Rollout, step string) Result {
	reason := "operator: rollout " + step + " by the change interface"
	text := rule.SetRollout(r.rules.Text, r.rules.ChangeNumber+1, reason, next)
	if _, err := rule.Parse(text); err != nil {
		return Result{Verdict: VerdictInvalid, Problem: err.Error()}
	}
	return Result{Verdict: VerdictAccepted, Change: r.acceptRules(index, r.ruleChangeFor(c, text, reason))}
}

// recordRolloutChanges records the orders that a change of the rule file contains: the rollouts that differ between the lists.
func (r *Replica) recordRolloutChanges(index uint64, before, after []rule.Rollout) {
	byService := func(o rule.Rollout) string { return o.Service }
	old, current := lo.KeyBy(before, byService), lo.KeyBy(after, byService)
	for _, o := range append(append([]rule.Rollout{}, before...), after...) {
		if !reflect.DeepEqual(old[o.Service], current[o.Service]) && r.RolloutOrder(o.Service) != index {
			r.recordZoneOrder(index, rolloutSubject(o.Service))
		}
	}
}
