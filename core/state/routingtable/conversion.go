package routingtable

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/rule"
)

// errTimeRange means that a number of a table does not fit into a time.Duration.
var errTimeRange = errors.New("a time is out of range; want less than 292 years")

// conversion converts between the numbers of a table and the durations of rules. A number reads back as it was sent if it has no
// digits below a nanosecond.
type conversion struct {
	// cutOff converts as programs did before they rounded: digits were cut off, so that 4.1 s became 4.099999999 s and each later
	// change took another step off. It is for entries of the log that such programs wrote, since all members of a group must apply
	// an entry alike, those that have its result in a snapshot included.
	cutOff bool
}

// FromRulesCutOff is FromRules for entries of programs that cut times off.
func FromRulesCutOff(version uint64, set *rule.Set) Table {
	return fromRules(version, set, conversion{cutOff: true})
}

// TrafficRulesCutOff is TrafficRules for entries of programs that cut times off.
func (t Table) TrafficRulesCutOff() (rule.TrafficRules, error) {
	return t.trafficRules(conversion{cutOff: true})
}

// fromNumber returns n units; the caller has checked it with inRange.
func (c conversion) fromNumber(n float64, unit time.Duration) time.Duration {
	if c.cutOff {
		return time.Duration(n * float64(unit))
	}
	return time.Duration(math.Round(n * float64(unit)))
}

// inRange reports whether the numbers, in the given unit, fit into a duration. Beyond it the conversion differs between kinds of
// processors.
func (c conversion) inRange(unit time.Duration, numbers ...float64) bool {
	for _, n := range numbers {
		if !c.cutOff && math.Abs(n*float64(unit)) >= math.MaxInt64 {
			return false
		}
	}
	return true
}

// toSeconds returns the seconds of d. One division is exact to the last digit, while Seconds adds two numbers: 1.118 s would become
// 1.1179999999999999.
func (c conversion) toSeconds(d time.Duration) float64 {
	if c.cutOff {
		return d.Seconds()
	}
	return float64(d) / float64(time.Second)
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
