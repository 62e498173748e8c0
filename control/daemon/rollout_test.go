package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/observation"
	client "pollenhill.example/node/transport/control"
)

// announceVersion announces a node with one ready back end.
func announceVersion(c *client.Client, node, version string) {
	c.Announce(&control.Member{Node: node, Address: "127.0.0.1:1", Zone: "a", Region: "r", Incarnation: 1, Backends: []*control.Backend{
		{Name: node, Service: "booking", Version: version, Slots: 4, State: control.State_STATE_READY},
	}})
}

// observeUntil sends observations of a back end without a fault until ctx ends.
func observeUntil(ctx context.Context, c *client.Client, node, version string) {
	ticker := time.NewTicker(observation.Interval / 5)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		_ = c.Observe(ctx, &control.Observation{
			Incarnation: 1, Name: node, Service: "booking", Version: version, State: control.State_STATE_READY, Revision: c.State().Revision,
		})
	}
}

// orderRollout repeats an order for a rollout while there is no verdict, as operators do.
func (c *cluster) orderRollout(t *testing.T, i int, target string, within time.Duration) {
	t.Helper()
	const maxTries = 20
	body := fmt.Sprintf(`{"service":"booking","target":%q,"within":%g}`, target, within.Seconds())
	for range maxTries {
		resp, err := http.Post("http://"+c.settings[i].Listen.String()+"/rollouts", "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		switch resp.StatusCode {
		case http.StatusOK:
			return
		case http.StatusServiceUnavailable:
		default:
			t.Fatalf("order: status %d", resp.StatusCode)
		}
	}
	t.Fatal("order: no verdict")
}

// Guards against a rollout that stands still because observations do not reach the leader from nodes that follow another control
// process, or because a new leader does not go on with it.
func TestRolloutThroughLossOfLeader(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.waitLeader(t)
	c.waitAllCurrent(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var nodes []*client.Client
	for i := range 6 {
		name, version := fmt.Sprintf("n%d", i), fmt.Sprintf("v%d", 1+i%2)
		n := startClient(t, name, c.servers()...)
		announceVersion(n, name, version)
		go observeUntil(ctx, n, name, version)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		awaitState(t, n, "members", func(s *follow.State) bool { return len(s.Members) == len(nodes) })
	}
	c.orderRollout(t, leader, "v2", 6*time.Second)
	awaitState(t, nodes[0], "first share", func(s *follow.State) bool { return strings.Contains(s.RulesText, "share=7%") })
	c.stops[leader]()
	awaitState(t, nodes[0], "completion", func(s *follow.State) bool {
		return strings.Contains(s.RulesText, "state=completed") && strings.Contains(s.RulesText, "replaced=v1")
	})
}

// Guards against an order for the version that already runs, which would take all back ends of the service out.
func TestRolloutToTheRunningVersion(t *testing.T) {
	c := newCluster(t, 1)
	c.waitLeader(t)
	n := startClient(t, "n", c.servers()...)
	announceVersion(n, "n", "v1")
	awaitState(t, n, "members", func(s *follow.State) bool { return len(s.Members) == 1 })
	c.orderRollout(t, 0, "v1", 6*time.Second)
	awaitState(t, n, "rollout", func(s *follow.State) bool { return strings.Contains(s.RulesText, "rollout booking") })
	if text := n.State().RulesText; !strings.Contains(text, "state=completed") {
		t.Errorf("rules after the order:\n%s", text)
	}
}
