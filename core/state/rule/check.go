package rule

import (
	"fmt"
	"slices"
	"strings"
)

// out is a line that takes a zone out.
type out struct {
	line line
	last bool
}

// check reports rules that contradict each other.
func (p *parser) check() {
	p.checkLast()
	p.checkTargets()
	for _, s := range p.services {
		p.checkSizes(s)
	}
}

// checkLast makes sure that the word "last" is there exactly when no zone stays in service:
// a leftover word would let the next change take out the last zone unnoticed.
func (p *parser) checkLast() {
	if len(p.outs) == 0 {
		return
	}
	all := len(p.outs) == len(p.set.Zones)
	marked := false
	for _, o := range p.outs {
		marked = marked || o.last
		if o.last && !all {
			w := o.line.words[3]
			p.bad(o.line, w.at, o.line.without(w), "another zone is in service, so this zone is not the last one; remove the word \"last\"")
		}
	}
	if all && !marked {
		o := p.outs[len(p.outs)-1]
		w := o.line.words[2]
		p.bad(o.line, w.at, o.line.plus(lastWord), "no zone would stay in service; if that is meant, add the word \"last\"")
	}
}

func (p *parser) checkSizes(s *Service) {
	d := s.defaults(p.named)
	if l, ok := p.seen["cold "+s.Name]; ok && d.ColdSlots > d.Slots && len(l.words) > 2 {
		p.bad(l, l.words[2].at, l.with(l.words[2], "1"), "a cold back end cannot handle more requests at once (%d) than it has slots (%d)", d.ColdSlots, d.Slots)
	}
	if l, ok := p.seen["limit "+s.Name]; ok && d.MaxConnections < d.Slots {
		more := slices.IndexFunc(l.words, func(w word) bool { return strings.HasPrefix(w.text, "connections=") })
		p.bad(l, l.words[2].at, l.with(l.words[more], fmt.Sprintf("connections=%d", d.Slots)), "connections=%d is less than slots=%d; every slot needs a connection", d.MaxConnections, d.Slots)
	}
}

// defaults returns s with the default for everything that named does not list.
func (s Service) defaults(named map[string]bool) Service {
	set := func(key string) bool { return named[key+" "+s.Name] }
	if !set("slots") && s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if !set("connections") && s.MaxConnections == 0 {
		s.MaxConnections = max(DefaultMaxConnections, s.Slots)
	}
	if !set("queue") && s.QueueLength == 0 {
		s.QueueLength = DefaultQueueLength
	}
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	if !set("retry") && s.RetryRatio == 0 {
		s.RetryRatio = DefaultRetryRatio
	}
	if !set("hedge") && s.HedgeRatio == 0 {
		s.HedgeRatio = DefaultHedgeRatio
	}
	if s.HedgeQuantile == 0 {
		s.HedgeQuantile = DefaultHedgeQuantile
	}
	if !set("probe") && s.ProbeShare == 0 {
		s.ProbeShare = DefaultProbeShare
	}
	if s.ColdSlots == 0 {
		s.ColdSlots = min(DefaultColdSlots, s.Slots)
	}
	if s.SpillThreshold == 0 {
		s.SpillThreshold = DefaultSpillThreshold
	}
	return s
}

// finish fills the set from the collected services.
func (p *parser) finish() {
	for name, s := range p.services {
		full := s.defaults(p.named)
		full.full = true
		p.set.Services[name] = full
	}
	p.set.routes = routes(p.set.Services)
	p.set.index()
}
