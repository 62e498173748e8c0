package main

import (
	"errors"
	"os"
	"sync"
	"time"
)

// Sizes of the case.
const (
	memoryLimitMB   = 280  // of a control process
	memoryRoutes    = 1405 // five and the 1,400 that one growth of the table adds
	memoryChanges   = 315  // whole tables, each a little different
	maxChangesTime  = 55 * time.Second
	downTime        = 500 * time.Millisecond // of all control processes
	readTime        = 45 * time.Second       // after they are back: three times the time in which the system recovers
	impairmentEnd   = time.Second            // ends of a process within this time of a kill have a cause outside
	endsThatCount   = 3                      // of one process
	policeInterval  = 20 * time.Millisecond
	firstTableLimit = 10 * time.Second
)

// platform watches the control processes: it ends those that use too much memory, and starts those that have ended.
type platform struct {
	processes []*process
	rec       *record

	mu     sync.Mutex
	paused bool           // the case itself ends and starts processes
	back   time.Time      // when all processes were started again after the kill
	ends   map[string]int // ends by themselves, by process
	peakMB int
}

func (p *platform) watch(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(policeInterval):
		}
		p.mu.Lock()
		for _, proc := range p.processes {
			if !p.paused {
				p.check(proc)
			}
		}
		p.mu.Unlock()
	}
}

// check ends or starts one process; the caller holds mu.
func (p *platform) check(proc *process) {
	if proc.ended() {
		if proc.age() > restartDelay {
			_ = proc.start()
		}
		return
	}
	mb := proc.peakMB()
	p.peakMB = max(p.peakMB, mb)
	if mb <= memoryLimitMB {
		return
	}
	age := proc.age()
	proc.kill()
	counts := time.Since(p.back) > impairmentEnd
	if counts {
		p.ends[proc.name]++
	}
	p.rec.line("%s has used %d MB, %v after its start: the platform kills it (counts: %v)", proc.name, mb, age.Round(time.Millisecond), counts)
	go func() {
		time.Sleep(restartDelay)
		p.mu.Lock()
		defer p.mu.Unlock()
		if proc.ended() {
			_ = proc.start()
		}
	}()
}

// killAll ends all processes at the same moment and starts them again.
func (p *platform) killAll() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proc := range p.processes {
		proc.kill()
	}
	time.Sleep(downTime)
	for _, proc := range p.processes {
		if err := proc.start(); err != nil {
			return err
		}
	}
	p.back = time.Now()
	return nil
}

// broken reports whether half of the control processes have ended by themselves three times.
func (p *platform) broken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, proc := range p.processes {
		p.rec.line("%s: ended by itself %d times, %d starts", proc.name, p.ends[proc.name], proc.starts)
		if p.ends[proc.name] >= endsThatCount {
			n++
		}
	}
	p.rec.line("most memory seen: %d MB", p.peakMB)
	return 2*n >= len(p.processes)
}

// runMemory sends some hundred whole tables, kills all control processes at the same moment and reads the table back.
func runMemory(o options) (int, error) {
	folder, err := newWorkFolder()
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(folder)
	processes, addresses, err := controlProcesses(o, folder, 3)
	if err != nil {
		return exitNotRun, err
	}
	op, err := newOperator(o.names, addresses)
	if err != nil {
		return exitNotRun, err
	}
	plat := &platform{processes: processes, rec: o.record, ends: map[string]int{}}
	for _, p := range processes {
		defer p.stop()
		if err := p.start(); err != nil {
			return exitNotRun, err
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { plat.watch(stop) })
	defer wg.Wait()
	defer close(stop)
	if !op.change(1, memoryRoutes, time.Now().Add(firstTableLimit)) {
		return exitNotRun, errors.New("no control process acknowledged the first table")
	}
	acked := 1
	end := time.Now().Add(maxChangesTime)
	for acked < memoryChanges && op.change(acked+1, memoryRoutes, end) {
		if acked++; acked%25 == 0 {
			o.record.line("version %d of %d bytes is acknowledged", acked, len(op.table(acked, memoryRoutes, memoryRoutes-1)))
		}
	}
	if acked < memoryChanges {
		return exitNotRun, errors.New("the changes took too long")
	}
	if o.trouble {
		o.record.line("all control processes are killed")
		if err := plat.killAll(); err != nil {
			return exitNotRun, err
		}
		o.record.line("all control processes are started again")
	}
	read := readBack(o, op, acked)
	if plat.broken() {
		o.record.line("FAULT: half of the control processes ended by themselves three times")
		return exitBroken, nil
	}
	if read != acked {
		o.record.line("CONFIG: version %d was acknowledged and does not come", acked)
		return exitBroken, nil
	}
	return exitHeld, nil
}

// readBack reads the table for readTime and returns the version of the last answer, 0 if none came in the last quarter of it.
func readBack(o options, op *operator, acked int) int {
	start := time.Now()
	last, answers := 0, 0
	for time.Since(start) < readTime {
		if v := op.read(); v > 0 {
			if answers++; answers == 1 || v != last {
				o.record.line("the table reads as version %d", v)
			}
			last = v
		} else if time.Since(start) > readTime*3/4 {
			last = 0
		}
		time.Sleep(200 * time.Millisecond)
	}
	o.record.line("%d reads of the table were answered within %v; acknowledged is version %d", answers, readTime, acked)
	return last
}
