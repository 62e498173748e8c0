package rule

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=RolloutState -linecomment

// RolloutState is the progress of a Rollout; its names are the values of state= and of the change interface.
type RolloutState int

// States of a rollout.
const (
	// RolloutAdvancing means that the target version gets the share of the rule.
	RolloutAdvancing RolloutState = iota // advancing
	// RolloutCompleted means that the replaced versions get no requests.
	RolloutCompleted // completed
	// RolloutReverted means that the target version gets no requests.
	RolloutReverted // reverted
)

// Rollout moves the requests of a service to back ends of another version of its software. The progress is part of the rule,
// so that every node follows the same one and a new leader goes on from it.
type Rollout struct {
	Service  string
	Target   string        // version that the service moves to
	Within   time.Duration // time for the whole move
	Share    Ratio         // of the requests for the target version while the rollout advances
	State    RolloutState
	Since    time.Time // when the order was given, by the clock of the control process that took it
	Replaced []string  `json:",omitempty"` // versions that get nothing after completion
}

// rolloutOptions are the options of a rollout rule.
var rolloutOptions = []string{"target", "within", "share", "state", "since", "replaced"}

// Rollout returns the rollout of a service, or false if there is none.
func (s *Set) Rollout(service string) (Rollout, bool) {
	i := slices.IndexFunc(s.Rollouts, func(r Rollout) bool { return r.Service == service })
	if i < 0 {
		return Rollout{}, false
	}
	return s.Rollouts[i], true
}

// Allows reports whether back ends of a version may run requests of the service at all. A version is unknown until the first
// heartbeat after a restart of the node; it could be the target, so it gets nothing before the completion.
func (r Rollout) Allows(version string) bool {
	switch r.State {
	case RolloutCompleted:
		return !slices.Contains(r.Replaced, version)
	case RolloutReverted:
		return version != "" && version != r.Target
	case RolloutAdvancing:
	}
	if version == r.Target {
		return r.Share > 0
	}
	return version != "" && r.Share < 1
}

// VersionAllowed reports whether back ends of a version may run requests of a service at all; without a rollout all may.
func (s *Set) VersionAllowed(service, version string) bool {
	r, ok := s.Rollout(service)
	return !ok || r.Allows(version)
}

// SetRollout returns text as change number, with a rule for a rollout in place of the one for the same service.
// The comment "who: why" in attribution is for the change line and for the new rule.
func SetRollout(text string, number uint64, attribution string, r Rollout) string {
	rule := r.ruleText() + " # " + attribution + "\n"
	missing := true
	return rewriteLines(text, number, attribution, func(l line, raw string) string {
		if len(l.words) < 2 || l.words[0].text != "rollout" || unescape(l.words[1].text) != r.Service {
			return raw
		}
		missing = false
		return rule
	}, func() (string, bool) {
		add := missing
		missing = false
		return rule, add
	})
}

func (r Rollout) ruleText() string {
	var b strings.Builder
	b.WriteString("rollout " + escape(r.Service))
	writeOption(&b, "target", escape(r.Target))
	writeOption(&b, "within", formatDuration(r.Within))
	b.WriteString(" share=" + formatPercent(r.Share))
	writeOption(&b, "state", r.State.String())
	if !r.Since.IsZero() {
		writeOption(&b, "since", r.Since.UTC().Format(time.RFC3339Nano))
	}
	versions := make([]string, len(r.Replaced))
	for i, v := range r.Replaced {
		versions[i] = escape(v)
	}
	writeOption(&b, "replaced", strings.Join(versions, ","))
	return b.String()
}

// formatPercent returns a share as a percentage with at most three decimals, which parseRatio reads.
func formatPercent(share Ratio) string {
	return strconv.FormatFloat(math.Round(float64(share)*100_000)/1000, 'f', -1, 64) + "%"
}

func parseRolloutRule(p *parser, l line) {
	args, ok := p.arguments(l, 2, len(rolloutOptions)+1)
	if !ok {
		return
	}
	r := Rollout{Service: unescape(args[0].text)}
	opts, ok := p.parseOptions(l, args[1:], rolloutOptions...)
	if !ok || !p.registerOnce(l, args[0].offset, "rollout "+r.Service, "the rollout of "+r.Service) {
		return
	}
	if r.Target = unescape(opts["target"].text); r.Target == "" {
		p.report(l, args[0].offset, verbs["rollout"].example, "a rollout needs target=")
	}
	r.Within = p.optionalDuration(l, opts["within"])
	if w, ok := opts["share"]; ok {
		r.Share, _ = p.parseRatio(l, w, 0)
	}
	if w, ok := opts["state"]; ok {
		r.State = p.parseRolloutState(l, w)
	}
	if w, ok := opts["since"]; ok {
		r.Since = p.parseInstant(l, w)
	}
	if w := opts["replaced"]; w.text != "" {
		for item := range strings.SplitSeq(w.text, ",") {
			r.Replaced = append(r.Replaced, unescape(item))
		}
	}
	p.set.Rollouts = append(p.set.Rollouts, r)
}

func (p *parser) parseRolloutState(l line, w word) RolloutState {
	for state := RolloutAdvancing; state <= RolloutReverted; state++ {
		if w.text == state.String() {
			return state
		}
	}
	p.report(l, w.offset, verbs["rollout"].example, "%q is not a state; states are advancing, completed and reverted", w.text)
	return RolloutAdvancing
}

func (p *parser) parseInstant(l line, w word) time.Time {
	at, err := time.Parse(time.RFC3339Nano, w.text)
	if err != nil {
		p.report(l, w.offset, verbs["rollout"].example, "%q is not a time such as 2026-12-04T07:30:00Z", w.text)
	}
	return at
}
