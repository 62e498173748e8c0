package program

import (
	"time"

	"pollenhill.example/core/coordination/admission"
)

// Status is the JSON document that the local listener serves at /status.
type Status struct {
	Name          string        `json:"name"`
	Zone          string        `json:"zone"`
	Region        string        `json:"region"`
	Incarnation   uint64        `json:"incarnation"`
	Leaving       bool          `json:"leaving"` // the node is shutting down
	Rules         RulesStatus   `json:"rules"`
	Backend       BackendStatus `json:"backend"`
	MemberCount   int           `json:"members"`
	CallsInFlight int           `json:"calls"`
}

// RulesStatus is the part of Status about the rules in force.
type RulesStatus struct {
	Revision       uint64  `json:"revision"`
	ChangeNumber   uint64  `json:"number"`    // of the change line in the rules
	AgeSeconds     float64 `json:"age"`       // since this node put them in force
	ControlProcess string  `json:"server"`    // followed one; empty for none
	Confirmed      bool    `json:"confirmed"` // a control process with a quorum confirms the rules
}

// BackendStatus is the part of Status about the local back end.
type BackendStatus struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	State      string `json:"state"`
	Inflight   int    `json:"inflight"` // requests at the back end
	Queued     int    `json:"queued"`   // requests that wait in this node
	Limit      int    `json:"limit"`    // concurrency limit
	LoadReport string `json:"load"`     // newest one, as the back end wrote it
}

func (n *Node) status() Status {
	rules, state, view := n.activeRules.Load(), n.controlClient.State(), n.engine.View()
	a, s := n.backend.CurrentAnnouncement()
	if s != admission.Absent && n.shuttingDown.Load() {
		s = admission.Leaving
	}
	return Status{
		Name:        n.cfg.Name,
		Zone:        n.cfg.Zone,
		Region:      n.cfg.Region,
		Incarnation: n.incarnation,
		Leaving:     n.shuttingDown.Load(),
		Rules: RulesStatus{
			Revision:       rules.set.Revision,
			ChangeNumber:   rules.set.ChangeNumber,
			AgeSeconds:     time.Since(rules.appliedAt).Seconds(),
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
			LoadReport: n.backend.LoadReport().Text,
		},
		MemberCount:   len(state.Members),
		CallsInFlight: view.Calls,
	}
}
