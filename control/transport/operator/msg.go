package operator

import (
	"time"
)

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Observed reports one reading of the rule file.
type Observed struct {
	Text    string
	Missing bool
	Error   string // why the file could not be read
}

// Accepted reports rules that the control group accepted, in the order of their numbers.
type Accepted struct {
	Number  uint64
	Text    string
	Earlier []uint64 // rule.Hash of texts accepted before, known after a restart
}

// Answered reports the end of a Submit command.
type Answered struct {
	ID      uint64
	Verdict Verdict
	Err     error // no decision is known; the same change is submitted again
}

func (Observed) msg() {}
func (Accepted) msg() {}
func (Answered) msg() {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Wake asks for another reading of the file at a time.
type Wake struct{ At time.Time }

// Submit asks the control group for a verdict; it replaces a Submit that has not ended.
type Submit struct {
	ID     uint64
	Number uint64
	Text   string
}

// Answer asks to write the answer file.
type Answer struct{ Text string }

// Rewrite asks to replace the content of the rule file if it still is Expect.
type Rewrite struct {
	Expect string
	Text   string
}

func (Wake) cmd()    {}
func (Submit) cmd()  {}
func (Answer) cmd()  {}
func (Rewrite) cmd() {}
