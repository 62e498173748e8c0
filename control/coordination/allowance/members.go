package allowance

import "time"

// SetMembers takes the names of the nodes that are in the directory.
func (l *Ledger) SetMembers(now time.Time, names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, at := range l.left {
		if now.Sub(at) >= leftPeriod {
			delete(l.left, name)
		}
	}
	for _, name := range names {
		if _, left := l.left[name]; !left {
			l.seen[name] = now
		}
	}
	l.absent = 0
	for name, at := range l.seen {
		switch {
		case now.Sub(at) >= AbsentPeriod:
			delete(l.seen, name)
		case now.After(at):
			l.absent++
		}
	}
}

// NodeLeft notes that a node has announced its end, after which it admits nothing and needs no share.
func (l *Ledger) NodeLeft(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markLeft(now, name)
}

func (l *Ledger) markLeft(now time.Time, name string) {
	l.left[name] = now
	delete(l.seen, name)
}
