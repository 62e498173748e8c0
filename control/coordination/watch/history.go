package watch

import (
	"slices"

	"github.com/samber/lo"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
)

// Limits of the rule texts kept as bases of line deltas. At ten changes a second a node that lags behind by six seconds still
// gets a delta, up to texts of 256 KiB.
const (
	maxVersions     = 64
	maxVersionBytes = 16 << 20 // of their texts; the newest one is kept whatever its size
)

// history holds the newest rules and the versions before them.
type history struct {
	versions []version                 // oldest first
	size     int                       // bytes of the texts of versions
	messages map[uint64]*control.Rules // cached messages that update a held revision to the newest one
}

// version is the rule text of one revision.
type version struct {
	revision uint64 // consensus index of the change
	number   uint64 // change number in the rule file
	text     string
}

// add appends v and reports whether it is newer than the newest version; otherwise it does nothing.
func (h *history) add(v version) bool {
	if v.revision <= h.newest().revision {
		return false
	}
	h.versions = append(h.versions, v)
	h.size += len(v.text)
	for len(h.versions) > maxVersions || h.size > maxVersionBytes && len(h.versions) > 1 {
		h.size -= len(h.versions[0].text)
		h.versions = slices.Delete(h.versions, 0, 1)
	}
	h.messages = map[uint64]*control.Rules{}
	return true
}

// newest returns the newest version, or the zero version if there is none.
func (h *history) newest() version {
	if len(h.versions) == 0 {
		return version{}
	}
	return h.versions[len(h.versions)-1]
}

// rulesSince returns the message that updates a held revision to the newest one, or nil if the held one is as new.
func (h *history) rulesSince(held uint64) *control.Rules {
	v := h.newest()
	if held >= v.revision {
		return nil
	}
	base, ok := lo.Find(h.versions, func(o version) bool { return o.revision == held })
	if !ok {
		held = 0
	}
	if cached, ok := h.messages[held]; ok {
		return cached
	}
	msg := &control.Rules{Revision: v.revision, Number: v.number, Hash: rule.Hash(v.text)}
	if !ok || !setEdits(msg, base, v.text) {
		msg.Text = v.text
	}
	h.messages[held] = msg
	return msg
}

// setEdits sets the base and edits of msg, or returns false if the whole text is no longer than the edits.
func setEdits(msg *control.Rules, base version, text string) bool {
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
