package follow

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
)

// FailoverTimeout is how long a node follows a control process that is silent or not current. It leaves time to switch to
// another one while a change of the rules must be in force within a second.
const FailoverTimeout = 700 * time.Millisecond

// maxMessageTime is how long bytes of one message count as a sign of life: the largest rules cross a link of 6 Mbit/s that other
// traffic shares within it.
const maxMessageTime = 5 * time.Second

// Times of a search, which asks control processes whether they are current.
const (
	// suspectTimeout is how long the followed control process may be silent or not current, about one missing heartbeat,
	// before the others are asked for newer rules. The node still follows it.
	suspectTimeout = 300 * time.Millisecond

	searchJitter  = 100 * time.Millisecond // random delay of a search, so that not all nodes connect at once
	searchTimeout = 500 * time.Millisecond // longest search without any answer; one from a distant region takes 300 ms

	// shortSearchTimeout is the longest search if some control process answered or the followed one need not be left. It is
	// also the pause between searches while the followed one is suspect.
	shortSearchTimeout = 200 * time.Millisecond

	betterAnswerWait = 100 * time.Millisecond // from the first current answer of a search to its end
	localAnswerWait  = 20 * time.Millisecond  // the same after a current answer from the own region, where others answer as fast

	localSearchPause = 30 * time.Second // between searches for a current control process in the own region
)

// Times between searches without success.
const (
	maxBackoff    = 2 * time.Second
	electionTime  = 5 * time.Second        // within it a new leader is elected, unless there is no quorum
	electionPause = 200 * time.Millisecond // between searches during electionTime
	noQuorumPause = time.Second            // between searches after electionTime while no control process is current
)

// Bounds of the control processes asked in one search.
const (
	maxProbes      = 3
	maxLocalProbes = 2 // in the own region; more if other regions have too few
)

// Model decides which control process a node follows; it is not safe for concurrent use.
type Model struct {
	cfg            Config
	server         string    // followed control process, empty for none
	connected      time.Time // when the stream was opened
	lastMessage    time.Time // last message on the stream or part of one
	lastWhole      time.Time // last complete message
	lastCurrent    time.Time // last heartbeat of a current control process
	current        bool      // content of the last heartbeat
	search         search
	noCurrentSince time.Time // first search that found no current control process since the last one was followed
	failures       int       // searches without an answer and ended streams, until a stream has lasted for maxBackoff
	firstFailure   time.Time // first of the failures
}

// Config holds the parameters of a Model; Servers are in the order of the settings.
type Config struct {
	Servers []Server
	Region  string // of the node
	Rand    *rand.Rand
}

// Server is a control process that the node may follow.
type Server struct {
	Name   string
	Region string
}

// search is the running search or the next one.
type search struct {
	round        uint64
	running      bool
	optional     bool              // scheduled although the followed control process can stay; an urgent search replaces it
	start        time.Time         // actual start if running, else scheduled start; zero if not scheduled
	firstCurrent time.Time         // first answer of a current control process
	localCurrent bool              // a current control process of the own region answered
	answers      map[string]Answer // by control process
	probes       int               // control processes asked
	failedProbes int               // probes without an answer
}

// New returns a Model that follows no control process.
func New(cfg Config) *Model {
	return &Model{cfg: cfg}
}

// Update applies one message at the given time and returns the effects.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case MessageReceived:
		m.handleMessage(now, msg)
	case DataReceived:
		m.handleData(now, msg)
	case StreamEnded:
		m.handleStreamEnd(now, msg)
	case ProbeResult:
		m.handleProbeResult(now, msg)
	case Servers:
		m.setServers(msg.List)
	}
	return m.advance(now)
}

// setServers replaces the control processes. Those that are gone can't be followed any more, whatever they answered to a search.
func (m *Model) setServers(list []Server) {
	m.cfg.Servers = list
	for name := range m.search.answers {
		if !m.isServer(name) {
			delete(m.search.answers, name)
			m.search.failedProbes++
		}
	}
}

// View returns the followed control process and whether it is current.
func (m *Model) View(now time.Time) View {
	confirmed := m.server != "" && m.current && now.Sub(m.lastCurrent) < FailoverTimeout
	return View{Server: m.server, Confirmed: confirmed}
}

func (m *Model) handleMessage(now time.Time, msg MessageReceived) {
	if msg.Server != m.server {
		return
	}
	m.lastMessage, m.lastWhole = now, now
	if !msg.Heartbeat {
		return
	}
	if now.Sub(m.connected) >= maxBackoff {
		m.failures = 0
	}
	m.current = msg.Current
	if msg.Current {
		m.lastCurrent = now
		m.noCurrentSince = time.Time{}
	}
}

