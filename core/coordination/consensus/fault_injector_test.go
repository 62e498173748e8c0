package consensus_test

import (
	"slices"
	"time"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/state/replica"
)

// faultInjector injects random faults one after the other.
type faultInjector struct {
	s            *sim
	counts       map[string]int // injected faults, by name
	replacing    *vm            // VM with a lost or damaged disk that is not a voter again yet
	secondLosses int            // how many more VMs may be lost right after a repair
	joinsLeft    int            // how many more members may join
	endAt        time.Time
}

func (f *faultInjector) scheduleNext() {
	s := f.s
	if s.now.After(f.endAt) {
		return
	}
	s.after(time.Duration(100+s.r.IntN(600))*time.Millisecond, func() {
		f.injectRandom()
		f.scheduleNext()
	})
}

func (f *faultInjector) injectRandom() {
	s := f.s
	v := s.vms[s.r.IntN(len(s.vms))]
	switch s.r.IntN(13) {
	case 12:
		f.count("pause")
		s.pause(v, time.Duration(s.r.IntN(2000))*time.Millisecond)
	case 0, 1:
		f.count("power loss")
		f.crashAndRestart(v, true)
	case 2:
		f.count("process kill")
		f.crashAndRestart(v, false)
	case 3:
		f.count("partition")
		f.isolate(v, true, true)
	case 4:
		f.count("one-way partition")
		f.isolate(v, s.r.IntN(2) == 0, false)
	case 5:
		f.count("random partition")
		f.partitionRandomly()
	case 6:
		f.count("loss, repeats and reordering")
		s.lossRate, s.repeatRate = s.r.Float64()*0.4, s.r.Float64()*0.3
		s.maxDelay = time.Duration(1+s.r.IntN(150)) * time.Millisecond
		s.after(time.Second, func() { s.lossRate, s.repeatRate, s.maxDelay = 0, 0, 3*time.Millisecond })
	case 7:
		f.count("full disk")
		v.disk.LimitSpace(s.r.IntN(2000))
	case 8:
		f.count("failed sync")
		v.disk.FailSyncAfter(s.r.IntN(8))
	case 9:
		f.flipBit(v)
	case 10:
		f.loseDisk(v)
	case 11:
		f.joinOrLeave(v)
	}
}

func (f *faultInjector) count(name string) { f.counts[name]++ }

func (f *faultInjector) crashAndRestart(v *vm, powerLoss bool) {
	s := f.s
	if v.process == nil {
		return
	}
	s.stop(v, powerLoss)
	s.after(time.Duration(s.r.IntN(1500))*time.Millisecond, func() { s.start(v) })
}

// isolate drops what a VM sends, what it receives, or both.
func (f *faultInjector) isolate(v *vm, out, in bool) {
	f.cutLinks(func(from, to string) bool { return out && from == v.name || in && to == v.name })
}

func (f *faultInjector) partitionRandomly() {
	side := map[string]bool{}
	for _, v := range f.s.vms {
		side[v.name] = f.s.r.IntN(2) == 0
	}
	f.cutLinks(func(from, to string) bool { return side[from] != side[to] })
}

func (f *faultInjector) cutLinks(drop func(from, to string) bool) {
	s := f.s
	for _, a := range s.vms {
		for _, b := range s.vms {
			if drop(a.name, b.name) {
				s.cutLinks[[2]string{a.name, b.name}] = true
			}
		}
	}
	maxMillis := 2500
	if s.maxVoters > 0 {
		maxMillis = 6000 // long enough for an unresponsive voter to be replaced
	}
	s.after(time.Duration(s.r.IntN(maxMillis))*time.Millisecond, func() { s.cutLinks = map[[2]string]bool{} })
}

// canLoseDisk reports whether one disk may be lost: no other is, the group has at least three voters and, if operators
// choose the members, no learners, and everything is committed.
func (f *faultInjector) canLoseDisk() bool {
	leader := f.s.leader()
	if f.replacing != nil || leader == nil {
		return false
	}
	view := leader.process.View(f.s.now)
	noLearners := len(view.Membership.Learners) == 0 || f.s.maxVoters > 0
	return len(view.Membership.Voters) >= 3 && noLearners && view.Commit == view.LastIndex
}

// flipBit flips a bit in the log of a VM. The process must refuse to start from it and is then replaced.
func (f *faultInjector) flipBit(v *vm) {
	if !f.canLoseDisk() || v.process == nil || !f.isCommittedVoter(v) {
		return
	}
	f.s.stop(v, false)
	if !v.disk.FlipRandomBit("log-") {
		return
	}
	f.count("flipped bit")
	v.damaged = true
	f.replacing = v
	f.s.after(time.Duration(f.s.r.IntN(1000))*time.Millisecond, func() { f.s.start(v) })
	f.awaitRepair(v)
}

// loseDisk replaces a VM by one with an empty disk.
func (f *faultInjector) loseDisk(v *vm) {
	if !f.canLoseDisk() || !f.isCommittedVoter(v) {
		return
	}
	f.count("lost disk")
	f.replace(v)
}

func (f *faultInjector) replace(v *vm) {
	f.replacing = v
	f.s.stop(v, true)
	f.s.after(time.Duration(f.s.r.IntN(1000))*time.Millisecond, func() { f.s.replace(v) })
	f.awaitRepair(v)
}

// awaitRepair waits until a replaced VM is a voter again, and may then lose a second VM immediately.
func (f *faultInjector) awaitRepair(v *vm) {
	s := f.s
	s.after(5*time.Millisecond, func() {
		if v.process == nil || !f.isCommittedVoter(v) {
			f.awaitRepair(v)
			return
		}
		f.replacing = nil
		if f.secondLosses == 0 || s.r.IntN(2) == 0 {
			return
		}
		f.secondLosses--
		f.count("second VM lost right after the repair")
		others := slices.DeleteFunc(slices.Clone(s.vms), func(o *vm) bool { return o == v || !f.isCommittedVoter(o) })
		f.replace(others[s.r.IntN(len(others))])
	})
}

// isCommittedVoter reports whether the running process of a VM is a voter in a membership that the leader has committed.
func (f *faultInjector) isCommittedVoter(v *vm) bool {
	leader := f.s.leader()
	if leader == nil || v.process == nil {
		return false
	}
	view := leader.process.View(f.s.now)
	return view.Commit == view.LastIndex && slices.Contains(view.Membership.Voters, v.process.ID())
}

// joinOrLeave lets a new VM join, or proposes that the given one leaves.
func (f *faultInjector) joinOrLeave(v *vm) {
	s := f.s
	leader := s.leader()
	switch {
	case f.joinsLeft > 0 && s.r.IntN(2) == 0:
		f.joinsLeft--
		f.count("join")
		s.start(s.add("d"+string(rune('0'+f.joinsLeft)), true))
	case s.maxVoters == 0 && leader != nil && f.replacing == nil && v.process != nil &&
		len(leader.process.View(s.now).Membership.Voters) > 3 && f.isCommittedVoter(v):
		f.count("leave")
		cmd := replica.Command{Kind: replica.CommandLeave, Member: replica.Member{ID: v.process.ID()}}
		s.call(leader, func(token uint64) consensus.Input { return consensus.Propose{Token: token, Command: cmd} }, func(consensus.Outcome) {})
	}
}
