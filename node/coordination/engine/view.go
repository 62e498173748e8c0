package engine

import "pollenhill.example/core/coordination/admission"

// View is a snapshot for responses, metrics and status; it may be one tick old.
type View struct {
	Admission admission.View
	Calls     int // calls in progress at this entry node
}

// View returns the newest snapshot.
func (e *Engine) View() View {
	return *e.view.Load()
}

func (e *Engine) publish() {
	e.view.Store(&View{Admission: e.cfg.Arrival.View(), Calls: e.cfg.Call.Open()})
}
