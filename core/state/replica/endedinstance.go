package replica

import (
	"slices"
	"time"

	"pollenhill.example/core/state/protofield"
)

// EndedInstanceLifetime is how long the end of an instance is kept. Heartbeats that the network holds up are seconds late; a
// node may stay cut off for hours before it restarts.
const EndedInstanceLifetime = 24 * time.Hour

// MaxEndedInstances is the number of ended instances that are kept; at the target size, 2,900 instances end in a release of
// all services.
const MaxEndedInstances = 16384

// endedInstance is an instance of a back end that drains or has deregistered, and so gets no more requests.
type endedInstance struct {
	node        string // beside the back end
	id          string
	startMillis int64 // newest start that has ended under the ID, in Unix milliseconds
	endedAt     int64 // Replica.stateTime of the end, in Unix milliseconds
}

// endInstance records that the instances beside a node with an ID and a start up to the given one have ended.
func (r *Replica) endInstance(c Command) Result {
	r.expireEndedInstances()
	ended := endedInstance{node: c.Node, id: c.InstanceID, startMillis: c.StartMillis, endedAt: r.stateTime}
	if i := r.findEndedInstance(c.Node, c.InstanceID); i >= 0 {
		ended.startMillis = max(ended.startMillis, r.endedInstances[i].startMillis)
		r.endedInstances = slices.Delete(r.endedInstances, i, i+1)
	}
	r.endedInstances = append(r.endedInstances, ended)
	if len(r.endedInstances) > MaxEndedInstances {
		r.endedInstances = r.endedInstances[1:]
	}
	return Result{Verdict: VerdictStored}
}

// expireEndedInstances removes the ends that are older than EndedInstanceLifetime.
func (r *Replica) expireEndedInstances() {
	oldest := r.stateTime - EndedInstanceLifetime.Milliseconds()
	kept := slices.IndexFunc(r.endedInstances, func(e endedInstance) bool { return e.endedAt >= oldest })
	if kept < 0 {
		kept = len(r.endedInstances)
	}
	r.endedInstances = r.endedInstances[kept:]
}

// findEndedInstance returns the index of the end of an instance, or -1.
func (r *Replica) findEndedInstance(node, id string) int {
	return slices.IndexFunc(r.endedInstances, func(e endedInstance) bool { return e.node == node && e.id == id })
}

// EndedInstance returns the newest start, in Unix milliseconds, of the instances beside a node that have ended under an ID, and false if none
// is known.
func (r *Replica) EndedInstance(node, id string) (startMillis int64, ended bool) {
	i := r.findEndedInstance(node, id)
	if i < 0 {
		return 0, false
	}
	return r.endedInstances[i].startMillis, true
}

func (e endedInstance) write(w *protofield.Writer) {
	w.String(1, e.node)
	w.String(2, e.id)
	w.Int(3, e.startMillis)
	w.Int(4, e.endedAt)
}

func (e *endedInstance) parse(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			e.node = f.Text()
		case 2:
			e.id = f.Text()
		case 3:
			e.startMillis = f.Int()
		case 4:
			e.endedAt = f.Int()
		}
		return nil
	})
}
