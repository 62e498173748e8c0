package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/coordination/upload"
	"pollenhill.example/node/protocol/message"
)

// bodyTickInterval is the time between two ticks of the model while requests wait to send their bodies.
const bodyTickInterval = 20 * time.Millisecond

// bodyGate carries out the decisions of an upload.Model; it is safe for concurrent use.
type bodyGate struct {
	refused atomic.Int64 // requests refused before their bodies

	mu      sync.Mutex // guards the fields below
	model   *upload.Model
	waiting map[upload.ID]*bodyTicket
	lastID  upload.ID
	ticking bool
}

func newBodyGate() *bodyGate {
	return &bodyGate{model: upload.New(), waiting: map[upload.ID]*bodyTicket{}}
}

// bodyTicket is the place of one request in a bodyGate; it implements httpserver.BodyTicket.
type bodyTicket struct {
	gate    *bodyGate
	id      upload.ID
	decided chan struct{}
	reason  refusal.Reason // set before decided is closed
}

func (t *bodyTicket) Decided() <-chan struct{} { return t.decided }
func (t *bodyTicket) Reason() refusal.Reason   { return t.reason }
func (t *bodyTicket) Received(n int)           { t.gate.update(upload.Received{ID: t.id, Bytes: n}) }
func (t *bodyTicket) End()                     { t.gate.update(upload.End{ID: t.id}) }

// refuse returns the ticket of a request that is refused at once.
func (g *bodyGate) refuse(reason refusal.Reason) *bodyTicket {
	g.refused.Add(1)
	t := &bodyTicket{gate: g, decided: make(chan struct{}), reason: reason}
	close(t.decided)
	return t
}

// ask returns the ticket of a request with a body of the given length.
func (g *bodyGate) ask(a message.Attempt, length int) *bodyTicket {
	g.mu.Lock()
	g.lastID++
	t := &bodyTicket{gate: g, id: g.lastID, decided: make(chan struct{})}
	g.waiting[t.id] = t
	g.mu.Unlock()
	g.update(upload.Ask{ID: t.id, Length: length, Deadline: a.Deadline, Movable: a.Movable})
	return t
}

func (g *bodyGate) update(msg upload.Msg) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, cmd := range g.model.Update(time.Now(), msg) {
		switch cmd := cmd.(type) {
		case upload.Admit:
			g.decide(cmd.ID, refusal.None)
		case upload.Refuse:
			g.refused.Add(1)
			g.decide(cmd.ID, cmd.Reason)
		}
	}
	if end, ok := msg.(upload.End); ok {
		delete(g.waiting, end.ID)
	}
	if !g.ticking && g.model.Waiting() > 0 {
		g.ticking = true
		time.AfterFunc(bodyTickInterval, g.tick)
	}
}

func (g *bodyGate) tick() {
	g.mu.Lock()
	g.ticking = false
	g.mu.Unlock()
	g.update(upload.Tick{})
}

// decide tells a request the decision; the caller holds mu.
func (g *bodyGate) decide(id upload.ID, reason refusal.Reason) {
	if t, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		t.reason = reason
		close(t.decided)
	}
}

// counts returns the requests that wait to send their bodies and the bodies that arrive.
func (g *bodyGate) counts() (waiting, receiving int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.model.Waiting(), g.model.Receiving()
}