// handleData keeps a control process that sends a message which takes long to arrive, such as rules over a slow link. Its heartbeats
// wait behind that message, so that it counts as current if it was before. To ask for the rules again, here or elsewhere, would
// only take more of the link.
func (m *Model) handleData(now time.Time, msg DataReceived) {
	if msg.Server != m.server || now.Sub(m.lastWhole) >= maxMessageTime {
		return
	}
	m.lastMessage = now
	if m.current {
		m.lastCurrent = now
	}
}

func (m *Model) handleStreamEnd(now time.Time, msg StreamEnded) {
	if msg.Server != m.server {
		return
	}
	m.server = ""
	m.current = false
	if !m.search.running {
		m.scheduleRetry(now)
	}
}

func (m *Model) handleProbeResult(now time.Time, msg ProbeResult) {
	if !m.search.running || msg.Round != m.search.round {
		return
	}
	if !msg.OK {
		m.search.failedProbes++
		return
	}
	if !m.isServer(msg.Server) {
		m.search.failedProbes++ // it is gone since it was asked
		return
	}
	m.search.answers[msg.Server] = msg.Answer
	if !msg.Answer.Current {
		return
	}
	if m.search.firstCurrent.IsZero() {
		m.search.firstCurrent = now
	}
	m.search.localCurrent = m.search.localCurrent || m.isLocal(msg.Server)
}

func (m *Model) advance(now time.Time) []Cmd {
	switch {
	case m.search.running && m.searchDone(now):
		return m.finishSearch(now)
	case m.search.running:
		return nil
	case m.search.start.IsZero(), m.search.optional:
		m.scheduleSearch(now)
	}
	if !m.search.start.IsZero() && !now.Before(m.search.start) {
		return m.startSearch(now)
	}
	return nil
}

// scheduleSearch schedules a search if the followed control process is to be left, is suspect, or is in another region.
func (m *Model) scheduleSearch(now time.Time) {
	switch {
	case m.mustLeave(now):
		m.scheduleAt(now, searchJitter)
	case !m.search.start.IsZero() && !m.search.start.After(now.Add(shortSearchTimeout+searchJitter)):
		// A search is due soon.
	case m.isSuspect(now):
		m.scheduleAt(now, searchJitter/2)
		m.search.optional = true
	case m.search.start.IsZero() && !m.isLocal(m.server) && m.hasLocalServers():
		m.scheduleAt(now.Add(localSearchPause), localSearchPause)
		m.search.optional = true
	}
}

// mustLeave reports whether the node must follow another control process.
func (m *Model) mustLeave(now time.Time) bool {
	return m.server == "" || m.isSilent(now) || m.isStale(now)
}

// isSuspect reports whether the followed control process may not know rules that are in force.
func (m *Model) isSuspect(now time.Time) bool {
	return now.Sub(m.lastMessage) >= suspectTimeout || now.Sub(m.lastCurrent) >= suspectTimeout ||
		!m.current && m.lastMessage.After(m.connected)
}

func (m *Model) isSilent(now time.Time) bool {
	return now.Sub(m.lastMessage) >= FailoverTimeout
}

func (m *Model) isStale(now time.Time) bool {
	return now.Sub(m.lastCurrent) >= FailoverTimeout
}

// scheduleAt sets the start of the next search, delayed by up to jitter.
func (m *Model) scheduleAt(earliest time.Time, jitter time.Duration) {
	m.search.start = earliest.Add(m.jitter(jitter))
	m.search.optional = false
}

func (m *Model) jitter(d time.Duration) time.Duration {
	return time.Duration(m.cfg.Rand.Int64N(int64(d)))
}

func (m *Model) startSearch(now time.Time) []Cmd {
	m.search = search{round: m.search.round + 1, running: true, start: now, answers: map[string]Answer{}}
	servers := m.drawServers()
	m.search.probes = len(servers)
	return lo.Map(servers, func(s Server, _ int) Cmd { return Probe{Server: s.Name, Round: m.search.round} })
}

// drawServers returns the control processes that a search asks, most of them in the own region. After a power failure all
// nodes search at once, and answering them takes the CPU time that the control processes need to elect a leader, so only a
// few are asked.
func (m *Model) drawServers() []Server {
	if len(m.cfg.Servers) <= maxProbes {
		return m.cfg.Servers
	}
	shuffled := lo.Map(m.cfg.Rand.Perm(len(m.cfg.Servers)), func(i, _ int) Server { return m.cfg.Servers[i] })
	local, remote := lo.FilterReject(shuffled, func(s Server, _ int) bool { return s.Region == m.cfg.Region })
	drawn := lo.Slice(local, 0, max(maxLocalProbes, maxProbes-len(remote)))
	return append(drawn, lo.Slice(remote, 0, maxProbes-len(drawn))...)
}

