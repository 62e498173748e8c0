package replica

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/protofield"
	"pollenhill.example/core/state/rule"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=CommandKind,Verdict -linecomment -output=kind_string.go

// CommandKind is the kind of a Command. The numbers are part of the log format.
type CommandKind int

// Kinds of commands: change and edit replace the rule file and the routing table; claim, finish and release concern the claim
// of an idempotency key; join and leave concern a member of the control group; zone evacuates a zone or puts it back; end
// records the end of an instance of a back end; rollout orders that a service moves to another version, and advance changes the
// progress of that.
// CommandNone has no effect.
const (
	CommandNone             CommandKind = iota // none
	CommandChangeRules                         // change
	CommandClaim                               // claim
	CommandFinishClaim                         // finish
	CommandReleaseClaim                        // release
	CommandJoin                                // join
	CommandLeave                               // leave
	CommandChangeTable                         // edit
	CommandSetZoneEvacuated                    // zone
	CommandEndInstance                         // end
	CommandOrderRollout                        // rollout
	CommandAdvanceRollout                      // advance
)

// Command is one input of the state machine. Each kind uses only the fields listed for it.
type Command struct {
	Kind       CommandKind
	ProposedAt time.Time // by the clock of the proposing control process, in milliseconds

	// CommandChangeRules. CommandChangeTable uses Text and Origin too, CommandSetZoneEvacuated Origin.
	ChangeNumber uint64 // number on the change line
	Text         string // whole rule file; for CommandChangeTable the table or patch as JSON
	Origin       string // control process that proposed the change
	Reason       string // comment of the change line

	// CommandClaim, CommandFinishClaim, CommandReleaseClaim.
	Service        string
	IdempotencyKey string
	AttemptID      string
	Fingerprint    uint64   // CommandClaim only: hash of method, path and body of the request
	Response       Response // CommandFinishClaim only

	// CommandJoin; CommandLeave uses only the ID.
	Member Member

	// CommandChangeTable.
	BaseVersion uint64 // version of the table that the change is based on
	IsPatch     bool   // Text is a patch instead of a table
	RoundTimes  bool   // times are rounded to nanoseconds; without it they are cut off, as by the programs that wrote such commands

	// CommandSetZoneEvacuated.
	Evacuated   bool
	Zone        string
	Conditional bool   // has no effect unless KnownOrder is Replica.ZoneOrder of the zone
	KnownOrder  uint64 // newest order about the zone when this one was given

	// CommandEndInstance.
	Node        string // beside the back end
	InstanceID  string
	StartMillis int64 // instances with the ID and a start up to this one have ended, in Unix milliseconds

	// CommandOrderRollout uses Service, Conditional, KnownOrder (of the rollout of the service), State (completed if no other
	// version runs) and these two.
	Target string        // version that the service moves to
	Within time.Duration // for the whole move, in milliseconds

	// CommandAdvanceRollout uses Service, KnownOrder and these; it has no effect on another order than KnownOrder.
	Share    rule.Ratio // in millionths
	State    rule.RolloutState
	Replaced []string
}

// Response is the response to a claimed request, which resends of the request get.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Member describes one member of the control group.
type Member struct {
	ID      string // unique per data folder
	Name    string // of the control process
	Address string // host:port
	Region  string
}

// Encode returns the encoding of the command in the log.
func (c Command) Encode() []byte {
	var w protofield.Writer
	w.Uint(1, uint64(c.Kind))
	w.Int(2, toMillis(c.ProposedAt))
	w.Uint(3, c.ChangeNumber)
	w.String(4, c.Text)
	w.String(5, c.Origin)
	w.String(6, c.Reason)
	w.String(7, c.Service)
	w.String(8, c.IdempotencyKey)
	w.String(9, c.AttemptID)
	w.Uint(10, c.Fingerprint)
	w.Nested(11, c.Response.write)
	w.Nested(12, c.Member.write)
	w.Uint(13, c.BaseVersion)
	w.Uint(14, boolToUint(c.IsPatch))
	w.Uint(15, boolToUint(c.Evacuated))
	w.String(16, c.Zone)
	w.String(17, c.Node)
	w.String(18, c.InstanceID)
	w.Int(19, c.StartMillis)
	w.Uint(20, boolToUint(c.Conditional))
	w.Uint(21, c.KnownOrder)
	w.String(22, c.Target)
	w.Uint(23, uint64(c.Within.Milliseconds()))
	w.Uint(24, uint64(math.Round(float64(c.Share)*shareUnit)))
	w.Uint(25, uint64(c.State))
	for _, version := range c.Replaced {
		w.String(26, version)
	}
	w.Uint(27, boolToUint(c.RoundTimes))
	return w.Encoded()
}

// shareUnit is how many units of the encoding are the share 1.
const shareUnit = 1e6

func boolToUint(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// DecodeCommand decodes what Encode returns. Unknown fields are ignored.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	err := protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			c.Kind = CommandKind(f.Uint)
		case 2:
			c.ProposedAt = fromMillis(f.Int())
		case 3:
			c.ChangeNumber = f.Uint
		case 4:
			c.Text = f.Text()
		case 5:
			c.Origin = f.Text()
		case 6:
			c.Reason = f.Text()
		case 7:
			c.Service = f.Text()
		case 8:
			c.IdempotencyKey = f.Text()
		case 9:
			c.AttemptID = f.Text()
		case 10:
			c.Fingerprint = f.Uint
		case 11:
			return c.Response.parse(f.Bytes)
		case 12:
			return c.Member.parse(f.Bytes)
		case 13:
			c.BaseVersion = f.Uint
		case 14:
			c.IsPatch = f.Uint == 1
		case 15:
			c.Evacuated = f.Uint == 1
		case 16:
			c.Zone = f.Text()
		case 17:
			c.Node = f.Text()
		case 18:
			c.InstanceID = f.Text()
		case 19:
			c.StartMillis = f.Int()
		case 20:
			c.Conditional = f.Uint == 1
		case 21:
			c.KnownOrder = f.Uint
		case 22:
			c.Target = f.Text()
		case 23:
			c.Within = time.Duration(f.Uint) * time.Millisecond
		case 24:
			c.Share = rule.Ratio(f.Uint) / shareUnit
		case 25:
			c.State = rule.RolloutState(f.Uint)
		case 26:
			c.Replaced = append(c.Replaced, f.Text())
		case 27:
			c.RoundTimes = f.Uint == 1
		}
		return nil
	})
	return c, errors.Wrap(err, "decode command")
}

func (r Response) write(w *protofield.Writer) {
	w.Uint(1, uint64(r.Status))
	w.String(2, r.ContentType)
	w.Bytes(3, r.Body)
}

func (r *Response) parse(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			r.Status = int(f.Uint)
		case 2:
			r.ContentType = f.Text()
		case 3:
			r.Body = f.Clone()
		}
		return nil
	})
}

func (m Member) write(w *protofield.Writer) {
	w.String(1, m.ID)
	w.String(2, m.Name)
	w.String(3, m.Address)
	w.String(4, m.Region)
}

func (m *Member) parse(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			m.ID = f.Text()
		case 2:
			m.Name = f.Text()
		case 3:
			m.Address = f.Text()
		case 4:
			m.Region = f.Text()
		}
		return nil
	})
}

// toMillis returns t in Unix milliseconds. The zero time is 0, so that a command without a time does not change the state time.
func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// fromMillis is the inverse of toMillis.
func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}
