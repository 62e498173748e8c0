package consensus_test

import (
	"slices"
	"time"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/state/replica"
)

// nemesis injects one random fault after the other; used counts them by name.
type nemesis struct {
	s      *sim
	used   map[string]int
	lost   *vm // VM whose disk was lost and that is not a voter again yet
	second int // VMs that may still be lost right after a repair
	extra  int // members that may still join
	until  time.Time
}

func (n *nemesis) begin() {
	s := n.s
	if s.now.After(n.until) {
		return
	}
	s.after(time.Duration(100+s.r.IntN(600))*time.Millisecond, func() {
		n.fault()
		n.begin()
	})
}

func (n *nemesis) fault() {
	s := n.s
	v := s.vms[s.r.IntN(len(s.vms))]
	switch s.r.IntN(13) {
	case 12:
		n.note("pause")
		s.pause(v, time.Duration(s.r.IntN(2000))*time.Millisecond)
	case 0, 1:
		n.note("crash")
		n.crash(v, true)
	case 2:
		n.note("kill")
		n.crash(v, false)
	case 3:
		n.note("partition")
		n.isolate(v, true, true)
	case 4:
		n.note("one-way partition")
		n.isolate(v, s.r.IntN(2) == 0, false)
	case 5:
		n.note("split")
		n.split()
	case 6:
		n.note("loss, repeats and reordering")
		s.loss, s.repeat = s.r.Float64()*0.4, s.r.Float64()*0.3
		s.delay = time.Duration(1+s.r.IntN(150)) * time.Millisecond
		s.after(time.Second, func() { s.loss, s.repeat, s.delay = 0, 0, 3*time.Millisecond })
	case 7:
		n.note("full disk")
		v.disk.Limit(s.r.IntN(2000))
	case 8:
		n.note("failed sync")
		v.disk.FailSync(s.r.IntN(8))
	case 9:
		n.damage(v)
	case 10:
		n.lose(v)
	case 11:
		n.member(v)
	}
}

func (n *nemesis) note(name string) { n.used[name]++ }

func (n *nemesis) crash(v *vm, whole bool) {
	s := n.s
	if v.process == nil {
		return
	}
	s.stop(v, whole)
	s.after(time.Duration(s.r.IntN(1500))*time.Millisecond, func() { s.start(v) })
}

// isolate drops silently what a VM sends, what it receives, or both.
func (n *nemesis) isolate(v *vm, out, in bool) {
	n.cut(func(from, to string) bool { return out && from == v.name || in && to == v.name })
}

func (n *nemesis) split() {
	side := map[string]bool{}
	for _, v := range n.s.vms {
		side[v.name] = n.s.r.IntN(2) == 0
	}
	n.cut(func(from, to string) bool { return side[from] != side[to] })
}

func (n *nemesis) cut(drop func(from, to string) bool) {
	s := n.s
	for _, a := range s.vms {
		for _, b := range s.vms {
			if drop(a.name, b.name) {
				s.cut[[2]string{a.name, b.name}] = true
			}
		}
	}
	longest := 2500
	if s.voters > 0 {
		longest = 6000 // long enough for another member to take the place of a silent one
	}
	s.after(time.Duration(s.r.IntN(longest))*time.Millisecond, func() { s.cut = map[[2]string]bool{} })
}

// healthy returns whether every founder is in the group and no disk is lost, so that one more may be.
func (n *nemesis) healthy() bool {
	l := n.s.leader()
	if n.lost != nil || l == nil {
		return false
	}
	view := l.process.View(n.s.now)
	whole := len(view.Membership.Learners) == 0 || n.s.voters > 0
	return len(view.Membership.Voters) >= 3 && whole && view.Commit == view.LastIndex
}

// damage flips a bit in a folder; the process must refuse it and is then replaced.
func (n *nemesis) damage(v *vm) {
	if !n.healthy() || v.process == nil || !n.voter(v) {
		return
	}
	n.s.stop(v, false)
	if !v.disk.Flip("log-") {
		return
	}
	n.note("flipped bit")
	v.broken = true
	n.lost = v
	n.s.after(time.Duration(n.s.r.IntN(1000))*time.Millisecond, func() { n.s.start(v) })
	n.watch(v)
}

// lose replaces a VM by one with an empty disk.
func (n *nemesis) lose(v *vm) {
	if !n.healthy() || !n.voter(v) {
		return
	}
	n.note("lost disk")
	n.replace(v)
}

func (n *nemesis) replace(v *vm) {
	n.lost = v
	n.s.stop(v, true)
	n.s.after(time.Duration(n.s.r.IntN(1000))*time.Millisecond, func() { n.s.replace(v) })
	n.watch(v)
}

// watch waits until a replaced VM votes again, and may then lose a second VM at once.
func (n *nemesis) watch(v *vm) {
	s := n.s
	s.after(5*time.Millisecond, func() {
		if v.process == nil || !n.voter(v) {
			n.watch(v)
			return
		}
		n.lost = nil
		if n.second == 0 || s.r.IntN(2) == 0 {
			return
		}
		n.second--
		n.note("second VM lost right after the repair")
		others := slices.DeleteFunc(slices.Clone(s.vms), func(o *vm) bool { return o == v || !n.voter(o) })
		n.replace(others[s.r.IntN(len(others))])
	})
}

// voter returns whether the running folder of a VM is a committed voter at the leader.
func (n *nemesis) voter(v *vm) bool {
	l := n.s.leader()
	if l == nil || v.process == nil {
		return false
	}
	view := l.process.View(n.s.now)
	return view.Commit == view.LastIndex && slices.Contains(view.Membership.Voters, v.process.ID())
}

// member lets a VM join or leave.
func (n *nemesis) member(v *vm) {
	s := n.s
	l := s.leader()
	switch {
	case n.extra > 0 && s.r.IntN(2) == 0:
		n.extra--
		n.note("join")
		s.start(s.add("d"+string(rune('0'+n.extra)), true))
	case s.voters == 0 && l != nil && n.lost == nil && v.process != nil && len(l.process.View(s.now).Membership.Voters) > 3 && n.voter(v):
		n.note("leave")
		cmd := replica.Command{Kind: replica.Leave, Member: replica.Member{ID: v.process.ID()}}
		s.call(l, func(token uint64) consensus.Input { return consensus.Propose{Token: token, Command: cmd} }, func(consensus.Outcome) {})
	}
}
