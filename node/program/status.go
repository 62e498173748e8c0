package program

import (
	"time"

	"pollenhill.example/core/coordination/admission"
)

// Status is the JSON document at /status on the local listener.
type Status struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	Region      string  `json:"region"`
	Incarnation uint64  `json:"incarnation"`
	Leaving     bool    `json:"leaving"`
	Rules       Rules   `json:"rules"`
	Backend     Backend `json:"backend"`
	Members     int     `json:"members"`
	Calls       int     `json:"calls"` // in progress
}

// Rules is the rules part of Status.
type Rules struct {
	Revision  uint64  `json:"revision"`
	Number    uint64  `json:"number"`
	Age       float64 `json:"age"` // seconds since they came into force here
	Server    string  `json:"server"`
	Confirmed bool    `json:"confirmed"`
}

// Backend is the back end part of Status.
type Backend struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	State    string `json:"state"`
	Inflight int    `json:"inflight"`
	Queued   int    `json:"queued"`
	Limit    int    `json:"limit"`
	Load     string `json:"load"` // newest load report, as the back end wrote it
}

func (p *Program) status() Status {
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
		Rules: Rules{
			Revision:  rules.set.Revision,
			Number:    rules.set.ChangeNumber,
			Age:       time.Since(rules.since).Seconds(),
			Server:    state.Server,
			Confirmed: state.Confirmed,
		},
		Backend: Backend{
			Name:     a.Name,
			Service:  a.Service,
			State:    s.String(),
			Inflight: view.Admission.Hint.Inflight,
			Queued:   view.Admission.Hint.Queued,
			Limit:    view.Admission.Hint.Limit,
			Load:     p.backend.LoadReport().Text,
		},
		Members: len(state.Members),
		Calls:   view.Calls,
	}
}
