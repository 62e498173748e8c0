package rulefile

import (
	"time"
)

// Msg is a message to Model.Update.
type Msg interface{ msg() }

// FileContent is the result of one reading of the rule file.
type FileContent struct {
	Text    string
	Missing bool
	Error   string // reason why the file could not be read, or empty
}

// AcceptedRules holds rules that the control group accepted; messages arrive in the order of the numbers.
type AcceptedRules struct {
	Number        uint64 // change number
	Text          string
	EarlierHashes []uint64 // rule.Hash of texts accepted before, from the history of changes
}

// SubmitResult is the result of a Submit command.
type SubmitResult struct {
	ID      uint64 // of the Submit command
	Verdict Verdict
	Err     error // set if no verdict is known; the same change is then submitted again
}

func (FileContent) msg()   {}
func (AcceptedRules) msg() {}
func (SubmitResult) msg()  {}

// Cmd is a command returned by Model.Update.
type Cmd interface{ cmd() }

// ScheduleRead is the command to read the file again at a time.
type ScheduleRead struct{ At time.Time }

// Submit is the command to submit a change to the control group; it cancels a Submit that still runs.
type Submit struct {
	ID     uint64
	Number uint64 // change number
	Text   string
}

// WriteAnswer is the command to replace the answer file.
type WriteAnswer struct{ Text string }

// Rewrite is the command to replace the content of the rule file if it still is Expect.
type Rewrite struct {
	Expect string
	Text   string
}

func (ScheduleRead) cmd() {}
func (Submit) cmd()       {}
func (WriteAnswer) cmd()  {}
func (Rewrite) cmd()      {}
