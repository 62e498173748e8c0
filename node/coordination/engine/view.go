package engine

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
)

// View is a snapshot for responses, metrics and status; it may be one tick old.
type View struct {
	Admission admission.View
	Calls     int // calls in progress at this entry node
}

// View returns the newest snapshot.
func (e *Engine) View() View {
	return *e.view.Load()
}

func (e *Engine) publish(now time.Time) {
	v := e.cfg.Destination.View()
	old := e.view.Swap(&View{Admission: v, Calls: e.cfg.Call.Outstanding()})
	// Only now: a report made before the view changes would tell the old speed.
	if e.cfg.SlowdownChanged != nil && old != nil && turned(old.Admission.Hint.Pace, v.Hint.Pace) {
		e.cfg.SlowdownChanged()
	}
	e.inform(now, v)
}

// inform tells the entry side about the local back end, of which no other node reports. Only a back end that tells its
// speed is chosen by fresh reports; for others the averages over all back ends would follow the local one too closely.
func (e *Engine) inform(now time.Time, v admission.View) {
	if name := e.cfg.Destination.Backend(); name != "" && v.Hint.Pace > 0 {
		e.called(e.cfg.Call.ReportHint(now, balancer.LoadReport{Backend: name, Hint: v.Hint}))
	}
}

// turned says whether a speed differs so much from the last one that other nodes must know at once.
func turned(old, speed float64) bool {
	return 2*speed > 3*old || 3*speed < 2*old
}
