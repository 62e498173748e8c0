package upload_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/coordination/upload"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func ask(id upload.ID, length int, movable bool) upload.Ask {
	return upload.Ask{ID: id, Length: length, Deadline: at(3000), Movable: movable}
}

func expect(t *testing.T, name string, got []upload.Cmd, want ...upload.Cmd) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: %v, want %v", name, got, want)
	}
}

// Guards against bodies that share a narrow link, so that each of them and every short request takes as long as all of them,
// and against a link that is idle between two bodies.
func TestBodiesArriveOneAfterTheOther(t *testing.T) {
	m := upload.New()
	expect(t, "first", m.Update(at(0), ask(1, 60_000, false)), upload.Admit{ID: 1})
	expect(t, "second", m.Update(at(1), ask(2, 60_000, false)))
	expect(t, "third", m.Update(at(2), ask(3, 60_000, false)))
	expect(t, "two thirds of the first", m.Update(at(50), upload.Received{ID: 1, Bytes: 40_000}))
	expect(t, "nearly all of the first", m.Update(at(60), upload.Received{ID: 1, Bytes: 5_000}), upload.Admit{ID: 2})
	expect(t, "all of the first", m.Update(at(80), upload.End{ID: 1}))
	expect(t, "the second is given up", m.Update(at(90), upload.End{ID: 2}), upload.Admit{ID: 3})
}

// Guards against a request that waits for the link although another back end has room, and against one that is sent on
// although there is none.
func TestMovableBodyGoesElsewhere(t *testing.T) {
	m := upload.New()
	expect(t, "idle", m.Update(at(0), ask(1, 360_000, true)), upload.Admit{ID: 1})
	expect(t, "movable", m.Update(at(1), ask(2, 60_000, true)), upload.Refuse{ID: 2, Reason: refusal.BackendSlow})
	expect(t, "not movable", m.Update(at(2), ask(3, 60_000, false)))
	expect(t, "end of the first", m.Update(at(50), upload.End{ID: 1}), upload.Admit{ID: 3})
	expect(t, "behind a short rest", m.Update(at(60), ask(4, 60_000, true)))
	expect(t, "behind a body that waits", m.Update(at(61), ask(5, 60_000, true)), upload.Refuse{ID: 5, Reason: refusal.BackendSlow})
}

// Guards against a slow or silent sender that holds up all other bodies.
func TestStalledBodyHoldsUpNobody(t *testing.T) {
	m := upload.New()
	expect(t, "silent sender", m.Update(at(0), ask(1, 360_000, false)), upload.Admit{ID: 1})
	expect(t, "another", m.Update(at(10), ask(2, 60_000, false)))
	expect(t, "before the stall timeout", m.Update(at(99), upload.Tick{}))
	expect(t, "after it", m.Update(at(100), upload.Tick{}), upload.Admit{ID: 2})
	expect(t, "the silent one goes on", m.Update(at(110), upload.Received{ID: 1, Bytes: 1}))
	expect(t, "third", m.Update(at(111), ask(3, 60_000, false)))
}

// Guards against a request that waits beyond its deadline, and against requests without a bound on their number.
func TestWaitIsBounded(t *testing.T) {
	m := upload.New()
	m.Update(at(0), ask(1, 360_000, false))
	late := upload.Ask{ID: 2, Length: 1, Deadline: at(50)}
	expect(t, "waits", m.Update(at(1), late))
	expect(t, "deadline", m.Update(at(50), upload.Tick{}), upload.Refuse{ID: 2, Reason: refusal.TooLate})
	expect(t, "deadline before it asks", m.Update(at(51), upload.Ask{ID: 3, Deadline: at(51)}), upload.Refuse{ID: 3, Reason: refusal.TooLate})
	refused := 0
	for i := range 1000 {
		refused += len(m.Update(at(52), ask(upload.ID(10+i), 60_000, false)))
	}
	if refused != 1000-m.Waiting() || m.Waiting() > 100 {
		t.Errorf("%d of 1000 requests refused, %d wait", refused, m.Waiting())
	}
}

// Guards against a body that crosses the link to a node that shuts down, and against one that is cut off because of that.
func TestLeavingNodeAsksForNoBody(t *testing.T) {
	m := upload.New()
	m.Update(at(0), ask(1, 60_000, false))
	m.Update(at(1), ask(2, 60_000, false))
	expect(t, "the one that waits", m.Update(at(2), upload.Leave{}), upload.Refuse{ID: 2, Reason: refusal.Leaving})
	expect(t, "a later one", m.Update(at(3), ask(3, 60_000, false)), upload.Refuse{ID: 3, Reason: refusal.Leaving})
	if m.Receiving() != 1 {
		t.Errorf("%d bodies arrive, want the one that was asked for", m.Receiving())
	}
}

// Guards against a request that gets no answer, two answers, or one after it has ended, in any order of messages.
func TestEveryBodyIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := upload.New()
		now, next := 0, upload.ID(0)
		open, admitted := map[upload.ID]bool{}, map[upload.ID]bool{}
		apply := func(msg upload.Msg) {
			for _, cmd := range m.Update(at(now), msg) {
				var id upload.ID
				switch cmd := cmd.(type) {
				case upload.Admit:
					id = cmd.ID
					admitted[id] = true
				case upload.Refuse:
					id = cmd.ID
				}
				if !open[id] {
					t.Fatalf("%v is answered twice or after its end", cmd)
				}
				delete(open, id)
			}
			if m.Waiting() != len(open) || m.Receiving() != len(admitted) {
				t.Fatalf("%d wait and %d arrive, want %d and %d", m.Waiting(), m.Receiving(), len(open), len(admitted))
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "messages") {
			now += rapid.IntRange(0, 60).Draw(t, "ms")
			id := upload.ID(rapid.IntRange(0, int(next)).Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				next++
				open[next] = true
				apply(upload.Ask{
					ID: next, Length: rapid.IntRange(1, 400_000).Draw(t, "length"),
					Deadline: at(now + rapid.IntRange(0, 500).Draw(t, "left")), Movable: rapid.Bool().Draw(t, "movable"),
				})
			case 1:
				apply(upload.Received{ID: id, Bytes: rapid.IntRange(0, 400_000).Draw(t, "bytes")})
			case 2:
				// A request whose deadline passes now may be refused although it ends, but not after that.
				apply(upload.Tick{})
				delete(open, id)
				delete(admitted, id)
				apply(upload.End{ID: id})
			case 3:
				apply(upload.Tick{})
			}
		}
		now += 3600_000
		for len(admitted) > 0 {
			for id := range admitted {
				delete(admitted, id)
				apply(upload.End{ID: id})
				break
			}
		}
		apply(upload.Tick{})
		if len(open) > 0 {
			t.Fatalf("%d requests have no answer", len(open))
		}
	})
}
