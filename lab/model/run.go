package model

// Do runs one experiment; equal runs give equal results.
func Do(run Run) *Result {
	w := newWorld(run)
	r := w.result
	start := w.now
	r.from = start.Add(warmUp)
	if run.Fault.apply != nil {
		r.fault = start.Add(faultAt)
		run.Fault.apply(w)
	}
	r.Measured = runEnd - warmUp
	w.arrive(start.Add(runEnd))
	w.until(start.Add(runEnd + deadline))
	for _, b := range w.backends {
		r.Over += b.over
		r.Known += b.known
		r.Tail += b.tail
	}
	for _, d := range w.dests {
		r.Probe = max(r.Probe, d.probe.most())
	}
	return r
}
