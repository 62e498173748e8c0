package replica_test

import (
	"strconv"
	"testing"
	"time"

	"pollenhill.example/core/state/replica"
)

func endCommand(node, id string, startMillis int64, at time.Duration) replica.Command {
	return replica.Command{Kind: replica.CommandEndInstance, Node: node, InstanceID: id, StartMillis: startMillis, ProposedAt: baseTime.Add(at)}
}

// Guards against the end of an instance that is forgotten by a snapshot, by a later end of an older start, or before its
// lifetime is over, and against one that holds for another node.
func TestEndedInstanceIsKept(t *testing.T) {
	r := replica.New(replica.Config{})
	r.Apply(1, endCommand("n1", "i", 7, 0))
	r.Apply(2, endCommand("n1", "i", 5, time.Second))
	r.Apply(3, endCommand("n1", "j", 1, replica.EndedInstanceLifetime))
	r, err := replica.Restore(replica.Config{}, r.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if start, ended := r.EndedInstance("n1", "i"); !ended || start != 7 {
		t.Errorf("end of i: start %d, %v, want 7", start, ended)
	}
	if _, ended := r.EndedInstance("n2", "i"); ended {
		t.Error("the end holds for another node")
	}
	r.Apply(4, endCommand("n1", "k", 1, replica.EndedInstanceLifetime+2*time.Second))
	if _, ended := r.EndedInstance("n1", "i"); ended {
		t.Error("the end is kept beyond its lifetime")
	}
}

// Guards against an unbounded number of ended instances, and against the newest ones being dropped first.
func TestEndedInstancesAreBounded(t *testing.T) {
	r := replica.New(replica.Config{})
	for i := range replica.MaxEndedInstances + 1 {
		r.Apply(uint64(i+1), endCommand("n", strconv.Itoa(i), 1, 0))
	}
	_, oldest := r.EndedInstance("n", "0")
	_, newest := r.EndedInstance("n", strconv.Itoa(replica.MaxEndedInstances))
	if oldest || !newest {
		t.Errorf("oldest kept %v, newest kept %v", oldest, newest)
	}
}
