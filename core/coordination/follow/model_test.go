package follow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/coordination/follow"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	tickInterval      = 10 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
)

// simServer is a simulated control process.
type simServer struct {
	up      bool // answers probes and accepts streams
	silent  bool // keeps streams open without sending and does not answer probes
	current bool
}

// simNode runs a Model against simulated control processes in virtual time.
type simNode struct {
	now           time.Time
	model         *follow.Model
	servers       map[string]*simServer
	connected     string // control process whose stream is open, empty for none
	nextHeartbeat time.Time
	connects      int
	probes        int
	queue         []follow.Msg
}

func newSimNode(seed uint64) *simNode {
	n := &simNode{now: epoch, servers: map[string]*simServer{}}
	cfg := follow.Config{Region: "home", Rand: rand.New(rand.NewPCG(seed, 0))}
	for _, s := range []follow.Server{{Name: "h1", Region: "home"}, {Name: "h2", Region: "home"}, {Name: "f1", Region: "far"}} {
		cfg.Servers = append(cfg.Servers, s)
		n.servers[s.Name] = &simServer{up: true, current: true}
	}
	n.model = follow.New(cfg)
	return n
}

func (n *simNode) update(msg follow.Msg) {
	for _, cmd := range n.model.Update(n.now, msg) {
		switch cmd := cmd.(type) {
		case follow.Probe:
			n.probe(cmd)
		case follow.Connect:
			n.connect(cmd.Server)
		}
	}
}

func (n *simNode) probe(cmd follow.Probe) {
	n.probes++
	s := n.servers[cmd.Server]
	if s.silent {
		return
	}
	n.queue = append(n.queue, follow.ProbeResult{Server: cmd.Server, Round: cmd.Round, OK: s.up, Answer: follow.Answer{Current: s.current}})
}

func (n *simNode) connect(name string) {
	n.connects++
	n.connected = name
	n.nextHeartbeat = n.now
	if !n.servers[name].up {
		n.queue = append(n.queue, follow.StreamEnded{Server: name})
	}
}

// advance runs the node for d. Streams carry heartbeats; streams of control processes that are down end.
func (n *simNode) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(tickInterval)
		queue := n.queue
		n.queue = nil
		for _, msg := range queue {
			n.update(msg)
		}
		n.deliverStream()
		n.update(follow.Tick{})
	}
}

func (n *simNode) deliverStream() {
	s, ok := n.servers[n.connected]
	if !ok {
		return
	}
	if !s.up {
		name := n.connected
		n.connected = ""
		n.update(follow.StreamEnded{Server: name})
		return
	}
	if !s.silent && !n.now.Before(n.nextHeartbeat) {
		n.nextHeartbeat = n.now.Add(heartbeatInterval)
		n.update(follow.MessageReceived{Server: n.connected, Heartbeat: true, Current: s.current})
	}
}

func (n *simNode) view() follow.View { return n.model.View(n.now) }

// Guards against a node that stays with a control process that is silent or not current, or leaves one without need.
func TestFailover(t *testing.T) {
	const limit = 2 * time.Second // specified time within which a node has moved
	tests := []struct {
		name      string
		fault     func(n *simNode, at string)
		wait      time.Duration
		moves     bool
		confirmed bool
	}{
		{"no fault", func(*simNode, string) {}, limit, false, true},
		{"silent", func(n *simNode, at string) { n.servers[at].silent = true }, limit + heartbeatInterval, true, true},
		{"not current", func(n *simNode, at string) { n.servers[at].current = false }, limit + heartbeatInterval, true, true},
		{"stream cut", func(n *simNode, at string) { n.servers[at].up = false }, limit, true, true},
		{"silent, and the others of the region down", func(n *simNode, at string) {
			n.servers["h1"].up, n.servers["h2"].up = false, false
			n.servers[at].up, n.servers[at].silent = true, true
		}, limit + heartbeatInterval, true, true},
		{"none current", func(n *simNode, _ string) {
			for _, s := range n.servers {
				s.current = false
			}
		}, 20 * time.Second, false, false},
		{"all down", func(n *simNode, _ string) {
			for _, s := range n.servers {
				s.up = false
			}
		}, limit, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(50) {
				n := newSimNode(seed)
				n.advance(time.Second)
				at := n.view().Server
				if at != "h1" && at != "h2" || !n.view().Confirmed {
					t.Fatalf("seed %d: started with %+v, want one of the own region", seed, n.view())
				}
				tt.fault(n, at)
				n.advance(tt.wait)
				if v := n.view(); (v.Server != at) != tt.moves || v.Confirmed != tt.confirmed {
					t.Fatalf("seed %d: from %s to %+v", seed, at, v)
				}
			}
		})
	}
}

