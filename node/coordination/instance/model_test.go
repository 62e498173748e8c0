package instance_test

import (
	"net/netip"
	"testing"
	"time"

	"pollenhill.example/node/coordination/instance"
)

var (
	start = time.UnixMilli(1_700_000_000_000)
	here  = netip.MustParseAddrPort("10.0.0.1:80")
)

func beat(id string, born int64, sequence uint64) instance.Heartbeat {
	return instance.Heartbeat{ID: id, StartMillis: born, Sequence: sequence, Service: "booking", Address: here, Slots: 12}
}

func draining(b instance.Heartbeat) instance.Heartbeat { b.Draining = true; return b }

func cold(b instance.Heartbeat) instance.Heartbeat { b.ColdStart = 3 * time.Second; return b }

// Guards against late, repeated and reordered reports that bring back an instance which drained, left, crashed or was
// replaced, and against a restart under the same ID that stays ignored.
func TestReports(t *testing.T) {
	tests := []struct {
		name     string
		msgs     []instance.Msg
		id       string
		draining bool
		cold     bool
	}{
		{"first report", []instance.Msg{beat("a", 1, 1)}, "a", false, false},
		{"late ready report after draining", []instance.Msg{beat("a", 1, 1), draining(beat("a", 1, 3)), beat("a", 1, 2)}, "a", true, false},
		{"draining is not taken back", []instance.Msg{draining(beat("a", 1, 3)), beat("a", 1, 4)}, "a", true, false},
		{"left", []instance.Msg{beat("a", 1, 1), instance.Deregister{ID: "a"}}, "", false, false},
		{"late report after leaving", []instance.Msg{beat("a", 1, 1), instance.Deregister{ID: "a"}, beat("a", 1, 2)}, "", false, false},
		{"left before any report", []instance.Msg{instance.Deregister{ID: "a"}, beat("a", 0, 2)}, "", false, false},
		{"another one leaves", []instance.Msg{beat("a", 1, 1), instance.Deregister{ID: "b"}}, "a", false, false},
		{"replaced", []instance.Msg{beat("a", 1, 9), cold(beat("b", 2, 1))}, "b", false, true},
		{"late report of the replaced one", []instance.Msg{beat("a", 1, 9), beat("b", 2, 1), beat("a", 1, 10)}, "b", false, false},
		{"late report of one that never was here", []instance.Msg{beat("b", 2, 1), beat("a", 1, 10)}, "b", false, false},
		{"restart under the same ID", []instance.Msg{draining(beat("a", 1, 9)), cold(beat("a", 2, 1))}, "a", false, true},
		{"late report from before that restart", []instance.Msg{beat("a", 2, 1), draining(beat("a", 1, 9))}, "a", false, false},
		{"nothing listens", []instance.Msg{beat("a", 1, 1), instance.Gone{}}, "", false, false},
		{"listens again", []instance.Msg{beat("a", 1, 1), instance.Gone{}, beat("a", 1, 2)}, "a", false, false},
		{"a health check finds it", []instance.Msg{instance.HealthCheckPassed{ID: "a", ColdStart: time.Second}}, "a", false, true},
		{"a health check of the replaced one", []instance.Msg{beat("a", 1, 1), beat("b", 2, 1), instance.HealthCheckPassed{ID: "a"}}, "b", false, false},
		{"a broken request may mean a restart", []instance.Msg{beat("a", 1, 1), instance.ConnectionBroken{}}, "a", false, true},
		{"the next report shows that it did not", []instance.Msg{beat("a", 1, 1), instance.ConnectionBroken{}, beat("a", 1, 2)}, "a", false, false},
		{"a report of another address", []instance.Msg{instance.Heartbeat{ID: "x", Sequence: 1, Address: netip.MustParseAddrPort("10.0.0.9:80")}}, "", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := instance.New(instance.Config{Service: "booking", Address: here})
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
