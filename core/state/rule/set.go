package rule

import (
	"time"
)

// Set is the compiled form of one accepted rule file; it is immutable after Parse.
type Set struct {
	Revision uint64 // consensus revision at which the text came into force
	Number   uint64 // number on the change line
	Zones    map[string]Zone
	Services map[string]Service
	Backends map[string]bool // back ends taken out, by name

	Routes    []Route  `json:",omitempty"`
	Pools     []Pool   `json:",omitempty"`
	Bound     *Bound   `json:",omitempty"`
	Evacuated []string `json:",omitempty"` // zones taken out by evacuate

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
	Name        string
	Host        string // empty: any host
	Path        string // prefix, at least "/"
	Idempotent  []Match
	Slots       int
	Connections int
	Queue       int
	Deadline    time.Duration
	Retry       Ratio // extra attempts per call
	Hedge       Ratio // hedged attempts per call
	After       Ratio // latency quantile after which a hedge starts
	Probe       Ratio // share of slot time that probes may take
	Cold        int   // requests at once that a cold back end may get
	Spill       Ratio // zone load above which calls spill to other zones
	Priorities  []Priority

	full bool // defaults are filled in, so that a zero is meant
}

// Match is a set of methods under a path prefix.
type Match struct {
	Methods []string
	Path    string
}

// Priority assigns a level to a path prefix.
type Priority struct {
	Level Level
	Path  string
}

// Ratio is a share between 0 and 1.
type Ratio float64

// Defaults for rules that a service does not set.
const (
	DefaultSlots       = 12
	DefaultConnections = 240
	DefaultQueue       = 24
	DefaultDeadline    = 2 * time.Second
	DefaultRetry       = Ratio(0.1)
	DefaultHedge       = Ratio(0.05)
	DefaultAfter       = Ratio(0.95)
	DefaultProbe       = Ratio(0.01)
	DefaultCold        = 2
	DefaultSpill       = Ratio(0.8)
)
