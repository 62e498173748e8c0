package follow

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
)

// Times of the failover decision.
const (
	FailoverTimeout = 700 * time.Millisecond // a silent or not current control process is left after this; a change must be in force within a second
	doubt           = 300 * time.Millisecond // one missing heartbeat: ask the others for newer rules, but stay
	again           = 200 * time.Millisecond // length of a search in doubt, and the pause after it
	window          = 100 * time.Millisecond // wait for better answers after the first current one
	near            = 20 * time.Millisecond  // the same after one from the own region, where others are as near
	giveUp          = 500 * time.Millisecond // a search ends without the missing answers after this; a far answer takes 300 ms
	spread          = 100 * time.Millisecond // start of searches, so that nodes do not all dial at once
	maxDelay        = 2 * time.Second        // longest pause between failed searches
	election        = 5 * time.Second        // a new leader is found within this time, unless a quorum is lost
	urgent          = 200 * time.Millisecond // pause between searches until then while no control process is current
	recheck         = time.Second            // the same after that
	homeward        = 30 * time.Second       // pause between searches for a current one in the own region
)

// Bounds of one search.
const (
	most   = 3 // control processes asked
	atHome = 2 // of these in the own region, if it has as many
)

// Model is the failover decision of one node; it is not safe for concurrent use.
type Model struct {
	cfg     Config
	server  string    // followed control process, empty for none
	since   time.Time // start of the stream
	heard   time.Time // last message of the followed control process
	good    time.Time // last beat that said current
	current bool
	search  search
	parked  time.Time // first search that found no current control process since one was followed
	lost    time.Time // first of the failures that failed counts
	failed  int       // searches without an answer and streams without a message in a row
}

// Config lists the control processes in the order of the settings.
type Config struct {
	Servers []Server
	Region  string // of the node
	Rand    *rand.Rand
}

// Server is one control process.
type Server struct {
	Name   string
	Region string
}

type search struct {
	round   uint64
	running bool
	lazy    bool      // planned without trouble: trouble replaces the plan
	start   time.Time // planned start while not running, else actual start; zero for no plan
	first   time.Time // first current answer
	home    bool      // a current one of the own region has answered
	answers map[string]bool
	asked   int
	lost    int
}

// New returns a Model that follows no control process.
func New(cfg Config) *Model {
	return &Model{cfg: cfg}
}

// Update applies one message at the given time and returns the effects.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case MessageReceived:
		m.hear(now, msg)
	case StreamEnded:
		m.lose(now, msg)
	case ProbeResult:
		m.collect(now, msg)
	case Servers:
		m.cfg.Servers = msg.List
	}
	return m.step(now)
}

// View returns the followed control process and whether it is current.
func (m *Model) View(now time.Time) View {
	confirmed := m.server != "" && m.current && now.Sub(m.good) < FailoverTimeout
	return View{Server: m.server, Confirmed: confirmed}
}

func (m *Model) hear(now time.Time, msg MessageReceived) {
	if msg.Server != m.server {
		return
	}
	m.heard = now
	if !msg.Heartbeat {
		return
	}
	if now.Sub(m.since) >= maxDelay {
		m.failed = 0
	}
	m.current = msg.Current
	if msg.Current {
		m.good = now
		m.parked = time.Time{}
	}
}

func (m *Model) lose(now time.Time, msg StreamEnded) {
	if msg.Server != m.server {
		return
	}
	m.server = ""
	m.current = false
	if !m.search.running {
		m.retry(now)
	}
}

func (m *Model) collect(now time.Time, msg ProbeResult) {
	if !m.search.running || msg.Round != m.search.round {
		return
	}
	if !msg.OK {
		m.search.lost++
		return
	}
	m.search.answers[msg.Server] = msg.Current
	if !msg.Current {
		return
	}
	if m.search.first.IsZero() {
		m.search.first = now
	}
	m.search.home = m.search.home || m.home(msg.Server)
}

func (m *Model) step(now time.Time) []Cmd {
	switch {
	case m.search.running && m.searched(now):
		return m.decide(now)
	case m.search.running:
		return nil
	case m.search.start.IsZero(), m.search.lazy:
		m.schedule(now)
	}
	if !m.search.start.IsZero() && !now.Before(m.search.start) {
		return m.begin(now)
	}
	return nil
}

// schedule plans a search when the followed control process gives a reason for one.
func (m *Model) schedule(now time.Time) {
	switch {
	case m.trouble(now):
		m.plan(now, spread)
	case !m.search.start.IsZero() && !m.search.start.After(now.Add(again+spread)):
		// A search is due soon.
	case m.doubtful(now):
		m.plan(now, spread/2)
		m.search.lazy = true
	case m.search.start.IsZero() && !m.home(m.server) && m.homes():
		m.plan(now.Add(homeward), homeward)
		m.search.lazy = true
	}
}

// trouble reports whether the followed control process has to be left.
func (m *Model) trouble(now time.Time) bool {
	return m.server == "" || m.silent(now) || m.stale(now)
}

