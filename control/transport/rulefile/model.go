package rulefile

import (
	"strings"
	"time"

	"pollenhill.example/core/state/rule"
)

// maxKnown bounds the hashes of accepted texts: two weeks at the target of 14,000 changes a day, in a few megabytes.
const maxKnown = 200_000

// Delays are the delays of a Model; zero values mean the defaults.
type Delays struct {
	Debounce           time.Duration // a text counts once it has not changed for this long
	IncompleteDebounce time.Duration // the same for a text without final newline, which may still be being written
	RetryDelay         time.Duration // pause before a submission without verdict is repeated
}

// Default delays. Editors finish a save within a few milliseconds; copies over a slow link take longer and
// mostly stop in the middle of a line.
const (
	DefaultDebounce           = 300 * time.Millisecond
	DefaultIncompleteDebounce = 3 * time.Second
	DefaultRetryDelay         = 500 * time.Millisecond
)

func (t Delays) defaults() Delays {
	if t.Debounce == 0 {
		t.Debounce = DefaultDebounce
	}
	if t.IncompleteDebounce == 0 {
		t.IncompleteDebounce = max(DefaultIncompleteDebounce, t.Debounce)
	}
	if t.RetryDelay == 0 {
		t.RetryDelay = DefaultRetryDelay
	}
	return t
}

// pending is a submission without final verdict.
type pending struct {
	id     uint64
	set    *rule.Set
	text   string
	base   AcceptedRules // rules in force when it was submitted
	repeat time.Time     // zero while the submission runs
}

// rejected is an edit whose number went to another one.
type rejected struct {
	edit    *pending
	verdict Verdict
}

// Model decides what happens to the rule file of one control process. It is not safe for concurrent use.
type Model struct {
	times Delays

	force  AcceptedRules
	known  map[uint64]bool // hashes of accepted texts
	order  []uint64        // the same, oldest first
	seen   FileContent
	read   bool      // seen is valid
	since  time.Time // first reading of seen
	done   bool      // seen has settled and was handled
	sent   uint64    // ID of the last submission
	wait   *pending
	lost   *rejected // what the file holds, if it was rejected
	answer string
	moved  uint64 // number to which the file was brought up to date, if nothing was answered since
}

// NewModel returns a Model that has seen nothing yet.
func NewModel(times Delays) *Model {
	return &Model{times: times.defaults(), known: map[uint64]bool{}}
}

// Update takes one message and returns the effects that it asks for.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case FileContent:
		return m.observed(now, msg)
	case AcceptedRules:
		return m.accepted(msg)
	case SubmitResult:
		return m.answered(now, msg)
	}
	return nil
}

func (m *Model) observed(now time.Time, file FileContent) []Cmd {
	if !m.read || file != m.seen {
		m.seen, m.read, m.since, m.done = file, true, now, false
		m.wait, m.lost = nil, nil
	}
	if due := m.since.Add(m.settle()); !m.done && now.Before(due) {
		return []Cmd{ScheduleRead{At: due}}
	}
	if !m.done {
		m.done = true
		return m.handle()
	}
	if m.stale() {
		return m.update() // the last Rewrite failed
	}
	return m.repeat(now)
}

// stale reports whether the file holds accepted rules that are no longer in force.
func (m *Model) stale() bool {
	if m.seen.Missing || m.seen.Error != "" || m.seen.Text == m.force.Text {
		return false
	}
	return m.force.Number > 0 && m.known[rule.Hash(m.seen.Text)]
}

func (m *Model) settle() time.Duration {
	if m.seen.Text != "" && !strings.HasSuffix(m.seen.Text, "\n") {
		return m.times.IncompleteDebounce
	}
	return m.times.Debounce
}

// repeat submits again what has no verdict yet: the same number and the same bytes get the same verdict.
func (m *Model) repeat(now time.Time) []Cmd {
	if m.wait == nil || m.wait.repeat.IsZero() {
		return nil
	}
	if now.Before(m.wait.repeat) {
		return []Cmd{ScheduleRead{At: m.wait.repeat}}
	}
	m.wait.repeat = time.Time{}
	return m.submit()
}

