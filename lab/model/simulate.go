package model

// Simulate runs one simulation in virtual time; equal configurations give equal results.
func Simulate(run RunConfig) *Result {
	sim := newSimulation(run)
	r := sim.result
	start := sim.now
	r.measuredFrom = start.Add(warmUpEnd)
	if run.Fault.apply != nil {
		r.faultStart = start.Add(faultStart)
		run.Fault.apply(sim)
	}
	r.MeasuredTime = runEnd - warmUpEnd
	sim.generateCalls(start.Add(runEnd))
	sim.runUntil(start.Add(runEnd + callTimeout))
	for _, b := range sim.backends {
		r.OverColdLimit += b.overColdLimit
		r.OverDetectableColdLimit += b.overDetectableColdLimit
		r.LateStartsInRemovedZone += b.lateStartsInRemovedZone
	}
	for _, d := range sim.destinations {
		r.MaxProbeTime = max(r.MaxProbeTime, d.prober.maxProbeTime())
	}
	return r
}
