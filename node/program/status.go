package program

import (
	"time"

	"pollenhill.example/core/coordination/admission"
)

// Status is the JSON document at /status on the local listener.
type Status struct {
	Name          string        `json:"name"`
	Zone          string        `json:"zone"`
	Region        string        `json:"region"`
	Incarnation   uint64        `json:"incarnation"`
	Leaving       bool          `json:"leaving"`
	Rules         RulesStatus   `json:"rules"`
	Backend       BackendStatus `json:"backend"`
	MemberCount   int           `json:"members"`
	CallsInFlight int           `json:"calls"` // in progress
}

// RulesStatus is the rules part of Status.
type RulesStatus struct {
	Revision       uint64  `json:"revision"`
	ChangeNumber   uint64  `json:"number"`
	AgeSeconds     float64 `json:"age"` // seconds since they came into force here
	ControlProcess string  `json:"server"`
	Confirmed      bool    `json:"confirmed"`
}

// BackendStatus is the back end part of Status.
type BackendStatus struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	State      string `json:"state"`
	Inflight   int    `json:"inflight"`
	Queued     int    `json:"queued"`
	Limit      int    `json:"limit"`
	LoadReport string `json:"load"` // newest load report, as the back end wrote it
}

func (p *Node) status() Status {
	rules, state, view := p.rules.Load(), p.control.State(), p.engine.View()
	a, s := p.backend.CurrentAnnouncement()
	if s != admission.Absent && p.leaving.Load() {
		s = admission.Leaving
	}
	return Status{
		Name:        p.cfg.Name,
		Zone:        p.cfg.Zone,
		Region:      p.cfg.Region,
		Incarnation: p.incarnation,
		Leaving:     p.leaving.Load(),
		Rules: RulesStatus{
			Revision:       rules.set.Revision,
			ChangeNumber:   rules.set.ChangeNumber,
			AgeSeconds:     time.Since(rules.since).Seconds(),
			ControlProcess: state.Server,
			Confirmed:      state.Confirmed,
		},
		Backend: BackendStatus{
			Name:       a.Name,
			Service:    a.Service,
			State:      s.String(),
			Inflight:   view.Admission.Hint.Inflight,
			Queued:     view.Admission.Hint.Queued,
			Limit:      view.Admission.Hint.Limit,
			LoadReport: p.backend.LoadReport().Text,
		},
		MemberCount:   len(state.Members),
		CallsInFlight: view.Calls,
	}
}
