package replica

import (
	"slices"

	"pollenhill.example/core/state/protofield"
)

// MaxZoneOrders is the number of zones whose newest order is remembered; the target size has 14 zones.
const MaxZoneOrders = 1024

// zoneOrder is the newest order to evacuate a zone or to put it back, whether it changed anything or not.
type zoneOrder struct {
	zone  string
	index uint64 // log index of the order
}

// ZoneOrder returns the log index of the newest order about a zone, 0 if there is none. An order that was given before a newer
// one must not be carried out after it.
func (r *Replica) ZoneOrder(zone string) uint64 {
	i := slices.IndexFunc(r.zoneOrders, func(o zoneOrder) bool { return o.zone == zone })
	if i < 0 {
		return 0
	}
	return r.zoneOrders[i].index
}

// recordZoneOrder makes an order the newest one about a zone.
func (r *Replica) recordZoneOrder(index uint64, zone string) {
	r.zoneOrders = slices.DeleteFunc(r.zoneOrders, func(o zoneOrder) bool { return o.zone == zone })
	r.zoneOrders = append(r.zoneOrders, zoneOrder{zone: zone, index: index})
	if len(r.zoneOrders) > MaxZoneOrders {
		r.zoneOrders = r.zoneOrders[1:]
	}
}

// recordZoneChanges records the orders that a change of the rule file contains: the zones that are evacuated in one of the two
// lists only.
func (r *Replica) recordZoneChanges(index uint64, before, after []string) {
	for _, zone := range before {
		if !slices.Contains(after, zone) {
			r.recordZoneOrder(index, zone)
		}
	}
	for _, zone := range after {
		if !slices.Contains(before, zone) {
			r.recordZoneOrder(index, zone)
		}
	}
}

func (o zoneOrder) write(w *protofield.Writer) {
	w.String(1, o.zone)
	w.Uint(2, o.index)
}

func (o *zoneOrder) parse(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			o.zone = f.Text()
		case 2:
			o.index = f.Uint
		}
		return nil
	})
}
