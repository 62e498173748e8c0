package model

import (
	"container/heap"
	"time"
)

// eventLoop runs events in the order of their virtual times; events at the same time run in the order of creation.
type eventLoop struct {
	now     time.Time
	events  eventQueue
	lastSeq uint64
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(v any) { *q = append(*q, v.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

func (l *eventLoop) after(d time.Duration, run func()) {
	l.lastSeq++
	heap.Push(&l.events, event{at: l.now.Add(d), seq: l.lastSeq, run: run})
}

// runUntil runs the events up to and including end and sets the virtual time to end.
func (l *eventLoop) runUntil(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}
