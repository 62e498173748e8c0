package rule

import "time"

// Set is the compiled form of one accepted rule file; only Revision changes after Parse.
type Set struct {
	Revision     uint64 // consensus revision at which the rules came into force; Parse leaves it 0
	ChangeNumber uint64 `json:"Number"` // from the change line
	Zones        map[string]Zone
	Services     map[string]Service
	BackendsOut  map[string]bool `json:"Backends"` // back ends out of service, by name

	Routes         []Route       `json:",omitempty"`
	Pools          []Pool        `json:",omitempty"`
	CallerLimits   *CallerLimits `json:"Bound,omitempty"`
	Accounts       []Account     `json:",omitempty"`
	Rollouts       []Rollout     `json:",omitempty"`
	EvacuatedZones []string      `json:"Evacuated,omitempty"` // zones that "evacuate" rules take out of service

	serviceRoutes  []serviceRoute // most specific first
	routesByPrefix map[routeKey]*Route
	poolsByName    map[string]Pool
	routesByName   map[string]*Route
	accountsByKey  map[KeyDigest]*Account
	ranksByCost    bool
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
	Out    bool // an "out zone" rule takes the zone out of service
}

// Service holds the rules for one service. In a Set that Parse did not build, a zero limit stands for its default.
type Service struct {
	Name               string
	Host               string         // empty: any host
	PathPrefix         string         `json:"Path"` // at least "/"
	IdempotentRequests []RequestMatch `json:"Idempotent"`
	Slots              int            // concurrency limit of one back end
	MaxConnections     int            `json:"Connections"` // to one back end
	QueueLength        int            `json:"Queue"`       // requests that wait for a slot of one back end
	Deadline           time.Duration  // longest time for a request; its caller may set less
	RetryRatio         Ratio          `json:"Retry"` // bound on extra attempts per call, hedged ones included
	HedgeRatio         Ratio          `json:"Hedge"` // bound on hedged attempts per call
	HedgeQuantile      Ratio          `json:"After"` // latency quantile after which a hedged attempt starts
	ProbeShare         Ratio          `json:"Probe"` // share of the slot time that probes may use
	ColdSlots          int            `json:"Cold"`  // concurrency limit of a cold back end
	SpillThreshold     Ratio          `json:"Spill"` // utilization of the best back end in a node's own zone above which calls may spill over to other zones
	Priorities         []PathPriority

	defaultsApplied bool // the defaults are filled in, so a zero limit was set by a rule
}

// withDefaults returns s with a default for every limit that is zero and not listed in explicit, which has keys such as
// "retry booking". Zero is never valid for the limits that are not looked up in explicit.
func (s Service) withDefaults(explicit map[string]bool) Service {
	isSet := func(key string) bool { return explicit[key+" "+s.Name] }
	if !isSet("slots") && s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if !isSet("connections") && s.MaxConnections == 0 {
		s.MaxConnections = max(DefaultMaxConnections, s.Slots)
	}
	if !isSet("queue") && s.QueueLength == 0 {
		s.QueueLength = DefaultQueueLength
	}
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	if !isSet("retry") && s.RetryRatio == 0 {
		s.RetryRatio = DefaultRetryRatio
	}
	if !isSet("hedge") && s.HedgeRatio == 0 {
		s.HedgeRatio = DefaultHedgeRatio
	}
	if s.HedgeQuantile == 0 {
		s.HedgeQuantile = DefaultHedgeQuantile
	}
	if !isSet("probe") && s.ProbeShare == 0 {
		s.ProbeShare = DefaultProbeShare
	}
	if s.ColdSlots == 0 {
		s.ColdSlots = min(DefaultColdSlots, s.Slots)
	}
	if s.SpillThreshold == 0 {
		s.SpillThreshold = DefaultSpillThreshold
	}
	return s
}

// RequestMatch matches requests by method and path prefix.
type RequestMatch struct {
	Methods    []string
	PathPrefix string `json:"Path"`
}

// PathPriority assigns a priority to the requests below a path prefix.
type PathPriority struct {
	Priority   Priority `json:"Level"`
	PathPrefix string   `json:"Path"`
}

// Ratio is a share from 0 to 1.
type Ratio float64

// Defaults for the limits of a service that no rule sets.
const (
	DefaultSlots          = 12
	DefaultMaxConnections = 240
	DefaultQueueLength    = 24
	DefaultDeadline       = 2 * time.Second
	DefaultRetryRatio     = Ratio(0.1)
	DefaultHedgeRatio     = Ratio(0.05)
	DefaultHedgeQuantile  = Ratio(0.95)
	DefaultProbeShare     = Ratio(0.01)
	DefaultColdSlots      = 2
	DefaultSpillThreshold = Ratio(0.8)
)
