package header

// Names holds the header names of a deployment; an empty name disables the feature that depends on the header.
type Names struct {
	RequestID          string `json:"request"`  // from callers: identifies the request; back ends repeat it in their responses
	Deadline           string `json:"deadline"` // from callers and to back ends: remaining milliseconds
	TargetInstance     string `json:"target"`   // to back ends: the instance that the request is meant for; any other answers 421
	BackendMarker      string `json:"seal"`     // from back ends: present in every response that the back end itself generated
	NotRun             string `json:"refused"`  // from back ends: present if the request was not run
	LoadReport         string `json:"load"`     // from back ends: requests running, requests waiting, slots, and service time in percent of normal
	InstanceID         string `json:"instance"` // from back ends, in responses to health checks: the instance that answers
	RemainingColdStart string `json:"cold"`     // from back ends, in responses to health checks: milliseconds until the cold start ends
	RequestLimit       string `json:"limit"`    // from back ends: requests per second that the instance takes from all nodes together; absent for no limit
	Leaving            string `json:"leaving"`  // from back ends: present if the instance is about to end and must get no new requests
	Account            string `json:"account"`  // to back ends: name of the client account that the request belongs to
	CallerService      string `json:"caller"`   // to back ends: service of the node where the request entered
}
