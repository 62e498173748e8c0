package model

// Simulate runs one experiment; equal runs give equal results.
func Simulate(run RunConfig) *Result {
	w := newWorld(run)
	r := w.result
	start := w.now
	r.from = start.Add(warmUp)
	if run.Fault.apply != nil {
		r.fault = start.Add(faultAt)
		run.Fault.apply(w)
	}
	r.MeasuredTime = runEnd - warmUp
	w.arrive(start.Add(runEnd))
	w.until(start.Add(runEnd + deadline))
	for _, b := range w.backends {
		r.OverColdLimit += b.over
		r.OverDetectableColdLimit += b.known
		r.LateStartsInRemovedZone += b.tail
	}
	for _, d := range w.dests {
		r.MaxProbeTime = max(r.MaxProbeTime, d.probe.most())
	}
	return r
}