// Guards against a node that keeps following another region after its own has recovered, and against needless moves.
func TestReturnToOwnRegion(t *testing.T) {
	n := newSimNode(1)
	n.servers["h1"].up, n.servers["h2"].up = false, false
	n.advance(2 * time.Second)
	if v := n.view(); v.Server != "f1" || !v.Confirmed {
		t.Fatalf("own region down: %+v", v)
	}
	n.servers["h2"].up = true
	n.advance(2 * time.Minute)
	if v := n.view(); v.Server != "h2" || !v.Confirmed {
		t.Fatalf("own region back: %+v", v)
	}
	before := n.connects
	n.servers["h1"].up = true
	n.advance(10 * time.Minute)
	if n.connects != before {
		t.Fatalf("%d moves without a reason", n.connects-before)
	}
}

// Guards against nodes that probe without backoff while no control process answers.
func TestBackoff(t *testing.T) {
	n := newSimNode(3)
	for _, s := range n.servers {
		s.up = false
	}
	n.advance(time.Minute)
	// The backoff is at most 2 s, and 1 s on average with jitter. A search probes each server once.
	if searches := n.probes / len(n.servers); searches < 30 || searches > 120 {
		t.Fatalf("%d searches in a minute", searches)
	}
	n.servers["h1"].up = true
	n.advance(3 * time.Second)
	if v := n.view(); v.Server != "h1" || !v.Confirmed {
		t.Fatalf("after the return: %+v", v)
	}
}

// Guards against nodes that find a new leader late, and against frequent searches during a long partition of a region.
func TestSearchRateWithoutCurrentServer(t *testing.T) {
	n := newSimNode(6)
	n.advance(5 * time.Second)
	for _, s := range n.servers {
		s.current = false
	}
	n.advance(3 * time.Second)
	n.servers["f1"].current = true
	n.advance(700 * time.Millisecond) // a search every 200 to 400 ms, its answers and a heartbeat
	if v := n.view(); v.Server != "f1" || !v.Confirmed {
		t.Fatalf("new leader after 3 s: %+v", v)
	}
	n.servers["f1"].current = false
	n.advance(10 * time.Second)
	before := n.probes
	n.advance(time.Minute)
	if searches := (n.probes - before) / len(n.servers); searches < 25 || searches > 60 {
		t.Fatalf("%d searches in a minute", searches)
	}
}

// Guards against reconnecting without backoff when every stream ends right after it is opened.
func TestBackoffAfterBrokenStreams(t *testing.T) {
	n := newSimNode(4)
	for range 600 {
		n.advance(100 * time.Millisecond)
		if at := n.view().Server; at != "" {
			n.connected = ""
			n.nextHeartbeat = n.now.Add(time.Hour)
			n.update(follow.StreamEnded{Server: at})
		}
	}
	if n.connects > 300 {
		t.Fatalf("%d streams in a minute", n.connects)
	}
}

