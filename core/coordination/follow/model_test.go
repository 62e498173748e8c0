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
	step  = 10 * time.Millisecond
	beats = 200 * time.Millisecond
)

// server is a control process as one node meets it.
type server struct {
	up      bool // answers probes and accepts streams
	silent  bool // holds streams open without a message, and leaves probes unanswered
	current bool
}

// node runs the model against servers in virtual time.
type node struct {
	now      time.Time
	model    *follow.Model
	servers  map[string]*server
	attached string
	beat     time.Time
	attaches int
	probes   int
	queue    []follow.Msg
}

func newNode(seed uint64) *node {
	n := &node{now: epoch, servers: map[string]*server{}}
	cfg := follow.Config{Region: "home", Rand: rand.New(rand.NewPCG(seed, 0))}
	for _, s := range []follow.Server{{Name: "h1", Region: "home"}, {Name: "h2", Region: "home"}, {Name: "f1", Region: "far"}} {
		cfg.Servers = append(cfg.Servers, s)
		n.servers[s.Name] = &server{up: true, current: true}
	}
	n.model = follow.New(cfg)
	return n
}

func (n *node) update(msg follow.Msg) {
	for _, cmd := range n.model.Update(n.now, msg) {
		switch cmd := cmd.(type) {
		case follow.Probe:
			n.probe(cmd)
		case follow.Connect:
			n.attach(cmd.Server)
		}
	}
}

func (n *node) probe(cmd follow.Probe) {
	n.probes++
	s := n.servers[cmd.Server]
	if s.silent {
		return
	}
	n.queue = append(n.queue, follow.ProbeResult{Server: cmd.Server, Round: cmd.Round, OK: s.up, Current: s.current})
}

func (n *node) attach(name string) {
	n.attaches++
	n.attached = name
	n.beat = n.now
	if !n.servers[name].up {
		n.queue = append(n.queue, follow.StreamEnded{Server: name})
	}
}

// pass lets time pass: streams beat, streams of servers that are down end.
func (n *node) pass(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(step)
		queue := n.queue
		n.queue = nil
		for _, msg := range queue {
			n.update(msg)
		}
		n.stream()
		n.update(follow.Tick{})
	}
}

func (n *node) stream() {
	s, ok := n.servers[n.attached]
	if !ok {
		return
	}
	if !s.up {
		name := n.attached
		n.attached = ""
		n.update(follow.StreamEnded{Server: name})
		return
	}
	if !s.silent && !n.now.Before(n.beat) {
		n.beat = n.now.Add(beats)
		n.update(follow.MessageReceived{Server: n.attached, Heartbeat: true, Current: s.current})
	}
}

func (n *node) view() follow.View { return n.model.View(n.now) }

// Guards against a node that stays with a control process that cannot serve it, or leaves one that can.
func TestFailover(t *testing.T) {
	const limit = 2 * time.Second // from the page: a node has moved within this time
	tests := []struct {
		name      string
		fault     func(n *node, at string)
		wait      time.Duration
		moves     bool
		confirmed bool
	}{
		{"no fault", func(*node, string) {}, limit, false, true},
		{"silent", func(n *node, at string) { n.servers[at].silent = true }, limit + beats, true, true},
		{"not current", func(n *node, at string) { n.servers[at].current = false }, limit + beats, true, true},
		{"stream cut", func(n *node, at string) { n.servers[at].up = false }, limit, true, true},
		{"silent, and the others of the region down", func(n *node, at string) {
			n.servers["h1"].up, n.servers["h2"].up = false, false
			n.servers[at].up, n.servers[at].silent = true, true
		}, limit + beats, true, true},
		{"none current", func(n *node, _ string) {
			for _, s := range n.servers {
				s.current = false
			}
		}, 20 * time.Second, false, false},
		{"all down", func(n *node, _ string) {
			for _, s := range n.servers {
				s.up = false
			}
		}, limit, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(50) {
				n := newNode(seed)
				n.pass(time.Second)
				at := n.view().Server
				if at != "h1" && at != "h2" || !n.view().Confirmed {
					t.Fatalf("seed %d: started with %+v, want one of the own region", seed, n.view())
				}
				tt.fault(n, at)
				n.pass(tt.wait)
				if v := n.view(); (v.Server != at) != tt.moves || v.Confirmed != tt.confirmed {
					t.Fatalf("seed %d: from %s to %+v", seed, at, v)
				}
			}
		})
	}
}

// Guards against a node that stays in another region after its own has recovered, and against needless moves.
func TestReturnToOwnRegion(t *testing.T) {
	n := newNode(1)
	n.servers["h1"].up, n.servers["h2"].up = false, false
	n.pass(2 * time.Second)
	if v := n.view(); v.Server != "f1" || !v.Confirmed {
		t.Fatalf("own region down: %+v", v)
	}
	n.servers["h2"].up = true
	n.pass(2 * time.Minute)
	if v := n.view(); v.Server != "h2" || !v.Confirmed {
		t.Fatalf("own region back: %+v", v)
	}
	before := n.attaches
	n.servers["h1"].up = true
	n.pass(10 * time.Minute)
	if n.attaches != before {
		t.Fatalf("%d moves without a reason", n.attaches-before)
	}
}

