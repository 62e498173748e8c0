package watch

import (
	"github.com/samber/lo"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
)

// kept is how many accepted texts serve as a base of line deltas.
//
// At ten changes a second a node may lag behind by six seconds and still gets a delta.
const kept = 64

// history holds the newest rules and the texts before them.
type history struct {
	versions []version                 // oldest first
	deltas   map[uint64]*control.Rules // messages that lead from a base to the newest version
}

type version struct {
	revision uint64
	number   uint64
	text     string
}

// add appends newer rules and returns false for older or equal ones.
func (h *history) add(v version) bool {
	if v.revision <= h.newest().revision {
		return false
	}
	h.versions = append(h.versions, v)
	if len(h.versions) > kept {
		h.versions = h.versions[len(h.versions)-kept:]
	}
	h.deltas = map[uint64]*control.Rules{}
	return true
}

func (h *history) newest() version {
	if len(h.versions) == 0 {
		return version{}
	}
	return h.versions[len(h.versions)-1]
}

// rules returns the message that leads from a held revision to the newest, or nil if there is nothing newer.
func (h *history) rules(held uint64) *control.Rules {
	v := h.newest()
	if held >= v.revision {
		return nil
	}
	base, ok := lo.Find(h.versions, func(o version) bool { return o.revision == held })
	if !ok {
		held = 0
	}
	if cached, ok := h.deltas[held]; ok {
		return cached
	}
	msg := &control.Rules{Revision: v.revision, Number: v.number, Hash: rule.Hash(v.text)}
	if !ok || !delta(msg, base, v.text) {
		msg.Text = v.text
	}
	h.deltas[held] = msg
	return msg
}

// delta fills in edits; it returns false if the whole text is shorter.
func delta(msg *control.Rules, base version, text string) bool {
	size := 0
	edits := lo.Map(rule.Diff(base.text, text), func(e rule.Edit, _ int) *control.Edit {
		size += lo.SumBy(e.Lines, func(s string) int { return len(s) })
		return &control.Edit{Start: uint32(e.Start), Count: uint32(e.Count), Lines: e.Lines}
	})
	if size >= len(text) {
		return false
	}
	msg.Base = base.revision
	msg.Edits = edits
	return true
}
