package engine

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
)

// View is a snapshot of the models for responses, metrics and status; it may be one tick old.
type View struct {
	Admission admission.View
	Calls     int // calls in flight at this entry node
}

// View returns the newest snapshot.
func (e *Engine) View() View {
	return *e.view.Load()
}

func (e *Engine) publish(now time.Time) {
	v := e.cfg.Destination.View()
	old := e.view.Swap(&View{Admission: v, Calls: e.cfg.Call.Outstanding()})
	// The callback reads the view, so it must run after the swap; otherwise it would report the old slowdown.
	if e.cfg.SlowdownChanged != nil && old != nil && changedStrongly(old.Admission.Hint.Slowdown, v.Hint.Slowdown) {
		e.cfg.SlowdownChanged()
	}
	e.reportLocalLoad(now, v)
}

// reportLocalLoad passes the load of the local back end to the entry model, as no other node reports it. It does so only
// for a back end that states its slowdown, because only such back ends are chosen by fresh reports; for others, the
// averages over all back ends would follow the local one too closely.
func (e *Engine) reportLocalLoad(now time.Time, v admission.View) {
	if name := e.cfg.Destination.Backend(); name != "" && v.Hint.Slowdown > 0 {
		e.sendCallEffects(e.cfg.Call.ReportHint(now, balancer.LoadReport{Backend: name, Hint: v.Hint}))
	}
}

// changedStrongly reports whether the slowdown has changed by more than a factor of 1.5 in either direction, so that other
// nodes must learn of it at once.
func changedStrongly(old, slowdown float64) bool {
	return 2*slowdown > 3*old || 3*slowdown < 2*old
}