func (m *Model) searchDone(now time.Time) bool {
	s := m.search
	timeout := searchTimeout
	// A control process that answers can be followed even if it is not current: it learns of the next leader at once. Then
	// the search does not wait for the silent ones.
	if !m.mustLeave(now) || len(s.answers) > 0 {
		timeout = shortSearchTimeout
	}
	if len(s.answers)+s.failedProbes >= s.probes || now.Sub(s.start) >= timeout {
		return true
	}
	if s.firstCurrent.IsZero() {
		return false
	}
	wait := betterAnswerWait
	if s.localCurrent {
		wait = localAnswerWait
	}
	return now.Sub(s.firstCurrent) >= wait
}

// finishSearch ends a search. The node follows the best control process that answered, unless it can stay with a suspect or
// local one.
func (m *Model) finishSearch(now time.Time) []Cmd {
	answers := m.search.answers
	m.search = search{round: m.search.round}
	switch {
	case m.mustLeave(now):
	case m.isSuspect(now):
		m.scheduleAt(now.Add(shortSearchTimeout), searchJitter)
		m.search.optional = true
		return nil
	case m.isLocal(m.server):
		return nil
	}
	if len(answers) == 0 {
		m.scheduleRetry(now)
		return nil
	}
	best := m.bestServer(answers)
	if !answers[best].Current {
		m.scheduleWithoutCurrent(now)
	}
	if best == m.server && !m.isSilent(now) {
		return nil
	}
	return m.connect(now, best)
}

// scheduleWithoutCurrent schedules the next search while no control process is current.
func (m *Model) scheduleWithoutCurrent(now time.Time) {
	if m.noCurrentSince.IsZero() {
		m.noCurrentSince = now
	}
	pause := electionPause
	if now.Sub(m.noCurrentSince) >= electionTime {
		pause = noQuorumPause
	}
	m.scheduleAt(now.Add(pause), pause)
}

// scheduleRetry schedules the next search after a failure, with exponential backoff up to maxBackoff and full jitter.
func (m *Model) scheduleRetry(now time.Time) {
	if m.failures == 0 {
		m.firstFailure = now
	}
	backoff := min(searchJitter<<min(m.failures, 8), maxBackoff)
	if now.Sub(m.firstFailure) < electionTime {
		backoff = min(backoff, electionPause)
	}
	m.failures++
	m.scheduleAt(now, backoff)
}

func (m *Model) connect(now time.Time, server string) []Cmd {
	m.server = server
	m.connected = now
	m.lastMessage, m.lastWhole = now, now
	m.lastCurrent = now
	m.current = false
	return []Cmd{Connect{Server: server}}
}

// bestServer returns the best control process that answered: it prefers current ones, or if there are none those that know of the
// newest rules, then those of the own region, then the followed one, and draws one of equals. A process that was cut off before all
// were stopped knows older rules than the others, and nothing tells it so before there is a leader.
func (m *Model) bestServer(answers map[string]Answer) string {
	candidates := lo.Filter(m.cfg.Servers, func(s Server, _ int) bool { _, ok := answers[s.Name]; return ok })
	if current := lo.Filter(candidates, func(s Server, _ int) bool { return answers[s.Name].Current }); len(current) > 0 {
		candidates = current
	} else {
		newest := lo.Max(lo.Map(candidates, func(s Server, _ int) uint64 { return answers[s.Name].Revision }))
		candidates = lo.Filter(candidates, func(s Server, _ int) bool { return answers[s.Name].Revision == newest })
	}
	score := func(s Server) int {
		n := 0
		if s.Region == m.cfg.Region {
			n += 2
		}
		if s.Name == m.server {
			n++
		}
		return n
	}
	best := score(lo.MaxBy(candidates, func(a, b Server) bool { return score(a) > score(b) }))
	equal := lo.Filter(candidates, func(s Server, _ int) bool { return score(s) == best })
	return equal[m.cfg.Rand.IntN(len(equal))].Name
}

func (m *Model) isServer(name string) bool {
	return lo.SomeBy(m.cfg.Servers, func(s Server) bool { return s.Name == name })
}

func (m *Model) isLocal(server string) bool {
	return lo.SomeBy(m.cfg.Servers, func(s Server) bool { return s.Name == server && s.Region == m.cfg.Region })
}

func (m *Model) hasLocalServers() bool {
	return lo.SomeBy(m.cfg.Servers, func(s Server) bool { return s.Region == m.cfg.Region })
}
