package consensus

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// bootstrap is the state of an initial voter until it knows the IDs of all initial voters.
//
// A voter that lost its disk looks like one that starts for the first time, but must not vote again. So an initial voter
// takes part only after every other one has confirmed its ID. Members that are already in the group reply with the ID that
// was lost, and one such reply makes the new process stop with ErrIDMismatch. The cost is that all initial voters must be
// up at the same time once, at the first start.
type bootstrap struct {
	idByName    map[string]string // including this member
	confirmedBy map[string]bool   // by name: members that replied with this member's ID, and itself
	nextHello   time.Time
}

// ErrIDMismatch means that the data folder is new, but the group knows this member under the ID of another folder.
var ErrIDMismatch = errors.New("data folder is new, but the group knows this member from another folder: start it as joining")

func newBootstrap(name, id string) *bootstrap {
	return &bootstrap{idByName: map[string]string{name: id}, confirmedBy: map[string]bool{name: true}}
}

func (e *Engine) sendHellos(now time.Time) {
	if now.Before(e.bootstrap.nextHello) {
		return
	}
	e.bootstrap.nextHello = now.Add(e.cfg.ElectionTimeout)
	for _, p := range e.cfg.Peers {
		if p.Name != e.cfg.Name {
			e.enqueue(p.Name, envelope{hello: e.newHello(false)})
		}
	}
}

func (e *Engine) newHello(isReply bool) *hello {
	h := &hello{name: e.cfg.Name, id: e.identity.id, idByName: map[string]string{}, isReply: isReply}
	if e.bootstrap != nil {
		h.idByName = maps.Clone(e.bootstrap.idByName)
	}
	for _, id := range e.identity.initialVoters {
		h.idByName[ProcessName(id)] = id
	}
	return h
}

func (e *Engine) onHello(now time.Time, h *hello) error {
	known := slices.ContainsFunc(e.cfg.Peers, func(p Peer) bool { return p.Name == h.name })
	if !known || h.name == e.cfg.Name || e.identity.joined {
		return nil
	}
	if b := e.bootstrap; b != nil {
		if b.idByName[h.name] == "" {
			b.idByName[h.name] = h.id
		}
		ownID := h.idByName[e.cfg.Name]
		if ownID != "" && ownID != e.identity.id {
			return errors.Wrapf(ErrIDMismatch, "%s replied with ID %s", h.name, ownID)
		}
		if ownID == e.identity.id && b.idByName[h.name] == h.id {
			b.confirmedBy[h.name] = true
		}
	}
	if !h.isReply {
		e.enqueue(h.name, envelope{hello: e.newHello(true)})
	}
	return e.tryFinishBootstrap(now)
}

// tryFinishBootstrap starts the consensus model as a voter once all initial voters have confirmed this member's ID.
func (e *Engine) tryFinishBootstrap(now time.Time) error {
	if e.bootstrap == nil || len(e.bootstrap.confirmedBy) < len(e.cfg.Peers) {
		return nil
	}
	e.identity.initialVoters = slices.Sorted(maps.Values(e.bootstrap.idByName))
	e.bootstrap = nil
	return e.storeIdentityAndStart(now)
}

// storeIdentityAndStart writes the identity to a new data folder and starts the consensus model.
func (e *Engine) storeIdentityAndStart(now time.Time) error {
	e.openedContent.Identity = e.identity.encode()
	if err := e.log.Replace(e.openedContent); err != nil {
		return err
	}
	return e.startModel(now)
}
