package rule

import (
	"fmt"
	"slices"
	"strings"
)

// lastWord ends an "out zone" rule to confirm that no zone stays in service.
const lastWord = "last"

// outZoneLine is a line that takes a zone out of service.
type outZoneLine struct {
	line      line
	confirmed bool // ends with lastWord
}

// checkConsistency reports rules that contradict each other.
func (p *parser) checkConsistency() {
	p.checkLastZone()
	p.checkRouteServices()
	for _, s := range p.services {
		p.checkLimits(s)
	}
}

// checkLastZone requires lastWord if no zone stays in service, and rejects it otherwise: with a leftover word, a later
// change could take the last zone out of service unnoticed.
func (p *parser) checkLastZone() {
	if len(p.outZoneLines) == 0 {
		return
	}
	allOut := len(p.outZoneLines) == len(p.set.Zones)
	confirmed := false
	for _, o := range p.outZoneLines {
		confirmed = confirmed || o.confirmed
		if o.confirmed && !allOut {
			w := o.line.words[3]
			p.report(o.line, w.offset, o.line.removeWord(w), "another zone is in service, so this zone is not the last one; remove the word \"last\"")
		}
	}
	if allOut && !confirmed {
		o := p.outZoneLines[len(p.outZoneLines)-1]
		w := o.line.words[2]
		p.report(o.line, w.offset, o.line.appendWords(lastWord), "no zone would stay in service; if that is meant, add the word \"last\"")
	}
}

// checkLimits reports a cold limit above the slots, and fewer connections than slots.
func (p *parser) checkLimits(s *Service) {
	d := s.withDefaults(p.explicit)
	if l, ok := p.firstLines["cold "+s.Name]; ok && d.ColdSlots > d.Slots && len(l.words) > 2 {
		p.report(l, l.words[2].offset, l.replaceWord(l.words[2], "1"), "a cold back end cannot handle more requests at once (%d) than it has slots (%d)", d.ColdSlots, d.Slots)
	}
	if l, ok := p.firstLines["limit "+s.Name]; ok && d.MaxConnections < d.Slots {
		i := slices.IndexFunc(l.words, func(w word) bool { return strings.HasPrefix(w.text, "connections=") })
		p.report(l, l.words[2].offset, l.replaceWord(l.words[i], fmt.Sprintf("connections=%d", d.Slots)), "connections=%d is less than slots=%d; every slot needs a connection", d.MaxConnections, d.Slots)
	}
}
