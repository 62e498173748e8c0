package instance_test

import (
	"testing"
	"time"

	"pollenhill.example/node/coordination/instance"
)

// Guards against an instance that is used before it is known whether it had left before the node started, and against one
// that is never used while nobody can tell.
func TestHeartbeatNeedsHistory(t *testing.T) {
	learned := func(ended bool) instance.Msg {
		return instance.HistoryLearned{ID: "a", Ended: ended, StartMillis: before}
	}
	tests := []struct {
		name  string
		msgs  []instance.Msg
		beat  instance.Heartbeat
		needs bool
		id    string // of the current instance after the heartbeat, if that does not need the history
	}{
		{"started before the node", nil, heartbeat("a", before, 9), true, ""},
		{"start unknown", nil, heartbeat("a", 0, 9), true, ""},
		{"started after the node", nil, heartbeat("a", after, 1), false, "a"},
		{"history without an end", []instance.Msg{learned(false)}, heartbeat("a", before, 9), false, "a"},
		{"ended before the node started", []instance.Msg{learned(true)}, heartbeat("a", before, 9), false, ""},
		{"ended before the node started, start unknown", []instance.Msg{learned(true)}, heartbeat("a", 0, 9), false, ""},
		{"restarted under the same ID after its end", []instance.Msg{learned(true)}, heartbeat("a", before+1, 1), false, "a"},
		{"ended, but a health check passes", []instance.Msg{learned(true), instance.HealthCheckPassed{ID: "a"}}, heartbeat("a", before, 9), false, ""},
		{"current instance", []instance.Msg{instance.HealthCheckPassed{ID: "a"}}, heartbeat("a", before, 9), false, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := instance.New(instance.Config{Service: "booking", Address: backendAddress, Started: start})
			for _, msg := range tt.msgs {
				m.Update(start, msg)
			}
			needs := m.HeartbeatNeedsHistory(start, tt.beat)
			if needs != tt.needs {
				t.Fatalf("needs history %v", needs)
			}
			if needs {
				return
			}
			m.Update(start, tt.beat)
			if id := m.View().ID; id != tt.id {
				t.Errorf("current instance %q, want %q", id, tt.id)
			}
		})
	}
}

// Guards against a region without control processes that uses no back end after a restart of its nodes: an instance that keeps
// sending heartbeats has not left. One that the network held up does not show that.
func TestSteadyHeartbeatsNeedNoHistory(t *testing.T) {
	m := instance.New(instance.Config{Service: "booking", Address: backendAddress, Started: start})
	steps := []struct {
		at       time.Duration
		sequence uint64
		needs    bool
	}{
		{0, 5, true},
		{instance.SelfEvidentPeriod - 1, 6, true},
		{instance.SelfEvidentPeriod, 4, true},
		{instance.SelfEvidentPeriod, 7, false},
	}
	for _, s := range steps {
		if needs := m.HeartbeatNeedsHistory(start.Add(s.at), heartbeat("a", before, s.sequence)); needs != s.needs {
			t.Errorf("sequence %d after %v: needs history %v", s.sequence, s.at, needs)
		}
	}
}

// Guards against the end of an instance that is recorded with a start that does not cover its late heartbeats, and against one
// that is recorded although the instance has not ended.
func TestEndOf(t *testing.T) {
	tests := []struct {
		name  string
		msgs  []instance.Msg
		start int64
		ended bool
	}{
		{"ready", []instance.Msg{heartbeat("a", before, 1)}, 0, false},
		{"draining", []instance.Msg{draining(heartbeat("a", before, 1))}, before, true},
		{"deregistered", []instance.Msg{heartbeat("a", before, 1), instance.Deregister{ID: "a"}}, start.UnixMilli(), true},
		{"deregistered, clock of the back end ahead", []instance.Msg{heartbeat("a", after, 1), instance.Deregister{ID: "a"}}, after, true},
		{"late draining heartbeat from before a restart", []instance.Msg{heartbeat("a", before, 1), instance.Gone{}, instance.HealthCheckPassed{ID: "a"}, draining(heartbeat("a", before, 2))}, before, true},
		{"deregistered, start unknown", []instance.Msg{instance.Deregister{ID: "a"}}, start.UnixMilli(), true},
		{"deregistered beside another instance", []instance.Msg{heartbeat("b", before, 1), instance.Deregister{ID: "a"}}, start.UnixMilli(), true},
		{"replaced", []instance.Msg{heartbeat("a", before, 1), heartbeat("b", after, 1)}, before, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := instance.New(instance.Config{Service: "booking", Address: backendAddress, Started: start})
			for _, msg := range tt.msgs {
				m.Update(start, msg)
			}
			if got, ended := m.EndOf("a"); got != tt.start || ended != tt.ended {
				t.Errorf("end %d, %v, want %d, %v", got, ended, tt.start, tt.ended)
			}
		})
	}
}
