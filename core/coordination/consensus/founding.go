package consensus

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// founding is the state of a first voter until it knows the IDs of all first voters.
//
// A voter that lost its disk looks like one that starts for the first time. It must not vote again, so a first
// voter takes part only after every other one has confirmed its ID: members that are in the group already
// answer with the ID that was lost, and one such answer makes the new process refuse. This costs that all
// first voters must be up once at the first start.
type founding struct {
	ids       map[string]string // by name, this member included
	confirmed map[string]bool   // members that named this member's ID
	helloAt   time.Time
}

// ErrIDMismatch means that the data folder is new but the group knows this member from another one.
var ErrIDMismatch = errors.New("data folder is new, but the group knows this member from another folder: start it as joining")

func newFounding(name, id string) *founding {
	return &founding{ids: map[string]string{name: id}, confirmed: map[string]bool{name: true}}
}

func (e *Engine) tickFounding(now time.Time) {
	if now.Before(e.founding.helloAt) {
		return
	}
	e.founding.helloAt = now.Add(e.cfg.ElectionTimeout)
	for _, p := range e.cfg.Peers {
		if p.Name != e.cfg.Name {
			e.post(p.Name, envelope{hello: e.hello(false)})
		}
	}
}

func (e *Engine) hello(answer bool) *hello {
	h := &hello{name: e.cfg.Name, id: e.identity.id, ids: map[string]string{}, answer: answer}
	if e.founding != nil {
		h.ids = maps.Clone(e.founding.ids)
	}
	for _, id := range e.identity.founders {
		h.ids[ProcessName(id)] = id
	}
	return h
}

func (e *Engine) onHello(now time.Time, h *hello) error {
	known := slices.ContainsFunc(e.cfg.Peers, func(p Peer) bool { return p.Name == h.name })
	if !known || h.name == e.cfg.Name || e.identity.joined {
		return nil
	}
	if f := e.founding; f != nil {
		if f.ids[h.name] == "" {
			f.ids[h.name] = h.id
		}
		mine := h.ids[e.cfg.Name]
		if mine != "" && mine != e.identity.id {
			return errors.Wrapf(ErrIDMismatch, "%s answered %s", h.name, mine)
		}
		if mine == e.identity.id && f.ids[h.name] == h.id {
			f.confirmed[h.name] = true
		}
	}
	if !h.answer {
		e.post(h.name, envelope{hello: e.hello(true)})
	}
	return e.tryFound(now)
}

// tryFound makes the member a voter once all others confirmed its ID.
func (e *Engine) tryFound(now time.Time) error {
	if e.founding == nil || len(e.founding.confirmed) < len(e.cfg.Peers) {
		return nil
	}
	e.identity.founders = slices.Sorted(maps.Values(e.founding.ids))
	e.founding = nil
	return e.start(now)
}

// start writes the identity and starts the consensus model of a new data folder.
func (e *Engine) start(now time.Time) error {
	e.content.Meta = e.identity.encode()
	if err := e.log.Reset(e.content); err != nil {
		return err
	}
	return e.startModel(now)
}
