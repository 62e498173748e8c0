package model

import (
	"container/heap"
	"time"
)

// loop runs events in the order of their virtual times; events of one time run in order of creation.
type loop struct {
	now    time.Time
	events events
	next   uint64
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(v any) { *e = append(*e, v.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

func (l *loop) after(d time.Duration, run func()) {
	l.next++
	heap.Push(&l.events, event{at: l.now.Add(d), seq: l.next, run: run})
}

func (l *loop) until(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}
