package consensus

import (
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/wal"
)

// Input is an input of Step.
type Input interface{ input() }

// Tick lets time pass.
type Tick struct{}

// Receive delivers a message that another member passed to Send.
type Receive struct{ Message []byte }

// Propose asks for a command; its Outcome has the same token.
type Propose struct {
	Token   uint64 // unique in this process
	Command replica.Command
}

// Read asks for a linearizable read; its Outcome comes when the replica may be read.
type Read struct{ Token uint64 }

func (Tick) input()    {}
func (Receive) input() {}
func (Propose) input() {}
func (Read) input()    {}

// Outcome answers a Propose or a Read.
type Outcome struct {
	Token  uint64
	Result replica.Result
	Err    error
}

// Step handles inputs with one sync of the log and returns the outcomes that became known. After an error of
// the disk or the log the member does nothing more; Err tells why.
func (e *Engine) Step(now time.Time, inputs ...Input) []Outcome {
	e.outcomes = nil
	if e.err == nil {
		e.err = e.step(now, inputs)
	}
	e.flush()
	return e.outcomes
}

func (e *Engine) step(now time.Time, inputs []Input) error {
	cmds, err := e.handle(now, inputs)
	for err == nil && len(cmds) > 0 {
		cmds, err = e.run(now, cmds)
		if err == nil && len(cmds) == 0 {
			cmds = e.compact(now)
		}
	}
	return err
}

// handle passes the inputs to the model, with all proposals and reads as one message each.
func (e *Engine) handle(now time.Time, inputs []Input) ([]raft.Cmd, error) {
	var cmds []raft.Cmd
	var proposals []raft.Proposal
	var reads []uint64
	for _, in := range inputs {
		switch in := in.(type) {
		case Tick:
			cmds = append(cmds, e.tick(now)...)
		case Receive:
			more, err := e.receive(now, in.Message)
			if err != nil {
				return nil, err
			}
			cmds = append(cmds, more...)
		case Propose:
			if e.model == nil {
				e.done(in.Token, replica.Result{}, &NotLeaderError{})
				continue
			}
			if in.Command.Kind == replica.Join || in.Command.Kind == replica.Leave {
				cmds = append(cmds, e.alter(now, in.Token, in.Command)...)
				continue
			}
			proposals = append(proposals, raft.Proposal{Token: e.salt + in.Token, Data: in.Command.Encode()})
		case Read:
			if e.model == nil {
				e.done(in.Token, replica.Result{}, &NotLeaderError{})
				continue
			}
			reads = append(reads, e.salt+in.Token)
		}
	}
	if len(proposals) > 0 {
		cmds = append(cmds, e.model.Update(now, raft.Propose{Proposals: proposals})...)
	}
	if len(reads) > 0 {
		cmds = append(cmds, e.model.Update(now, raft.Read{Tokens: reads})...)
	}
	return cmds, nil
}

func (e *Engine) tick(now time.Time) []raft.Cmd {
	if e.founding != nil {
		e.tickFounding(now)
	}
	if e.model == nil {
		return nil
	}
	e.tickJoin(now)
	return append(e.model.Update(now, raft.Tick{}), e.retire(now)...)
}

func (e *Engine) receive(now time.Time, raw []byte) ([]raft.Cmd, error) {
	msg, err := decodeEnvelope(raw)
	switch {
	case err != nil: // a damaged message is like a lost one
	case msg.hello != nil:
		return nil, e.onHello(now, msg.hello)
	case e.model == nil:
		return nil, nil
	case msg.join != nil:
		return e.onJoin(now, *msg.join, msg.relayed), nil
	case msg.left != "":
		return nil, e.onLeft(now, msg.left)
	case msg.raft != nil && e.tell(msg.raft.From):
	case msg.raft != nil:
		return e.model.Update(now, raft.Receive{Message: *msg.raft}), nil
	}
	return nil, nil
}

// run carries out effects: messages first, then one write for all saves, then what the model makes of it.
func (e *Engine) run(now time.Time, cmds []raft.Cmd) ([]raft.Cmd, error) {
	for _, c := range cmds {
		if c, ok := c.(raft.Send); ok {
			e.post(ProcessName(c.Message.To), envelope{raft: &c.Message})
		}
	}
	e.flush()
	sequence, err := e.persist(cmds)
	if err != nil {
		return nil, err
	}
	for _, c := range cmds {
		if err := e.effect(c); err != nil {
			return nil, err
		}
	}
	e.finishReads()
	if sequence == 0 {
		return nil, nil
	}
	return e.model.Update(now, raft.Persisted{Sequence: sequence}), nil
}

// persist writes all saves in one batch. A rewrite holds everything saved before it.
func (e *Engine) persist(cmds []raft.Cmd) (uint64, error) {
	var batch raft.Save
	for _, c := range cmds {
		switch c := c.(type) {
		case raft.Save:
			batch.Sequence = c.Sequence
			batch.State = c.State
			batch.Entries = append(batch.Entries, c.Entries...)
		case raft.Rewrite:
			batch = raft.Save{Sequence: c.Sequence, State: c.State}
			err := e.log.Reset(wal.Content{Meta: e.content.Meta, State: c.State, Snapshot: c.Snapshot, Entries: c.Entries})
			if err != nil {
				return 0, err
			}
		}
	}
	if batch.Sequence == 0 || last[raft.Rewrite](cmds) {
		return batch.Sequence, nil
	}
	return batch.Sequence, e.log.Append(batch.State, batch.Entries)
}

// last returns whether the last effect that writes is of type T.
func last[T raft.Cmd](cmds []raft.Cmd) bool {
	is := false
	for _, c := range cmds {
		switch c.(type) {
		case raft.Save, raft.Rewrite:
			_, is = c.(T)
		}
	}
	return is
}

func (e *Engine) effect(c raft.Cmd) error {
	switch c := c.(type) {
	case raft.Restore:
		return e.install(c.Snapshot)
	case raft.Apply:
		return e.apply(c.Entries)
	case raft.Proposed:
		e.waiting[c.Index] = append(e.waiting[c.Index], waiter{token: c.Token, index: c.Index, term: c.Term})
	case raft.ReadReady:
		e.reads = append(e.reads, waiter{token: c.Token, index: c.Index})
	case raft.Rejected:
		e.reject(c)
	case raft.Halt:
		return errors.Newf("member %s: %s", e.identity.id, c.Problem)
	}
	return nil
}

func (e *Engine) reject(c raft.Rejected) {
	var err error
	switch c.Reason {
	case raft.NotLeader:
		err = &NotLeaderError{Leader: ProcessName(e.model.View(time.Time{}).Leader)}
	case raft.Busy:
		err = ErrBusy
	default:
		err = ErrInvalidMembershipChange
	}
	e.done(c.Token-e.salt, replica.Result{}, err)
}

func (e *Engine) done(token uint64, res replica.Result, err error) {
	e.outcomes = append(e.outcomes, Outcome{token, res, err})
}

// post puts a message into the outbox; flush passes on all messages to one member together.
func (e *Engine) post(to string, msg envelope) {
	raw := msg.encode()
	for i := range e.outbox {
		if e.outbox[i].to == to {
			e.outbox[i].messages = append(e.outbox[i].messages, raw)
			return
		}
	}
	e.outbox = append(e.outbox, outgoing{to, [][]byte{raw}})
}

func (e *Engine) flush() {
	list := e.outbox
	e.outbox = nil
	for _, o := range list {
		e.cfg.Send(o.to, o.messages)
	}
}
