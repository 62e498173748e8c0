package model

import "time"

// Deployment is a set of zones with the back ends of one service; the sizes come from the design page.
type Deployment struct {
	Name             string
	Zones            int
	Regions          int
	InterZoneLatency time.Duration // one way between zones
	Backends         int
	Slots            int // concurrency limit of each back end
	EntryNodes       int // entry nodes that send to the service
}

const (
	intraZoneLatency   = 100 * time.Microsecond // one way between VMs of a zone
	interRegionLatency = 5 * time.Millisecond   // one way between regions
)

// Deployments lists the services that the experiments cover. The service "sampled" gets
// its calls from many entry nodes, each of which handles few of them.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "booking", Zones: 3, Regions: 1, InterZoneLatency: time.Millisecond, Backends: 6, Slots: 12, EntryNodes: 10},
		{Name: "records", Zones: 3, Regions: 1, InterZoneLatency: time.Millisecond, Backends: 4, Slots: 12, EntryNodes: 10},
		{Name: "desk", Zones: 4, Regions: 1, InterZoneLatency: time.Millisecond, Backends: 7, Slots: 17, EntryNodes: 11},
		{Name: "drawings", Zones: 4, Regions: 1, InterZoneLatency: time.Millisecond, Backends: 4, Slots: 17, EntryNodes: 11},
		{Name: "sampled", Zones: 4, Regions: 2, InterZoneLatency: time.Millisecond, Backends: 26, Slots: 12, EntryNodes: 104},
	}
}

// capacity returns the calls per second of all back ends without slowdown.
func (d Deployment) capacity() float64 {
	return float64(d.Backends*d.Slots) / meanDemand.Seconds()
}

// location is the zone and region of a VM.
type location struct{ zone, region string }

// location returns the location of VM i; VMs are spread over the zones in turn, and zones over the regions.
func (d Deployment) location(i int) location {
	return location{
		zone:   "z" + string(rune('a'+i%d.Zones)),
		region: "r" + string(rune('a'+i%d.Zones%d.Regions)),
	}
}

// latency returns the one-way network latency between two locations.
func (d Deployment) latency(a, b location) time.Duration {
	switch {
	case a.region != b.region:
		return interRegionLatency
	case a.zone != b.zone:
		return d.InterZoneLatency
	}
	return intraZoneLatency
}