// Guards against a node that is not confirmed 2.5 s after the end of any sequence of faults, or is confirmed while no control
// process is current.
func TestRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newSimNode(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			s := n.servers[rapid.SampledFrom([]string{"h1", "h2", "f1"}).Draw(t, "server")]
			s.up = rapid.Bool().Draw(t, "up")
			s.silent = rapid.Bool().Draw(t, "silent")
			s.current = rapid.Bool().Draw(t, "current")
			n.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "steps")) * tickInterval)
		}
		for _, s := range n.servers {
			*s = simServer{up: true}
		}
		n.advance(follow.FailoverTimeout)
		if n.view().Confirmed {
			t.Fatal("confirmed while no control process is current")
		}
		for _, s := range n.servers {
			s.current = true
		}
		n.advance(2500 * time.Millisecond)
		if !n.view().Confirmed {
			t.Fatalf("not confirmed: %+v", n.view())
		}
	})
}

// Guards against a node that learns of newer rules only after FailoverTimeout, when it leaves its control process.
func TestSuspectServerStartsSearch(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *simServer)
	}{
		{"silent", func(s *simServer) { s.silent = true }},
		{"not current", func(s *simServer) { s.current = false }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newSimNode(5)
			n.advance(5 * time.Second)
			at, before := n.view().Server, n.probes
			tt.fault(n.servers[at])
			n.advance(follow.FailoverTimeout - heartbeatInterval - 50*time.Millisecond) // up to heartbeatInterval has passed since the last heartbeat
			if n.probes == before {
				t.Error("no search before FailoverTimeout")
			}
			if v := n.view(); v.Server != at || !v.Confirmed && tt.name == "silent" {
				t.Errorf("left %s too early: %+v", at, v)
			}
			*n.servers[at] = simServer{up: true, current: true}
			n.advance(5 * time.Second)
			before = n.probes
			n.advance(time.Minute)
			if v := n.view(); v.Server != at || n.probes != before {
				t.Errorf("after the fault: %+v, %d probes", v, n.probes-before)
			}
		})
	}
}

// Guards against nodes that stay without rules for long after a power failure: one control process is back and about to lead,
// and a search must not wait for the others, which do not answer.
func TestRecoveryWithSilentServers(t *testing.T) {
	n := newSimNode(8)
	n.servers["h1"].current = false
	n.servers["h2"].silent = true
	n.servers["f1"].silent = true
	n.advance(400 * time.Millisecond)
	if v := n.view(); v.Server != "h1" {
		t.Fatalf("after 400 ms the node follows %q, want the one that answers", v.Server)
	}
}

// Guards against a backoff that keeps nodes without rules after control processes are back from a short outage.
func TestShortPauseAfterLoss(t *testing.T) {
	n := newSimNode(9)
	for _, s := range n.servers {
		s.up = false
	}
	n.advance(2 * time.Second)
	for _, s := range n.servers {
		s.up = true
	}
	n.advance(350 * time.Millisecond) // the pause between searches is 200 ms at most, then a search
	if v := n.view(); v.Server == "" {
		t.Fatal("no control process is followed")
	}
}

// Guards against a search that asks every control process: when all nodes search at once, answering takes the CPU time that the
// election of a leader needs. Repeated searches must still ask all of them.
func TestSearchProbesFewServers(t *testing.T) {
	var servers []follow.Server
	for i := range 7 {
		servers = append(servers, follow.Server{Name: string(rune('a' + i)), Region: []string{"home", "far"}[i/4]})
	}
	m := follow.New(follow.Config{Region: "home", Servers: servers, Rand: rand.New(rand.NewPCG(1, 0))})
	asked := map[string]int{}
	now := epoch
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		round := 0
		for _, cmd := range m.Update(now, follow.Tick{}) {
			p, ok := cmd.(follow.Probe)
			if !ok {
				continue
			}
			round++
			asked[p.Server]++
			m.Update(now, follow.ProbeResult{Server: p.Server, Round: p.Round})
		}
		if round > 3 {
			t.Fatalf("%d probes in one search", round)
		}
	}
	if len(asked) != len(servers) {
		t.Errorf("asked only %v", asked)
	}
}

