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

// Tick checks the timers.
type Tick struct{}

// Receive delivers a message that another member passed to its Send function.
type Receive struct{ Message []byte }

// Propose asks for a command to be committed. Its Outcome has the same token.
type Propose struct {
	Token   uint64 // chosen by the caller, unique in this process
	Command replica.Command
}

// Read asks for a linearizable read. The replica may be read once its Outcome arrives without error.
type Read struct{ Token uint64 }

func (Tick) input()    {}
func (Receive) input() {}
func (Propose) input() {}
func (Read) input()    {}

// Outcome is the result of a Propose or a Read.
type Outcome struct {
	Token  uint64
	Result replica.Result
	Err    error
}

// Step handles a batch of inputs, which share syncs of the log, and returns the outcomes that became known. After a disk or
// log error the member stops and Err returns the error.
func (e *Engine) Step(now time.Time, inputs ...Input) []Outcome {
	e.outcomes = nil
	if e.err == nil {
		e.err = e.runStep(now, inputs)
	}
	e.sendOutbox()
	return e.outcomes
}

func (e *Engine) runStep(now time.Time, inputs []Input) error {
	cmds, err := e.handleInputs(now, inputs)
	for err == nil && len(cmds) > 0 {
		cmds, err = e.runCmds(now, cmds)
		if err == nil && len(cmds) == 0 {
			cmds = e.takeSnapshotIfDue(now)
		}
	}
	if e.loggedRules > 0 && e.View(now).Current {
		e.loggedRules = 0
	}
	return err
}

// handleInputs passes the inputs to the model: all proposals together and all reads together.
func (e *Engine) handleInputs(now time.Time, inputs []Input) ([]raft.Cmd, error) {
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
				e.addOutcome(in.Token, replica.Result{}, &NotLeaderError{})
				continue
			}
			if in.Command.Kind == replica.CommandJoin || in.Command.Kind == replica.CommandLeave {
				cmds = append(cmds, e.changeMembership(now, in.Token, in.Command)...)
				continue
			}
			proposals = append(proposals, raft.Proposal{Token: e.tokenOffset + in.Token, Data: in.Command.Encode()})
		case Read:
			if e.model == nil {
				e.addOutcome(in.Token, replica.Result{}, &NotLeaderError{})
				continue
			}
			reads = append(reads, e.tokenOffset+in.Token)
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
	if e.bootstrap != nil {
		e.sendHellos(now)
	}
	if e.model == nil {
		return nil
	}
	e.requestJoin(now)
	return append(e.model.Update(now, raft.Tick{}), e.removeReplacedVoter(now)...)
}

func (e *Engine) receive(now time.Time, raw []byte) ([]raft.Cmd, error) {
	msg, err := decodeEnvelope(raw)
	switch {
	case err != nil: // treat a corrupted message as lost
	case msg.hello != nil:
		return nil, e.onHello(now, msg.hello)
	case e.model == nil:
		return nil, nil
	case msg.join != nil:
		return e.onJoin(now, *msg.join, msg.forwarded), nil
	case msg.removedID != "":
		return nil, e.onRemoved(now, msg.removedID)
	case msg.raft != nil && e.notifyIfRemoved(msg.raft.From):
	case msg.raft != nil:
		return e.model.Update(now, raft.Receive{Message: *msg.raft}), nil
	}
	return nil, nil
}

// runCmds carries out effects: it sends all messages, then writes all saves at once, then runs the other effects. It returns
// the effects that follow once the writes are durable.
func (e *Engine) runCmds(now time.Time, cmds []raft.Cmd) ([]raft.Cmd, error) {
	for _, c := range cmds {
		if c, ok := c.(raft.Send); ok {
			e.enqueue(ProcessName(c.Message.To), envelope{raft: &c.Message})
		}
	}
	e.sendOutbox()
	sequence, err := e.persistWrites(cmds)
	if err != nil {
		return nil, err
	}
	for _, c := range cmds {
		if err := e.runCmd(c); err != nil {
			return nil, err
		}
	}
	e.finishReads()
	if sequence == 0 {
		return nil, nil
	}
	return e.model.Update(now, raft.Persisted{Sequence: sequence}), nil
}

// persistWrites writes all saves in one batch and returns the sequence number of the last write, or 0 if there was none. A
// Rewrite includes everything saved before it.
func (e *Engine) persistWrites(cmds []raft.Cmd) (uint64, error) {
	var batch raft.Save
	for _, c := range cmds {
		switch c := c.(type) {
		case raft.Save:
			batch.Sequence = c.Sequence
			batch.State = c.State
			batch.Entries = append(batch.Entries, c.Entries...)
		case raft.Rewrite:
			batch = raft.Save{Sequence: c.Sequence, State: c.State}
			err := e.log.Replace(wal.Content{Identity: e.openedContent.Identity, HardState: c.State, Snapshot: c.Snapshot, Entries: c.Entries})
			if err != nil {
				return 0, err
			}
		}
	}
	if batch.Sequence == 0 || lastWriteIs[raft.Rewrite](cmds) {
		return batch.Sequence, nil
	}
	return batch.Sequence, e.log.Append(batch.State, batch.Entries)
}

// lastWriteIs reports whether the last Save or Rewrite among the effects is of type T.
func lastWriteIs[T raft.Cmd](cmds []raft.Cmd) bool {
	matches := false
	for _, c := range cmds {
		switch c.(type) {
		case raft.Save, raft.Rewrite:
			_, matches = c.(T)
		}
	}
	return matches
}

func (e *Engine) runCmd(c raft.Cmd) error {
	switch c := c.(type) {
	case raft.Restore:
		return e.installSnapshot(c.Snapshot)
	case raft.Apply:
		return e.applyEntries(c.Entries)
	case raft.Proposed:
		r := pendingRequest{token: c.Token, index: c.Index, term: c.Term}
		e.pendingProposals[c.Index] = append(e.pendingProposals[c.Index], r)
	case raft.ReadReady:
		e.pendingReads = append(e.pendingReads, pendingRequest{token: c.Token, index: c.Index})
	case raft.Rejected:
		e.rejectRequest(c)
	case raft.Halt:
		return errors.Newf("member %s: %s", e.identity.id, c.Problem)
	}
	return nil
}

func (e *Engine) rejectRequest(c raft.Rejected) {
	var err error
	switch c.Reason {
	case raft.NotLeader:
		err = &NotLeaderError{Leader: ProcessName(e.model.View(time.Time{}).Leader)}
	case raft.Busy:
		err = ErrBusy
	default:
		err = ErrInvalidMembershipChange
	}
	e.addOutcome(c.Token-e.tokenOffset, replica.Result{}, err)
}

func (e *Engine) addOutcome(token uint64, res replica.Result, err error) {
	e.outcomes = append(e.outcomes, Outcome{token, res, err})
}

// enqueue adds a message to the outbox, which sendOutbox sends with one call of Send per receiver.
func (e *Engine) enqueue(to string, msg envelope) {
	raw := msg.encode()
	for i := range e.outbox {
		if e.outbox[i].to == to {
			e.outbox[i].messages = append(e.outbox[i].messages, raw)
			return
		}
	}
	e.outbox = append(e.outbox, outgoingBatch{to, [][]byte{raw}})
}

func (e *Engine) sendOutbox() {
	list := e.outbox
	e.outbox = nil
	for _, o := range list {
		e.cfg.Send(o.to, o.messages)
	}
}
