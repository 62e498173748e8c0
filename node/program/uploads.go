package program

import (
	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/protocol/message"
)

// maxUploadSlowdown is the slowdown of the back end from which a large body is not sent to it if another one is faster. Slow
// periods on a shared machine begin at twice the usual service time.
const maxUploadSlowdown = 2.0

// refuseEarly returns why an attempt is refused before its large body is sent to this node, or None. What it lets through,
// admission may still refuse after the body.
func (n *Node) refuseEarly(a message.Attempt) refusal.Reason {
	backend, state := n.backend.CurrentAnnouncement()
	rules := n.activeRules.Load().set
	view := n.engine.View().Admission
	switch {
	case a.Incarnation != n.incarnation:
		return refusal.WrongIncarnation
	case n.backendLeaving.Load() || state == admission.Leaving:
		return refusal.Leaving
	case state == admission.Absent || backend.Service != a.Service:
		return refusal.NoBackend
	case state == admission.Draining:
		return refusal.Draining
	case rules.ZoneOut(n.cfg.Zone):
		return refusal.ZoneOutOfService
	case rules.BackendOut(backend.Name):
		return refusal.BackendOutOfService
	case a.Movable && (view.Hint.Queued > 0 || view.Hint.Inflight >= view.Limit || view.Hint.Slowdown >= maxUploadSlowdown):
		return refusal.BackendSlow
	}
	return refusal.None
}
