package raftgroup_test

import (
	"testing"
	"testing/synctest"

	"pollenhill.example/core/state/replica"
)

// Guards against a member that stops for good when its disk is full for a while, and against one that acknowledges
// entries that it could not write. The other members must go on, and the member must catch up once there is space.
func TestMemberResumesAfterFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newDynamicCluster(t, 3, 3)
		c.submitChange("c1", 1)
		c.disks["c2"].LimitSpace(0)
		c.submitChange("c1", 2)
		c.waitFor("c2 is not current", func() bool { return !c.group("c2").View().Current })
		c.submitChange("c1", 3)
		if err := c.group("c2").Err(); err != nil {
			t.Fatal(err)
		}
		c.disks["c2"].LimitSpace(-1)
		c.waitFor("c2 is current again", func() bool { return c.group("c2").View().Current })
		c.submitChange("c2", 4)
		c.waitFor("c2 catches up", func() bool {
			number := uint64(0)
			c.group("c2").ReadReplica(func(r *replica.Replica) { number = r.Rules().ChangeNumber })
			return number == 4
		})
		c.close()
	})
}
