package admission

import (
	"time"

	"pollenhill.example/core/coordination/servicetime"
)

const (
	failureWeight     = 0.06 // of one request in the moving average of failures
	hungRequestFactor = 4    // multiple of its expected service time after which an aborted request counts as failed
)

// observeFailure updates the failure share, which shows back ends that fail requests while their health checks pass.
func (m *Model) observeFailure(req inflightRequest, msg Done) {
	if req.route == "" {
		return
	}
	failed := 0.0
	switch msg.Result {
	case Aborted:
		expected := time.Duration(float64(m.serviceTimes[req.route]) * max(req.slowdown, servicetime.MeanSlowdown))
		if expected == 0 || msg.Latency < hungRequestFactor*expected {
			return // aborted by the entry node, not because of the back end
		}
		failed = 1
	case Failed, Reset, Shed:
		failed = 1
	case Good:
	}
	m.failureShare += failureWeight * (failed - m.failureShare)
}

// observeServiceTime learns the service time of a route from a good request.
func (m *Model) observeServiceTime(now time.Time, req inflightRequest, latency time.Duration) {
	if req.route == "" {
		return
	}
	observed := time.Duration(float64(latency) / max(req.slowdown, 1)) // at slowdown 1
	expected, known := m.serviceTimes[req.route]
	if known && !req.slowdownReliable {
		return
	}
	if known && m.state == Ready {
		m.saturation.observe(now, float64(observed)/float64(max(expected, 1)), req.inflight, m.limits.Slots)
	}
	m.serviceTimes.Observe(req.route, observed)
}
