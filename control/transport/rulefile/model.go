package rulefile

import (
	"strings"
	"time"

	"pollenhill.example/core/state/rule"
)

// maxKnownHashes is the number of hashes of accepted texts that a Model keeps in a few megabytes: those of two weeks at
// the target of 14,000 changes a day.
const maxKnownHashes = 200_000

// Delays holds the delays of a Model; zero values mean the defaults.
type Delays struct {
	Debounce           time.Duration // a text is processed once it has not changed for this long
	IncompleteDebounce time.Duration // Debounce of a text without a final newline, which may be partly written
	RetryDelay         time.Duration // before a submission without a verdict is repeated
}

// Default delays. Editors finish a save within a few milliseconds; copies over a slow link take longer and mostly
// stall in the middle of a line.
const (
	DefaultDebounce           = 300 * time.Millisecond
	DefaultIncompleteDebounce = 3 * time.Second
	DefaultRetryDelay         = 500 * time.Millisecond
)

func (d Delays) withDefaults() Delays {
	if d.Debounce == 0 {
		d.Debounce = DefaultDebounce
	}
	if d.IncompleteDebounce == 0 {
		d.IncompleteDebounce = max(DefaultIncompleteDebounce, d.Debounce)
	}
	if d.RetryDelay == 0 {
		d.RetryDelay = DefaultRetryDelay
	}
	return d
}

// submission is an edit that was submitted to the control group.
type submission struct {
	id      uint64
	rules   *rule.Set // parsed from text
	text    string
	base    AcceptedRules // rules in force when it was submitted
	retryAt time.Time     // zero while the submission runs
}

// rejectedEdit is an edit that was rejected because another edit was accepted under its change number.
type rejectedEdit struct {
	edit    *submission
	verdict Verdict
}

// Model decides when to submit, answer and rewrite the rule file of one control process. It reads no clock and does no
// I/O, and is not safe for concurrent use.
type Model struct {
	delays Delays

	current     AcceptedRules   // rules in force
	knownHashes map[uint64]bool // hashes of accepted texts
	hashOrder   []uint64        // keys of knownHashes, oldest first
	file        FileContent     // last reading of the rule file
	hasRead     bool            // file is valid
	fileSince   time.Time       // first reading of file
	handled     bool            // file has been stable for the debounce delay and was processed
	lastID      uint64          // ID of the last submission
	pending     *submission     // without a verdict; nil if there is none
	rejected    *rejectedEdit   // set while the file holds a rejected edit
	lastAnswer  string
	updatedTo   uint64 // number of the rules that the file was rewritten to, 0 after any other answer
}

// NewModel returns a Model that knows neither the file nor any rules.
func NewModel(delays Delays) *Model {
	return &Model{delays: delays.withDefaults(), knownHashes: map[uint64]bool{}}
}

// Update processes one message and returns the commands to carry out.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case FileContent:
		return m.handleContent(now, msg)
	case AcceptedRules:
		return m.handleAccepted(msg)
	case SubmitResult:
		return m.handleSubmitResult(now, msg)
	}
	return nil
}

func (m *Model) handleContent(now time.Time, file FileContent) []Cmd {
	if !m.hasRead || file != m.file {
		m.file, m.hasRead, m.fileSince, m.handled = file, true, now, false
		m.pending, m.rejected = nil, nil
	}
	if due := m.fileSince.Add(m.debounce()); !m.handled && now.Before(due) {
		return []Cmd{ScheduleRead{At: due}}
	}
	if !m.handled {
		m.handled = true
		return m.handleSettled()
	}
	if m.isStale() {
		return m.replaceStale() // the last Rewrite failed
	}
	return m.retrySubmission(now)
}

// isStale reports whether the file holds rules that were accepted but are no longer in force.
func (m *Model) isStale() bool {
	if m.file.Missing || m.file.Error != "" || m.file.Text == m.current.Text {
		return false
	}
	return m.current.Number > 0 && m.knownHashes[rule.Hash(m.file.Text)]
}

// debounce returns how long the file must not change before its content is processed.
func (m *Model) debounce() time.Duration {
	if m.file.Text != "" && !strings.HasSuffix(m.file.Text, "\n") {
		return m.delays.IncompleteDebounce
	}
	return m.delays.Debounce
}

// retrySubmission repeats a submission that failed without a verdict once its delay has passed. This is safe because the
// same number and text always get the same verdict.
func (m *Model) retrySubmission(now time.Time) []Cmd {
	if m.pending == nil || m.pending.retryAt.IsZero() {
		return nil
	}
	if now.Before(m.pending.retryAt) {
		return []Cmd{ScheduleRead{At: m.pending.retryAt}}
	}
	m.pending.retryAt = time.Time{}
	return m.submit()
}