// Guards against a panic, which ends the node, when the control processes that have answered a search leave the control group before
// the search ends, and against one that is followed although it has left.
func TestServersLeaveDuringSearch(t *testing.T) {
	for name, answerFirst := range map[string]bool{"answer before they leave": true, "answer after they have left": false} {
		t.Run(name, func(t *testing.T) {
			old := []follow.Server{{Name: "a", Region: "home"}, {Name: "b", Region: "home"}}
			m := follow.New(follow.Config{Region: "home", Servers: old, Rand: rand.New(rand.NewPCG(1, 0))})
			now := epoch
			var asked []follow.Probe
			for len(asked) == 0 {
				now = now.Add(tickInterval)
				for _, cmd := range m.Update(now, follow.Tick{}) {
					if p, ok := cmd.(follow.Probe); ok {
						asked = append(asked, p)
					}
				}
			}
			answer := follow.ProbeResult{Server: asked[0].Server, Round: asked[0].Round, OK: true}
			next := follow.Servers{List: []follow.Server{{Name: "c", Region: "home"}}}
			msgs := []follow.Msg{next, answer}
			if answerFirst {
				msgs = []follow.Msg{answer, next}
			}
			for _, msg := range msgs {
				m.Update(now, msg)
			}
			probed := false
			for range 200 {
				now = now.Add(tickInterval)
				for _, cmd := range m.Update(now, follow.Tick{}) {
					probe, ok := cmd.(follow.Probe)
					probed = probed || ok && probe.Server == "c"
				}
			}
			if v := m.View(now); v.Server != "" || !probed {
				t.Errorf("follows %q, new control process asked: %v", v.Server, probed)
			}
		})
	}
}

// Guards against a node that stays with a control process whose message never ends, or that was not current before it.
func TestEndlessMessageIsNoSignOfLife(t *testing.T) {
	for current, bound := range map[bool]time.Duration{true: 6 * time.Second, false: 1500 * time.Millisecond} {
		n := newSimNode(1)
		n.advance(time.Second)
		at := n.view().Server
		n.update(follow.MessageReceived{Server: at, Heartbeat: true, Current: current})
		start := n.now
		for len(n.model.Update(n.now, follow.DataReceived{Server: at})) == 0 && n.now.Sub(start) <= bound {
			n.now = n.now.Add(tickInterval)
		}
		if waited := n.now.Sub(start); waited > bound || current && waited < 4*time.Second {
			t.Errorf("current %v: searches another control process after %v, want at most %v", current, waited, bound)
		}
	}
}

// Guards against a starting node that gets old rules from a control process that was cut off before all were stopped (review/14):
// without a current process the node follows the one that knows of the newest rules.
func TestProcessWithNewestRulesIsFollowed(t *testing.T) {
	revisions := map[string]uint64{"a": 400, "b": 900, "c": 400}
	for seed := range uint64(20) {
		servers := []follow.Server{{Name: "a", Region: "home"}, {Name: "b", Region: "far"}, {Name: "c", Region: "home"}}
		m := follow.New(follow.Config{Region: "home", Servers: servers, Rand: rand.New(rand.NewPCG(seed, 0))})
		queue := []follow.Msg{follow.Tick{}}
		for now := epoch; m.View(now).Server == "" && now.Before(epoch.Add(time.Minute)); now = now.Add(tickInterval) {
			for _, msg := range append(queue, follow.Tick{}) {
				queue = nil
				for _, cmd := range m.Update(now, msg) {
					if p, ok := cmd.(follow.Probe); ok {
						answer := follow.Answer{Revision: revisions[p.Server]}
						queue = append(queue, follow.ProbeResult{Server: p.Server, Round: p.Round, OK: true, Answer: answer})
					}
				}
			}
		}
		if got := m.View(epoch.Add(time.Minute)).Server; got != "b" {
			t.Fatalf("seed %d: follows %q, want b with the newest rules", seed, got)
		}
	}
}