// doubtful reports whether newer rules may be in force that the followed control process does not know.
func (m *Model) doubtful(now time.Time) bool {
	return now.Sub(m.heard) >= doubt || now.Sub(m.good) >= doubt || !m.current && m.heard.After(m.since)
}

func (m *Model) silent(now time.Time) bool {
	return now.Sub(m.heard) >= FailoverTimeout
}

func (m *Model) stale(now time.Time) bool {
	return now.Sub(m.good) >= FailoverTimeout
}

// plan sets the start of the next search with jitter.
func (m *Model) plan(earliest time.Time, jitter time.Duration) {
	m.search.start = earliest.Add(m.jitter(jitter))
	m.search.lazy = false
}

func (m *Model) jitter(d time.Duration) time.Duration {
	return time.Duration(m.cfg.Rand.Int64N(int64(d)))
}

func (m *Model) begin(now time.Time) []Cmd {
	m.search = search{round: m.search.round + 1, running: true, start: now, answers: map[string]bool{}}
	asked := m.asked()
	m.search.asked = len(asked)
	return lo.Map(asked, func(s Server, _ int) Cmd { return Probe{Server: s.Name, Round: m.search.round} })
}

// asked draws the control processes that one search asks: after a loss of power all nodes search at once, and asking all
// processes takes the processor time that these need to elect a leader. Most places are for the own region.
func (m *Model) asked() []Server {
	if len(m.cfg.Servers) <= most {
		return m.cfg.Servers
	}
	order := lo.Map(m.cfg.Rand.Perm(len(m.cfg.Servers)), func(i, _ int) Server { return m.cfg.Servers[i] })
	home, away := lo.FilterReject(order, func(s Server, _ int) bool { return s.Region == m.cfg.Region })
	near := lo.Slice(home, 0, max(atHome, most-len(away)))
	return append(near, lo.Slice(away, 0, most-len(near))...)
}

func (m *Model) searched(now time.Time) bool {
	s := m.search
	limit := giveUp
	// One that answers but is not current is told of the next leader at once; it need not wait for the silent ones.
	if !m.trouble(now) || len(s.answers) > 0 {
		limit = again
	}
	if len(s.answers)+s.lost >= s.asked || now.Sub(s.start) >= limit {
		return true
	}
	if s.first.IsZero() {
		return false
	}
	wait := window
	if s.home {
		wait = near
	}
	return now.Sub(s.first) >= wait
}

// decide ends a search: it follows the best control process that answered.
func (m *Model) decide(now time.Time) []Cmd {
	answers := m.search.answers
	m.search = search{round: m.search.round}
	switch {
	case m.trouble(now):
	case m.doubtful(now):
		m.plan(now.Add(again), spread)
		m.search.lazy = true
		return nil
	case m.home(m.server):
		return nil
	}
	if len(answers) == 0 {
		m.retry(now)
		return nil
	}
	best := m.best(answers)
	if !answers[best] {
		m.park(now)
	}
	if best == m.server && !m.silent(now) {
		return nil
	}
	return m.attach(now, best)
}

// park plans the next search while no control process is current.
func (m *Model) park(now time.Time) {
	if m.parked.IsZero() {
		m.parked = now
	}
	pause := urgent
	if now.Sub(m.parked) >= election {
		pause = recheck
	}
	m.plan(now.Add(pause), pause)
}

// retry plans the next search after a failure; the pause doubles up to maxDelay.
func (m *Model) retry(now time.Time) {
	if m.failed == 0 {
		m.lost = now
	}
	delay := min(spread<<min(m.failed, 8), maxDelay)
	if now.Sub(m.lost) < election {
		delay = min(delay, urgent)
	}
	m.failed++
	m.plan(now, delay)
}

func (m *Model) attach(now time.Time, server string) []Cmd {
	m.server = server
	m.since = now
	m.heard = now
	m.good = now
	m.current = false
	return []Cmd{Connect{Server: server}}
}

// best prefers current control processes, then the own region, then the followed one, then chance.
func (m *Model) best(answers map[string]bool) string {
	candidates := lo.Filter(m.cfg.Servers, func(s Server, _ int) bool { _, ok := answers[s.Name]; return ok })
	score := func(s Server) int {
		n := 0
		if answers[s.Name] {
			n += 4
		}
		if s.Region == m.cfg.Region {
			n += 2
		}
		if s.Name == m.server {
			n++
		}
		return n
	}
	top := score(lo.MaxBy(candidates, func(a, b Server) bool { return score(a) > score(b) }))
	equal := lo.Filter(candidates, func(s Server, _ int) bool { return score(s) == top })
	return equal[m.cfg.Rand.IntN(len(equal))].Name
}

func (m *Model) home(server string) bool {
	return lo.SomeBy(m.cfg.Servers, func(s Server) bool { return s.Name == server && s.Region == m.cfg.Region })
}

func (m *Model) homes() bool {
	return lo.SomeBy(m.cfg.Servers, func(s Server) bool { return s.Region == m.cfg.Region })
}
