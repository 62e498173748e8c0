package rule

import (
	"time"
)

// Set is the compiled form of one accepted rule file; it is immutable after Parse.
type Set struct {
	Revision     uint64 // consensus revision at which the text came into force
	ChangeNumber uint64 `json:"Number"` // number on the change line
	Zones        map[string]Zone
	Services     map[string]Service
	BackendsOut  map[string]bool `json:"Backends"` // back ends taken out, by name

	Routes         []Route       `json:",omitempty"`
	Pools          []Pool        `json:",omitempty"`
	CallerLimits   *CallerLimits `json:"Bound,omitempty"`
	EvacuatedZones []string      `json:"Evacuated,omitempty"` // zones taken out by evacuate

	routes []route
	lookup map[hostPath]*Route
	pools  map[string]Pool
}

// Zone is one availability zone.
type Zone struct {
	Name   string
	Region string
	Out    bool
}

// Service is everything the rules say about one service; zero limits mean the defaults below.
type Service struct {
	Name               string
	Host               string         // empty: any host
	PathPrefix         string         `json:"Path"` // prefix, at least "/"
	IdempotentRequests []RequestMatch `json:"Idempotent"`
	Slots              int
	MaxConnections     int `json:"Connections"`
	QueueLength        int `json:"Queue"`
	Deadline           time.Duration
	RetryRatio         Ratio `json:"Retry"` // extra attempts per call
	HedgeRatio         Ratio `json:"Hedge"` // hedged attempts per call
	HedgeQuantile      Ratio `json:"After"` // latency quantile after which a hedge starts
	ProbeShare         Ratio `json:"Probe"` // share of slot time that probes may take
	ColdSlots          int   `json:"Cold"`  // requests at once that a cold back end may get
	SpillThreshold     Ratio `json:"Spill"` // zone load above which calls spill to other zones
	Priorities         []PathPriority

	full bool // defaults are filled in, so that a zero is meant
}

// RequestMatch is a set of methods under a path prefix.
type RequestMatch struct {
	Methods    []string
	PathPrefix string `json:"Path"`
}

// PathPriority assigns a level to a path prefix.
type PathPriority struct {
	Priority   Priority `json:"Level"`
	PathPrefix string   `json:"Path"`
}

// Ratio is a share between 0 and 1.
type Ratio float64

// Defaults for rules that a service does not set.
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
