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
	if l, ok := p.seen["cold "+s.Name]; ok && d.Cold > d.Slots && len(l.words) > 2 {
		p.bad(l, l.words[2].at, l.with(l.words[2], "1"), "a cold back end cannot handle more requests at once (%d) than it has slots (%d)", d.Cold, d.Slots)
	}
	if l, ok := p.seen["limit "+s.Name]; ok && d.Connections < d.Slots {
		more := slices.IndexFunc(l.words, func(w word) bool { return strings.HasPrefix(w.text, "connections=") })
		p.bad(l, l.words[2].at, l.with(l.words[more], fmt.Sprintf("connections=%d", d.Slots)), "connections=%d is less than slots=%d; every slot needs a connection", d.Connections, d.Slots)
	}
}

// defaults returns s with the default for everything that named does not list.
func (s Service) defaults(named map[string]bool) Service {
	set := func(key string) bool { return named[key+" "+s.Name] }
	if !set("slots") && s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if !set("connections") && s.Connections == 0 {
		s.Connections = max(DefaultConnections, s.Slots)
	}
	if !set("queue") && s.Queue == 0 {
		s.Queue = DefaultQueue
	}
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	if !set("retry") && s.Retry == 0 {
		s.Retry = DefaultRetry
	}
	if !set("hedge") && s.Hedge == 0 {
		s.Hedge = DefaultHedge
	}
	if s.After == 0 {
		s.After = DefaultAfter
	}
	if !set("probe") && s.Probe == 0 {
		s.Probe = DefaultProbe
	}
	if s.Cold == 0 {
		s.Cold = min(DefaultCold, s.Slots)
	}
	if s.Spill == 0 {
		s.Spill = DefaultSpill
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
