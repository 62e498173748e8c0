package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"pollenhill.example/control/daemon"
	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/control/controlconnect"
)

// paddedRuleText returns a rule file of nearly the largest size, so that few changes lead to a snapshot.
func paddedRuleText(number uint64) string {
	return ruleText(number) + strings.Repeat("# nothing is said in this line\n", 30_000)
}

// submitUntilSnapshot submits large changes to process i until it has a snapshot, and returns the number of the last one and its
// revision.
func (c *cluster) submitUntilSnapshot(t *testing.T, i int) (number, revision uint64) {
	t.Helper()
	for c.snapshotIndex(t, i) == 0 && number < 100 {
		number++
		revision = c.submitUntilAccepted(t, i, number, paddedRuleText(number))
		awaitApplied(t, c.daemons[i], revision)
	}
	return number, revision
}

// snapshotIndex returns the log index of the snapshot in the data folder of process i, 0 if it has none.
func (c *cluster) snapshotIndex(t *testing.T, i int) uint64 {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(c.settings[i].DataDir, "snapshot-*[0-9a-f]"))
	if err != nil || len(files) == 0 {
		return 0
	}
	_, number, _ := strings.Cut(filepath.Base(files[len(files)-1]), "-")
	index, err := strconv.ParseUint(number, 16, 64)
	if err != nil {
		t.Fatal(err)
	}
	return index
}

// claimUntilSnapshot claims idempotency keys at process i until it has a snapshot of a revision or a later one.
func (c *cluster) claimUntilSnapshot(t *testing.T, i int, revision uint64) {
	t.Helper()
	rpc := dialControl(t, c.settings[i])
	for n := 0; c.snapshotIndex(t, i) < revision && n < 1000; n++ {
		key := fmt.Sprint(n) + strings.Repeat("k", 50_000)
		if _, err := rpc.Claim(t.Context(), connect.NewRequest(&control.ClaimRequest{Service: "booking", Key: key, Attempt: "a"})); err != nil {
			t.Fatal(err)
		}
	}
}

// newClusterWithSnapshot returns a cluster, its leader, which has a snapshot with the rules in force, and their change number.
func newClusterWithSnapshot(t *testing.T) (c *cluster, leader int, number uint64) {
	t.Helper()
	c = newCluster(t, 3)
	leader = c.waitLeader(t)
	c.waitAllCurrent(t)
	number, revision := c.submitUntilSnapshot(t, leader)
	c.claimUntilSnapshot(t, leader, revision)
	return c, leader, number
}

// awaitApplied waits until a process has applied the entry at index.
func awaitApplied(t *testing.T, d *daemon.Daemon, index uint64) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for d.View().AppliedIndex < index {
		select {
		case <-poll.C:
		case <-timeout:
			t.Fatalf("entry %d is not applied", index)
		}
	}
}

func (c *cluster) stopAll() {
	for _, stop := range c.stops {
		stop()
	}
}

// dialControl returns a client of a control process, whose connections are closed when the test ends.
func dialControl(t *testing.T, s daemon.Settings) controlconnect.ControlClient {
	t.Helper()
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: p}
	t.Cleanup(transport.CloseIdleConnections)
	return controlconnect.NewControlClient(&http.Client{Transport: transport}, "http://"+s.Listen.String())
}

// rulesFor returns the first rules that a process sends to a node without rules within the given number of heartbeats, or nil.
func rulesFor(t *testing.T, s daemon.Settings, heartbeats int) *control.Rules {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	in, err := dialControl(t, s).Watch(ctx, connect.NewRequest(&control.WatchRequest{Node: "starting", Zone: s.Zone, Region: s.Region}))
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	for heartbeats > 0 && in.Receive() {
		if rules := in.Msg().GetRules(); rules != nil {
			return rules
		}
		if in.Msg().GetBeat() != nil {
			heartbeats--
		}
	}
	if heartbeats > 0 {
		t.Fatalf("the stream has ended: %v", in.Err())
	}
	return nil
}

// Guards against a process that starts and gives nodes the rules of its snapshot although its log holds newer ones (review/14): they
// may have been replaced hundreds of acknowledged changes ago. It gives the newest ones as soon as it knows them.
func TestStartingProcessGivesNoRulesOlderThanItsLog(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.waitLeader(t)
	c.waitAllCurrent(t)
	number, _ := c.submitUntilSnapshot(t, leader)
	number++
	c.submitUntilAccepted(t, leader, number, ruleText(number))
	c.stopAll()

	c.start(t, leader)
	if rules := rulesFor(t, c.settings[leader], 4); rules != nil {
		t.Errorf("a process without contact to the others gave the rules of change %d, its log has change %d", rules.GetNumber(), number)
	}
	node := startClient(t, "n", c.servers()...)
	c.start(t, (leader+1)%len(c.daemons))
	got := awaitState(t, node, "rules", func(s *follow.State) bool { return s.Revision > 0 })
	if got.RulesText != ruleText(number) {
		t.Errorf("the first rules of a starting node are %.40q, want change %d", got.RulesText, number)
	}
}

// Guards against nodes that wait for a leader although nothing is newer than the rules that a starting process has: a region that
// is cut off goes on with them. After the snapshot, the log of the process has claims only.
func TestStartingProcessGivesItsNewestRulesWithoutLeader(t *testing.T) {
	c, leader, number := newClusterWithSnapshot(t)
	c.stopAll()

	c.start(t, leader)
	if rules := rulesFor(t, c.settings[leader], 20); rules.GetNumber() != number {
		t.Errorf("a process without contact to the others gave change %d, want change %d", rules.GetNumber(), number)
	}
}

// Guards against nodes that wait for a leader because a group has sent a change again while its commit was slow: the log of the
// process has the change in force once more, after the snapshot that holds it.
func TestStartingProcessGivesItsNewestRulesDespiteRepeatedChange(t *testing.T) {
	c, leader, number := newClusterWithSnapshot(t)
	last := c.daemons[leader].View().AppliedIndex
	c.submitUntilAccepted(t, leader, number, paddedRuleText(number))
	awaitApplied(t, c.daemons[leader], last+1)
	c.stopAll()

	c.start(t, leader)
	if rules := rulesFor(t, c.settings[leader], 20); rules.GetNumber() != number {
		t.Errorf("a process whose log has change %d again gave change %d", number, rules.GetNumber())
	}
}
