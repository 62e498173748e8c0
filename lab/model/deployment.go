package model

import "time"

// Deployment is a set of zones with the upstreams of one service; sizes are those of the design page.
type Deployment struct {
	Name             string
	Zones            int
	Regions          int
	InterZoneLatency time.Duration // one way between zones
	Backends         int
	Slots            int
	EntryNodes       int // entry nodes that send to the service
}

const (
	inZone   = 100 * time.Microsecond // one way between VMs of a zone
	inRegion = 5 * time.Millisecond   // one way between regions
)

// Deployments lists the services that the experiments cover. The sampled service of the target gets
// its calls from many entry nodes, each of which sees few of them.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "booking", Zones: 3, Regions: 1, InterZoneLatency: time.Millisecond, Backends: 6, Slots: 12, EntryNodes: 10},
		{Name: "records", Zones: 3, Regions: 1, InterZoneLatency: time.Millisecond, Backends: 4, Slots: 12, EntryNodes: 10},
		{Name: "desk", Zones: 4, Regions: 1, InterZoneLatency: time.Millisecond, Backends: 7, Slots: 17, EntryNodes: 11},
		{Name: "drawings", Zones: 4, Regions: 1, InterZoneLatency: time.Millisecond, Backends: 4, Slots: 17, EntryNodes: 11},
		{Name: "sampled", Zones: 4, Regions: 2, InterZoneLatency: time.Millisecond, Backends: 26, Slots: 12, EntryNodes: 104},
	}
}

// capacity returns the calls per second of all upstreams at full speed.
func (d Deployment) capacity() float64 {
	return float64(d.Backends*d.Slots) / meanDemand.Seconds()
}

// place is where a VM stands.
type place struct{ zone, region string }

func (d Deployment) place(i int) place {
	return place{
		zone:   "z" + string(rune('a'+i%d.Zones)),
		region: "r" + string(rune('a'+i%d.Zones%d.Regions)),
	}
}

func (d Deployment) delay(a, b place) time.Duration {
	switch {
	case a.region != b.region:
		return inRegion
	case a.zone != b.zone:
		return d.InterZoneLatency
	}
	return inZone
}
