package rulefile

import (
	"time"
)

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// FileContent reports one reading of the rule file.
type FileContent struct {
	Text    string
	Missing bool
	Error   string // why the file could not be read
}

// AcceptedRules reports rules that the control group accepted, in the order of their numbers.
type AcceptedRules struct {
	Number        uint64
	Text          string
	EarlierHashes []uint64 // rule.Hash of texts accepted before, known after a restart
}

// SubmitResult reports the end of a Submit command.
type SubmitResult struct {
	ID      uint64
	Verdict Verdict
	Err     error // no decision is known; the same change is submitted again
}

func (FileContent) msg()   {}
func (AcceptedRules) msg() {}
func (SubmitResult) msg()  {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// ScheduleRead asks for another reading of the file at a time.
type ScheduleRead struct{ At time.Time }

// Submit asks the control group for a verdict; it replaces a Submit that has not ended.
type Submit struct {
	ID     uint64
	Number uint64
	Text   string
}

// WriteAnswer asks to write the answer file.
type WriteAnswer struct{ Text string }

// Rewrite asks to replace the content of the rule file if it still is Expect.
type Rewrite struct {
	Expect string
	Text   string
}

func (ScheduleRead) cmd() {}
func (Submit) cmd()       {}
func (WriteAnswer) cmd()  {}
func (Rewrite) cmd()      {}
