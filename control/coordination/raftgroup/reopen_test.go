package raftgroup_test

import (
	"testing"
	"testing/synctest"

	"pollenhill.example/core/state/replica"
)

// Guards against a member that ends for good when its disk is full for a while, and against one that acknowledges
// meanwhile: the others go on, and it catches up once there is room.
func TestFullDiskIsWaitedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVoters(t, 3, 3)
		c.change("c1", 1)
		c.disks["c2"].LimitSpace(0)
		c.change("c1", 2)
		c.wait("the full member notices", func() bool { return !c.get("c2").View().Current })
		c.change("c1", 3)
		if err := c.get("c2").Err(); err != nil {
			t.Fatal(err)
		}
		c.disks["c2"].LimitSpace(-1)
		c.wait("it goes on", func() bool { return c.get("c2").View().Current })
		c.change("c2", 4)
		c.wait("it catches up", func() bool {
			number := uint64(0)
			c.get("c2").ReadReplica(func(r *replica.Replica) { number = r.Rules().ChangeNumber })
			return number == 4
		})
		c.close()
	})
}
