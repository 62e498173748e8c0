package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/protofield"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=CommandKind,Verdict -linecomment -output=kind_string.go

// CommandKind is the kind of a Command; the numbers are part of the log format.
type CommandKind int

// Kinds of commands.
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
)

// Command is one input of the state machine; each kind uses only its own fields.
type Command struct {
	Kind       CommandKind
	ProposedAt time.Time // clock of the proposing control process, millisecond precision

	ChangeNumber uint64 // Change: number on the change line
	Text         string // Change: whole rule file
	Origin       string // Change: control process whose file carried the change
	Reason       string // Change: comment of the change line

	Service        string   // Claim, Finish, Release
	IdempotencyKey string   // Claim, Finish, Release
	AttemptID      string   // Claim, Finish, Release
	Fingerprint    uint64   // Claim: hash of method, path and body
	Response       Response // Finish

	Member Member // Join; Leave uses only the ID

	BaseVersion uint64 // Edit: version that the change builds on; its text is a table, or a patch if Patch is set
	IsPatch     bool   // Edit
	Evacuated   bool   // Zone: take the zone of that Name out
	Zone        string // Zone
}

// Response is the first answer of a claimed request.
type Response struct {
	Status      int
	ContentType string // Content-Type
	Body        []byte
}

// Member is one member of the control group.
type Member struct {
	ID      string // unique per data folder
	Name    string
	Address string // host:port
	Region  string
}

// Encode returns the bytes of the command for the log.
func (c Command) Encode() []byte {
	var w protofield.Writer
	w.Uint(1, uint64(c.Kind))
	w.Int(2, millis(c.ProposedAt))
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
	w.Uint(14, flag(c.IsPatch))
	w.Uint(15, flag(c.Evacuated))
	w.String(16, c.Zone)
	return w.Encoded()
}

func flag(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// DecodeCommand reads bytes written by Encode.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	err := protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			c.Kind = CommandKind(f.Uint)
		case 2:
			c.ProposedAt = instant(f.Int())
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
			return c.Response.read(f.Bytes)
		case 12:
			return c.Member.read(f.Bytes)
		case 13:
			c.BaseVersion = f.Uint
		case 14:
			c.IsPatch = f.Uint == 1
		case 15:
			c.Evacuated = f.Uint == 1
		case 16:
			c.Zone = f.Text()
		}
		return nil
	})
	return c, errors.Wrap(err, "decode command")
}

func (a Response) write(w *protofield.Writer) {
	w.Uint(1, uint64(a.Status))
	w.String(2, a.ContentType)
	w.Bytes(3, a.Body)
}

func (a *Response) read(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			a.Status = int(f.Uint)
		case 2:
			a.ContentType = f.Text()
		case 3:
			a.Body = f.Clone()
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

func (m *Member) read(b []byte) error {
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

// millis and instant keep the zero time as 0, so that commands without a time do not move the clock.
func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func instant(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}
