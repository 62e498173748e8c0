package program

// wakeup wakes one goroutine; signals that arrive before it looks are one.
type wakeup chan struct{}

func newWakeup() wakeup { return make(wakeup, 1) }

func (w wakeup) signal() {
	select {
	case w <- struct{}{}:
	default:
	}
}