// handle decides about a text that has settled.
func (m *Model) handle() []Cmd {
	text := m.seen.Text
	switch {
	case m.seen.Error != "":
		return m.say(unreadable(m.seen.Error, m.force))
	case m.seen.Missing:
		return m.say(missing(m.force))
	case m.force.Number > 0 && text == m.force.Text && m.moved == m.force.Number:
		return nil // the answer about the update says more
	case m.force.Number > 0 && text == m.force.Text:
		return m.say(inForce(m.force))
	case m.stale():
		return m.update()
	}
	set, err := rule.Parse(text)
	if err != nil {
		return m.say(problems(err, m.force))
	}
	m.wait = &pending{set: set, text: text, base: m.force}
	return m.submit()
}

func (m *Model) submit() []Cmd {
	m.sent++
	m.wait.id = m.sent
	return []Cmd{Submit{ID: m.sent, Number: m.wait.set.ChangeNumber, Text: m.wait.text}}
}

// update replaces an accepted text that is no longer in force.
func (m *Model) update() []Cmd {
	cmds := m.say(updated(m.seen.Text, m.force))
	m.moved = m.force.Number
	return append(cmds, Rewrite{Expect: m.seen.Text, Text: m.force.Text})
}

// say writes the answer if it is a new one.
func (m *Model) say(text string) []Cmd {
	m.moved = 0
	if text == m.answer {
		return nil
	}
	m.answer = text
	return []Cmd{WriteAnswer{Text: text}}
}

func (m *Model) learn(hash uint64) {
	if m.known[hash] {
		return
	}
	m.known[hash] = true
	m.order = append(m.order, hash)
	if len(m.order) > maxKnown {
		delete(m.known, m.order[0])
		m.order = m.order[1:]
	}
}

func (m *Model) accepted(rules AcceptedRules) []Cmd {
	for _, hash := range rules.EarlierHashes {
		m.learn(hash)
	}
	m.learn(rule.Hash(rules.Text))
	if rules.Number <= m.force.Number {
		return nil
	}
	m.force = AcceptedRules{Number: rules.Number, Text: rules.Text}
	switch {
	case !m.done || m.seen.Missing || m.seen.Error != "":
		return nil
	case m.seen.Text == rules.Text && m.wait != nil:
		return m.finish(Verdict{Kind: VerdictAccepted})
	case m.seen.Text == rules.Text:
		return m.say(inForce(m.force))
	case m.stale():
		m.wait = nil
		return m.update()
	case m.lost != nil:
		return m.reject()
	}
	return nil
}

// reject answers a rejected edit, again whenever newer rules arrive, because the edit has to be added to those.
func (m *Model) reject() []Cmd {
	v := &m.lost.verdict
	if v.Text == "" && v.Number == m.force.Number {
		v.Text = m.force.Text
	}
	return m.say(rejection(m.lost.edit, *v, m.force))
}

func (m *Model) answered(now time.Time, msg SubmitResult) []Cmd {
	if m.wait == nil || msg.ID != m.wait.id {
		return nil
	}
	if msg.Err != nil {
		m.wait.repeat = now.Add(m.times.RetryDelay)
		return append(m.say(undecided(m.wait, msg.Err)), ScheduleRead{At: m.wait.repeat})
	}
	return m.finish(msg.Verdict)
}

// finish answers the pending submission.
func (m *Model) finish(v Verdict) []Cmd {
	w := m.wait
	m.wait = nil
	switch v.Kind {
	case VerdictAccepted:
		m.learn(rule.Hash(w.text))
		if w.set.ChangeNumber < m.force.Number {
			return m.update()
		}
		m.force = AcceptedRules{Number: w.set.ChangeNumber, Text: w.text}
		return m.say(acceptance(w))
	case VerdictRejected:
		m.lost = &rejected{edit: w, verdict: v}
		return m.reject()
	case VerdictInvalid:
		return m.say(invalid(w, v))
	default:
		return m.say(disorder(w, v))
	}
}
