package presence_test

import (
	"net/netip"
	"testing"
	"time"

	"pollenhill.example/node/coordination/presence"
)

var (
	start = time.UnixMilli(1_700_000_000_000)
	here  = netip.MustParseAddrPort("10.0.0.1:80")
)

func beat(id string, born int64, sequence uint64) presence.Beat {
	return presence.Beat{ID: id, Born: born, Sequence: sequence, Service: "booking", Address: here, Slots: 12}
}

func draining(b presence.Beat) presence.Beat { b.Draining = true; return b }

func cold(b presence.Beat) presence.Beat { b.Cold = 3 * time.Second; return b }

// Guards against late, repeated and reordered reports that bring back an instance which drained, left, crashed or was
// replaced, and against a restart under the same ID that stays ignored.
func TestReports(t *testing.T) {
	tests := []struct {
		name     string
		msgs     []presence.Msg
		id       string
		draining bool
		cold     bool
	}{
		{"first report", []presence.Msg{beat("a", 1, 1)}, "a", false, false},
		{"late ready report after draining", []presence.Msg{beat("a", 1, 1), draining(beat("a", 1, 3)), beat("a", 1, 2)}, "a", true, false},
		{"draining is not taken back", []presence.Msg{draining(beat("a", 1, 3)), beat("a", 1, 4)}, "a", true, false},
		{"left", []presence.Msg{beat("a", 1, 1), presence.Leave{ID: "a"}}, "", false, false},
		{"late report after leaving", []presence.Msg{beat("a", 1, 1), presence.Leave{ID: "a"}, beat("a", 1, 2)}, "", false, false},
		{"left before any report", []presence.Msg{presence.Leave{ID: "a"}, beat("a", 0, 2)}, "", false, false},
		{"another one leaves", []presence.Msg{beat("a", 1, 1), presence.Leave{ID: "b"}}, "a", false, false},
		{"replaced", []presence.Msg{beat("a", 1, 9), cold(beat("b", 2, 1))}, "b", false, true},
		{"late report of the replaced one", []presence.Msg{beat("a", 1, 9), beat("b", 2, 1), beat("a", 1, 10)}, "b", false, false},
		{"late report of one that never was here", []presence.Msg{beat("b", 2, 1), beat("a", 1, 10)}, "b", false, false},
		{"restart under the same ID", []presence.Msg{draining(beat("a", 1, 9)), cold(beat("a", 2, 1))}, "a", false, true},
		{"late report from before that restart", []presence.Msg{beat("a", 2, 1), draining(beat("a", 1, 9))}, "a", false, false},
		{"nothing listens", []presence.Msg{beat("a", 1, 1), presence.Gone{}}, "", false, false},
		{"listens again", []presence.Msg{beat("a", 1, 1), presence.Gone{}, beat("a", 1, 2)}, "a", false, false},
		{"a health check finds it", []presence.Msg{presence.Checked{ID: "a", Cold: time.Second}}, "a", false, true},
		{"a health check of the replaced one", []presence.Msg{beat("a", 1, 1), beat("b", 2, 1), presence.Checked{ID: "a"}}, "b", false, false},
		{"a broken request may mean a restart", []presence.Msg{beat("a", 1, 1), presence.Broken{}}, "a", false, true},
		{"the next report shows that it did not", []presence.Msg{beat("a", 1, 1), presence.Broken{}, beat("a", 1, 2)}, "a", false, false},
		{"a report of another address", []presence.Msg{presence.Beat{ID: "x", Sequence: 1, Address: netip.MustParseAddrPort("10.0.0.9:80")}}, "", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := presence.New(presence.Config{Service: "booking", Address: here})
			for _, msg := range tt.msgs {
				m.Update(start, msg)
			}
			v := m.View()
			if v.ID != tt.id || v.Draining != tt.draining || v.Cold.After(start) != tt.cold {
				t.Errorf("view %+v", v)
			}
		})
	}
}