// Guards against nodes that dial without pause while no control process answers.
func TestBackoff(t *testing.T) {
	n := newNode(3)
	for _, s := range n.servers {
		s.up = false
	}
	n.pass(time.Minute)
	// A pause is at most 2 s and 1 s on average, with one probe per server.
	if searches := n.probes / len(n.servers); searches < 30 || searches > 120 {
		t.Fatalf("%d searches in a minute", searches)
	}
	n.servers["h1"].up = true
	n.pass(3 * time.Second)
	if v := n.view(); v.Server != "h1" || !v.Confirmed {
		t.Fatalf("after the return: %+v", v)
	}
}

// Guards against nodes that find a new leader late, and against many searches while a region is cut off for an hour.
func TestSearchesWithoutCurrent(t *testing.T) {
	n := newNode(6)
	n.pass(5 * time.Second)
	for _, s := range n.servers {
		s.current = false
	}
	n.pass(3 * time.Second)
	n.servers["f1"].current = true
	n.pass(700 * time.Millisecond) // a search every 200 to 400 ms, its answers and a heartbeat
	if v := n.view(); v.Server != "f1" || !v.Confirmed {
		t.Fatalf("new leader after 3 s: %+v", v)
	}
	n.servers["f1"].current = false
	n.pass(10 * time.Second)
	before := n.probes
	n.pass(time.Minute)
	if searches := (n.probes - before) / len(n.servers); searches < 25 || searches > 60 {
		t.Fatalf("%d searches in a minute", searches)
	}
}

// Guards against a stream that ends right after it was opened and is opened again without pause.
func TestBackoffOfBrokenStreams(t *testing.T) {
	n := newNode(4)
	for range 600 {
		n.pass(100 * time.Millisecond)
		if at := n.view().Server; at != "" {
			n.attached = ""
			n.beat = n.now.Add(time.Hour)
			n.update(follow.StreamEnded{Server: at})
		}
	}
	if n.attaches > 300 {
		t.Fatalf("%d streams in a minute", n.attaches)
	}
}

// Guards against a node that is not confirmed 2.5 s after any history of faults has ended, or confirmed by nobody.
func TestRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			s := n.servers[rapid.SampledFrom([]string{"h1", "h2", "f1"}).Draw(t, "server")]
			s.up = rapid.Bool().Draw(t, "up")
			s.silent = rapid.Bool().Draw(t, "silent")
			s.current = rapid.Bool().Draw(t, "current")
			n.pass(time.Duration(rapid.IntRange(1, 300).Draw(t, "steps")) * step)
		}
		for _, s := range n.servers {
			*s = server{up: true}
		}
		n.pass(follow.FailoverTimeout)
		if n.view().Confirmed {
			t.Fatal("confirmed while no control process is current")
		}
		for _, s := range n.servers {
			s.current = true
		}
		n.pass(2500 * time.Millisecond)
		if !n.view().Confirmed {
			t.Fatalf("not confirmed: %+v", n.view())
		}
	})
}

// Guards against a node that learns of newer rules only when it leaves its control process, at the end of its patience.
func TestDoubtAsksTheOthers(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *server)
	}{
		{"silent", func(s *server) { s.silent = true }},
		{"not current", func(s *server) { s.current = false }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode(5)
			n.pass(5 * time.Second)
			at, before := n.view().Server, n.probes
			tt.fault(n.servers[at])
			n.pass(follow.FailoverTimeout - beats - 50*time.Millisecond) // the last heartbeat is up to beats old
			if n.probes == before {
				t.Error("no search before the end of the patience")
			}
			if v := n.view(); v.Server != at || !v.Confirmed && tt.name == "silent" {
				t.Errorf("left %s too early: %+v", at, v)
			}
			*n.servers[at] = server{up: true, current: true}
			n.pass(5 * time.Second)
			before = n.probes
			n.pass(time.Minute)
			if v := n.view(); v.Server != at || n.probes != before {
				t.Errorf("after the fault: %+v, %d probes", v, n.probes-before)
			}
		})
	}
}

// Guards against nodes without rules long after a loss of power of all: one control process is back and is to lead in
// a moment, the others answer nothing, and the node must not wait for them.
func TestRecoveryWithSilentServers(t *testing.T) {
	n := newNode(8)
	n.servers["h1"].current = false
	n.servers["h2"].silent = true
	n.servers["f1"].silent = true
	n.pass(400 * time.Millisecond)
	if v := n.view(); v.Server != "h1" {
		t.Fatalf("after 400 ms the node follows %q, want the one that answers", v.Server)
	}
}

// Guards against a back-off that keeps nodes without rules after control processes are back.
func TestSearchesSoonAfterALoss(t *testing.T) {
	n := newNode(9)
	for _, s := range n.servers {
		s.up = false
	}
	n.pass(2 * time.Second)
	for _, s := range n.servers {
		s.up = true
	}
	n.pass(350 * time.Millisecond) // the pause between searches is 200 ms at most, then a search
	if v := n.view(); v.Server == "" {
		t.Fatal("no control process is followed")
	}
}

// Guards against a search that asks every control process: when all nodes search at once, answering them takes the time
// in which a leader would be elected. All of them must be found in turn.
func TestSearchAsksAFewServers(t *testing.T) {
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
