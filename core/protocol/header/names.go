package header

// Names are header names; an empty one turns off what it is for.
type Names struct {
	RequestID          string `json:"request"`  // identifies a request of a caller; back ends repeat it in their responses
	Deadline           string `json:"deadline"` // remaining milliseconds, from callers and to back ends
	TargetInstance     string `json:"target"`   // to back ends: the instance that a request is meant for; another one answers 421
	BackendMarker      string `json:"seal"`     // from back ends: every response of their own has it
	NotRun             string `json:"refused"`  // from back ends: the request was not run
	LoadReport         string `json:"load"`     // from back ends: running, waiting, slots and percent of the usual service time
	InstanceID         string `json:"instance"` // from back ends, to health checks: the instance that answers
	RemainingColdStart string `json:"cold"`     // from back ends, to health checks: milliseconds that the instance stays cold
	CallerService      string `json:"caller"`   // to back ends: service beside the node where the request entered
}
