package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/samber/lo"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/observation"
)

// counts are answers of back ends on one route.
type counts struct {
	failed uint64
	times  [observation.Buckets]uint64
}

func (c *counts) add(r *control.RouteCount) {
	c.failed += r.GetFailed()
	for i, n := range r.GetTimes() {
		if i < len(c.times) {
			c.times[i] += n
		}
	}
}

// subtract removes what had been counted earlier; a count that is lower than before belongs to a restarted node.
func (c *counts) subtract(r *control.RouteCount) {
	c.failed -= min(c.failed, r.GetFailed())
	for i, n := range r.GetTimes() {
		if i < len(c.times) {
			c.times[i] -= min(c.times[i], n)
		}
	}
}

func (c *counts) merge(o *counts) {
	c.failed += o.failed
	for i, n := range o.times {
		c.times[i] += n
	}
}

func (c *counts) answered() uint64 {
	sum := uint64(0)
	for _, n := range c.times {
		sum += n
	}
	return sum
}

func (c *counts) total() uint64 { return c.failed + c.answered() }

func (c *counts) failureShare() float64 { return float64(c.failed) / float64(max(c.total(), 1)) }

// meanBucket is the mean of the logarithm of the times, in buckets.
func (c *counts) meanBucket() float64 {
	sum := 0.0
	for i, n := range c.times {
		sum += float64(i) * float64(n)
	}
	return sum / float64(max(c.answered(), 1))
}

// tails returns the share of the answers that are above each bucket, and 0 for one more.
func (c *counts) tails() (list [observation.Buckets + 1]float64) {
	answered, above := float64(max(c.answered(), 1)), uint64(0)
	for k := observation.Buckets - 1; k > 0; k-- {
		above += c.times[k]
		list[k-1] = float64(above) / answered
	}
	return list
}

// Outliers are the worst back ends of each version by failures, and those by times. They are left out of comparisons: a fault
// of single back ends is no fault of their version, which all of them have in common.
const (
	outlierShare   = 0.2
	minForOutliers = 4 // with fewer back ends none is left out

	// One failure makes no outlier, nor do the times of few answers.
	minOutlierFailures = 2
	minOutlierAnswers  = 5
)

// worstNodes returns the outliers among the nodes of each version.
func worstNodes(totals map[string]*counts, isTarget func(string) bool) map[string]bool {
	worst := map[string]bool{}
	target, others := lo.FilterReject(lo.Keys(totals), func(name string, _ int) bool { return isTarget(name) })
	for _, names := range [][]string{target, others} {
		for _, name := range outliers(names, func(name string) float64 { return totals[name].failureShare() }) {
			worst[name] = worst[name] || totals[name].failed >= minOutlierFailures
		}
		for _, name := range outliers(names, func(name string) float64 { return totals[name].meanBucket() }) {
			worst[name] = worst[name] || totals[name].total() >= minOutlierAnswers
		}
	}
	return worst
}

func outliers(names []string, badness func(string) float64) []string {
	if len(names) < minForOutliers {
		return nil
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(-cmp.Compare(badness(a), badness(b)), cmp.Compare(a, b)) })
	worst := names[:int(math.Ceil(float64(len(names))*outlierShare))]
	return lo.Filter(worst, func(name string, _ int) bool { return badness(name) > 0 })
}

// verdict is the result of a comparison; a larger one is worse for the target version.
type verdict int

const (
	sound verdict = iota
	suspect
	faulty
)

// thresholds are the least differences between two versions for a verdict.
type thresholds struct {
	excess       float64 // bad answers above those that the other versions would have given
	difference   float64 // between the shares of bad answers
	significance float64 // in standard deviations, or the statistic of Kolmogorov and Smirnov
}

// The rollout looks at the same counts many times, so that a single look must be far more certain than the whole may be.
var (
	failureFault   = thresholds{excess: 4.5, difference: 0.03, significance: 3.5}
	failureSuspect = thresholds{excess: 2.5, difference: 0.03, significance: 2}
	slowFault      = thresholds{excess: 8, difference: 0.12, significance: 1.9}
	slowSuspect    = thresholds{excess: 4, difference: 0.1, significance: 1.3}
)

func (t thresholds) reached(excess, difference, significance float64) bool {
	return excess >= t.excess && difference >= t.difference && significance >= t.significance
}

func grade(fault, suspicion thresholds, excess, difference, significance float64) verdict {
	switch {
	case fault.reached(excess, difference, significance):
		return faulty
	case suspicion.reached(excess, difference, significance):
		return suspect
	}
	return sound
}

// failureTolerance is the ratio to the share of failures of the other versions up to which that of the target counts as equal:
// leaving out outliers does not lower both shares by the same part.
const failureTolerance = 1.2

// stratum holds the answers of both versions within one slot of time. Versions are compared within strata only, since a fault
// outside of them, such as an overload, meets both at the same time but not with the same share of the requests.
type stratum struct{ target, others counts }

// compareFailures compares the shares of failures by the test of Mantel and Haenszel.
func compareFailures(list []stratum) verdict {
	var answers, excess, variance float64
	for _, s := range list {
		n, m := float64(s.target.total()), float64(s.others.total())
		if n == 0 {
			continue
		}
		usual := (float64(s.others.failed) + 0.5) / (m + 1)
		if m < minSlotAnswers {
			// With few answers of the others, a failure in a hundred is taken as usual.
			usual = (float64(s.others.failed) + 1) / (m + 100)
		}
		pooled := (float64(s.target.failed) + usual*(m+1)) / (n + m + 1)
		usual = min(1, usual*failureTolerance)
		answers += n
		excess += float64(s.target.failed) - usual*n
		variance += n * n * pooled * (1 - pooled) * (1/n + 1/(m+1))
	}
	return grade(failureFault, failureSuspect, excess, excess/max(answers, 1), excess/math.Sqrt(max(variance, 1e-9)))
}

// Answers that are compared by their times at least.
const (
	minTargetTimes = 12
	minOtherTimes  = 30
)

// compareTimes compares the distributions of the times, those of the target shortened by one bucket (a factor of 1.41), so that
// a small difference is no fault.
func compareTimes(list []stratum) verdict {
	var excess [observation.Buckets]float64
	var answers, others float64
	for _, s := range list {
		n, m := float64(s.target.answered()), float64(s.others.answered())
		if n == 0 || m == 0 {
			continue
		}
		answers += n
		others += m
		target, usual := s.target.tails(), s.others.tails()
		for k := range excess {
			excess[k] += n * (target[k+1] - usual[k])
		}
	}
	if answers < minTargetTimes || others < minOtherTimes {
		return sound
	}
	largest := slices.Max(excess[:])
	difference := largest / answers
	return grade(slowFault, slowSuspect, largest, difference, difference*math.Sqrt(answers*others/(answers+others)))
}
