package instance_test

import (
	"net/netip"
	"testing"
	"time"

	"pollenhill.example/node/coordination/instance"
)

var (
	start          = time.UnixMilli(1_700_000_000_000)
	backendAddress = netip.MustParseAddrPort("10.0.0.1:80")
)

// Starts of instances, in Unix milliseconds, before and after the messages of a test.
const (
	before = 1_700_000_000_000 - 60_000
	after  = 1_700_000_000_000 + 60_000
)

func heartbeat(id string, startMillis int64, sequence uint64) instance.Heartbeat {
	return instance.Heartbeat{ID: id, StartMillis: startMillis, Sequence: sequence, Service: "booking", Address: backendAddress, Slots: 12}
}

func draining(h instance.Heartbeat) instance.Heartbeat { h.Draining = true; return h }

func cold(h instance.Heartbeat) instance.Heartbeat { h.ColdStart = 3 * time.Second; return h }

// Guards against late, repeated or reordered heartbeats that restore an instance after it drained, deregistered, crashed
// or was replaced, and against ignoring an instance that restarts under the same ID.
func TestUpdate(t *testing.T) {
	tests := []struct {
		name     string
		msgs     []instance.Msg
		id       string
		draining bool
		cold     bool
	}{
		{"first heartbeat", []instance.Msg{heartbeat("a", 1, 1)}, "a", false, false},
		{"late ready heartbeat after draining", []instance.Msg{heartbeat("a", 1, 1), draining(heartbeat("a", 1, 3)), heartbeat("a", 1, 2)}, "a", true, false},
		{"draining is not revoked", []instance.Msg{draining(heartbeat("a", 1, 3)), heartbeat("a", 1, 4)}, "a", true, false},
		{"deregistered", []instance.Msg{heartbeat("a", 1, 1), instance.Deregister{ID: "a"}}, "", false, false},
		{"late heartbeat after deregistering", []instance.Msg{heartbeat("a", 1, 1), instance.Deregister{ID: "a"}, heartbeat("a", 1, 2)}, "", false, false},
		{"deregistered before any heartbeat", []instance.Msg{instance.Deregister{ID: "a"}, heartbeat("a", 0, 2)}, "", false, false},
		{"another instance deregisters", []instance.Msg{heartbeat("a", 1, 1), instance.Deregister{ID: "b"}}, "a", false, false},
		{"replaced", []instance.Msg{heartbeat("a", 1, 9), cold(heartbeat("b", 2, 1))}, "b", false, true},
		{"late heartbeat of the replaced instance", []instance.Msg{heartbeat("a", 1, 9), heartbeat("b", 2, 1), heartbeat("a", 1, 10)}, "b", false, false},
		{"late heartbeat of an earlier instance that was never seen", []instance.Msg{heartbeat("b", 2, 1), heartbeat("a", 1, 10)}, "b", false, false},
		{"restart under the same ID", []instance.Msg{draining(heartbeat("a", 1, 9)), cold(heartbeat("a", 2, 1))}, "a", false, true},
		{"late heartbeat from before that restart", []instance.Msg{heartbeat("a", 2, 1), draining(heartbeat("a", 1, 9))}, "a", false, false},
		{"says in a response that it leaves", []instance.Msg{heartbeat("a", 1, 1), instance.SaysLeaving{ID: "a"}, heartbeat("a", 1, 2)}, "a", true, false},
		{"late response of the replaced instance says that it leaves", []instance.Msg{heartbeat("a", 1, 1), heartbeat("b", 2, 1), instance.SaysLeaving{ID: "a"}}, "b", false, false},
		{"restart under the same ID after leaving", []instance.Msg{heartbeat("a", 1, 1), instance.SaysLeaving{ID: "a"}, heartbeat("a", after, 1)}, "a", false, false},
		{"late heartbeat after deregistering, found by a health check before", []instance.Msg{instance.HealthCheckPassed{ID: "a"}, instance.Deregister{ID: "a"}, heartbeat("a", before, 2)}, "", false, false},
		{"late heartbeat after deregistering, not known before", []instance.Msg{instance.Deregister{ID: "a"}, heartbeat("a", before, 2)}, "", false, false},
		{"late heartbeat after deregistering beside another instance", []instance.Msg{heartbeat("b", before-5, 1), instance.Deregister{ID: "a"}, heartbeat("a", before, 2)}, "b", false, false},
		{"late heartbeat after leaving, found by a health check before", []instance.Msg{instance.HealthCheckPassed{ID: "a"}, instance.SaysLeaving{ID: "a"}, heartbeat("a", before, 2)}, "a", true, false},
		{"restart under the same ID after deregistering unknown", []instance.Msg{instance.Deregister{ID: "a"}, heartbeat("a", after, 1)}, "a", false, false},
		{"restart under the same ID after a health check", []instance.Msg{instance.HealthCheckPassed{ID: "a"}, instance.Deregister{ID: "a"}, heartbeat("a", after, 1)}, "a", false, false},
		{"first heartbeat after deregistering, restarted under the same ID before", []instance.Msg{heartbeat("a", before, 9), instance.Deregister{ID: "a"}, heartbeat("a", before+5, 1)}, "", false, false},
		{"first heartbeat after deregistering, found by a health check after a crash", []instance.Msg{heartbeat("a", before, 9), instance.Gone{}, instance.HealthCheckPassed{ID: "a"}, instance.Deregister{ID: "a"}, heartbeat("a", before+5, 1)}, "", false, false},
		{"first heartbeat after deregistering under the ID of a replaced instance", []instance.Msg{heartbeat("a", before, 9), heartbeat("b", before+1, 1), instance.Deregister{ID: "a"}, heartbeat("a", before+5, 1)}, "b", false, false},
		{"first heartbeat after leaving, restarted under the same ID before", []instance.Msg{heartbeat("a", before, 9), instance.SaysLeaving{ID: "a"}, heartbeat("a", before+5, 1)}, "a", true, false},
		{"late heartbeat of an earlier instance beside one found by a health check", []instance.Msg{instance.HealthCheckPassed{ID: "b"}, heartbeat("a", before, 9), heartbeat("b", before+5, 1)}, "b", false, false},
		{"late heartbeat from before a cold restart under the same ID", []instance.Msg{heartbeat("a", before, 9), instance.Gone{}, instance.HealthCheckPassed{ID: "a", ColdStart: time.Second}, heartbeat("a", before, 10)}, "a", false, true},
		{"late heartbeat from before a cold restart, restarted node", []instance.Msg{instance.HealthCheckPassed{ID: "a", ColdStart: time.Second}, heartbeat("a", before, 10)}, "a", false, true},
		{"heartbeat of the running instance after one from before the restart", []instance.Msg{instance.HealthCheckPassed{ID: "a"}, heartbeat("a", before, 10), heartbeat("a", before+5, 1), instance.Gone{}, instance.HealthCheckPassed{ID: "a"}}, "a", false, false},
		{"drains, and a refused connection was no restart", []instance.Msg{heartbeat("a", before, 9), instance.Gone{}, instance.HealthCheckPassed{ID: "a"}, draining(heartbeat("a", before, 10))}, "a", true, false},
		{"late draining heartbeat from before a restart under the same ID", []instance.Msg{heartbeat("a", before, 9), instance.Gone{}, instance.HealthCheckPassed{ID: "a"}, draining(heartbeat("a", before, 10)), heartbeat("a", before+5, 1)}, "a", false, false},
		{"nothing listens at the address", []instance.Msg{heartbeat("a", 1, 1), instance.Gone{}}, "", false, false},
		{"heartbeat after nothing listened", []instance.Msg{heartbeat("a", 1, 1), instance.Gone{}, heartbeat("a", 1, 2)}, "a", false, false},
		{"found by a health check", []instance.Msg{instance.HealthCheckPassed{ID: "a", ColdStart: time.Second}}, "a", false, true},
		{"health check answered by the replaced instance", []instance.Msg{heartbeat("a", 1, 1), heartbeat("b", 2, 1), instance.HealthCheckPassed{ID: "a"}}, "b", false, false},
		{"broken connection, perhaps a restart", []instance.Msg{heartbeat("a", 1, 1), instance.ConnectionBroken{}}, "a", false, true},
		{"heartbeat of the same instance after a broken connection", []instance.Msg{heartbeat("a", 1, 1), instance.ConnectionBroken{}, heartbeat("a", 1, 2)}, "a", false, false},
		{"heartbeat that names another address", []instance.Msg{instance.Heartbeat{ID: "x", Sequence: 1, Address: netip.MustParseAddrPort("10.0.0.9:80")}}, "", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := instance.New(instance.Config{Service: "booking", Address: backendAddress})
			for _, msg := range tt.msgs {
				m.Update(start, msg)
			}
			v := m.View()
			if v.ID != tt.id || v.Draining != tt.draining || v.ColdUntil.After(start) != tt.cold {
				t.Errorf("view %+v", v)
			}
		})
	}
}

// Guards against an instance whose heartbeats are ignored for good because a connection to it was refused once. Those from before a
// restart are seconds late; after SelfEvidentPeriod they show that there was none.
func TestHeartbeatsCountAfterRefusedConnection(t *testing.T) {
	m := instance.New(instance.Config{Service: "booking", Address: backendAddress})
	for _, msg := range []instance.Msg{heartbeat("a", before, 9), instance.Gone{}, instance.HealthCheckPassed{ID: "a"}} {
		m.Update(start, msg)
	}
	for sequence, at := range []time.Duration{time.Second, instance.SelfEvidentPeriod} {
		h := heartbeat("a", before, uint64(10+sequence))
		h.Slots = 5 + sequence
		m.Update(start.Add(at), h)
	}
	if v := m.View(); v.StartMillis != before || v.Slots != 6 {
		t.Errorf("view %+v", v)
	}
}