// handleSettled processes a content of the file that has been stable for the debounce delay.
func (m *Model) handleSettled() []Cmd {
	text := m.file.Text
	switch {
	case m.file.Error != "":
		return m.writeAnswer(unreadableAnswer(m.file.Error, m.current))
	case m.file.Missing:
		return m.writeAnswer(missingAnswer(m.current))
	case m.current.Number > 0 && text == m.current.Text && m.updatedTo == m.current.Number:
		return nil // the answer about the rewrite is more detailed
	case m.current.Number > 0 && text == m.current.Text:
		return m.writeAnswer(inForceAnswer(m.current))
	case m.isStale():
		return m.replaceStale()
	}
	rules, err := rule.Parse(text)
	if err != nil {
		return m.writeAnswer(problemsAnswer(err, m.current))
	}
	m.pending = &submission{rules: rules, text: text, base: m.current}
	return m.submit()
}

// submit submits the pending edit under a new ID, so that results of earlier submissions are ignored.
func (m *Model) submit() []Cmd {
	m.lastID++
	m.pending.id = m.lastID
	return []Cmd{Submit{ID: m.lastID, Number: m.pending.rules.ChangeNumber, Text: m.pending.text}}
}

// replaceStale replaces an accepted text that is no longer in force by the rules in force.
func (m *Model) replaceStale() []Cmd {
	cmds := m.writeAnswer(updatedAnswer(m.file.Text, m.current))
	m.updatedTo = m.current.Number
	return append(cmds, Rewrite{Expect: m.file.Text, Text: m.current.Text})
}

// writeAnswer writes the answer unless it is the same as the last one.
func (m *Model) writeAnswer(text string) []Cmd {
	m.updatedTo = 0
	if text == m.lastAnswer {
		return nil
	}
	m.lastAnswer = text
	return []Cmd{WriteAnswer{Text: text}}
}

// rememberHash adds the hash of an accepted text and drops the oldest one beyond maxKnownHashes.
func (m *Model) rememberHash(hash uint64) {
	if m.knownHashes[hash] {
		return
	}
	m.knownHashes[hash] = true
	m.hashOrder = append(m.hashOrder, hash)
	if len(m.hashOrder) > maxKnownHashes {
		delete(m.knownHashes, m.hashOrder[0])
		m.hashOrder = m.hashOrder[1:]
	}
}

func (m *Model) handleAccepted(rules AcceptedRules) []Cmd {
	for _, hash := range rules.EarlierHashes {
		m.rememberHash(hash)
	}
	m.rememberHash(rule.Hash(rules.Text))
	if rules.Number <= m.current.Number {
		return nil
	}
	m.current = AcceptedRules{Number: rules.Number, Text: rules.Text}
	switch {
	case !m.handled || m.file.Missing || m.file.Error != "":
		return nil
	case m.file.Text == rules.Text && m.pending != nil:
		return m.applyVerdict(Verdict{Kind: VerdictAccepted})
	case m.file.Text == rules.Text:
		return m.writeAnswer(inForceAnswer(m.current))
	case m.isStale():
		m.pending = nil
		return m.replaceStale()
	case m.rejected != nil:
		return m.answerRejection()
	}
	return nil
}

// answerRejection answers a rejected edit. It is called again for newer rules, because the operator has to merge the edit
// into those.
func (m *Model) answerRejection() []Cmd {
	v := &m.rejected.verdict
	if v.Text == "" && v.Number == m.current.Number {
		v.Text = m.current.Text
	}
	return m.writeAnswer(rejectedAnswer(m.rejected.edit, *v, m.current))
}

func (m *Model) handleSubmitResult(now time.Time, msg SubmitResult) []Cmd {
	if m.pending == nil || msg.ID != m.pending.id {
		return nil
	}
	if msg.Err != nil {
		m.pending.retryAt = now.Add(m.delays.RetryDelay)
		return append(m.writeAnswer(waitingAnswer(m.pending, msg.Err)), ScheduleRead{At: m.pending.retryAt})
	}
	return m.applyVerdict(msg.Verdict)
}

// applyVerdict ends the pending submission with a verdict and answers it.
func (m *Model) applyVerdict(v Verdict) []Cmd {
	s := m.pending
	m.pending = nil
	switch v.Kind {
	case VerdictAccepted:
		m.rememberHash(rule.Hash(s.text))
		if s.rules.ChangeNumber < m.current.Number {
			return m.replaceStale()
		}
		m.current = AcceptedRules{Number: s.rules.ChangeNumber, Text: s.text}
		return m.writeAnswer(acceptedAnswer(s))
	case VerdictRejected:
		m.rejected = &rejectedEdit{edit: s, verdict: v}
		return m.answerRejection()
	case VerdictInvalid:
		return m.writeAnswer(invalidAnswer(s, v))
	default:
		return m.writeAnswer(outOfOrderAnswer(s, v))
	}
}
