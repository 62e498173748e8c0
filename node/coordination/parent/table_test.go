package parent_test

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"pollenhill.example/node/coordination/parent"
)

// Guards against a call that inherits from a request which has ended, was never run, or shares its ID with a different one,
// and against entries that stay.
func TestTableHoldsWhatRuns(t *testing.T) {
	type running struct {
		id      string
		request parent.Request
		end     func()
	}
	rapid.Check(t, func(t *rapid.T) {
		table, all := &parent.Table{}, []running{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(all) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
				all[i].end()
				all[i].end() // a second end must not end another request with the same ID
				all = slices.Delete(all, i, i+1)
			} else {
				id := rapid.SampledFrom([]string{"", "p", "p.c", "q"}).Draw(t, "id")
				request := parent.Request{Account: rapid.SampledFrom([]string{"", "a"}).Draw(t, "account"), Rank: rapid.IntRange(0, 1).Draw(t, "rank")}
				all = append(all, running{id, request, table.Start(id, request)})
			}
			ids := map[string]int{}
			for _, r := range all {
				ids[r.id]++
				if got, ok := table.Of(r.id + ".child"); ok && got != r.request {
					t.Fatalf("%q: inherits %+v while %+v runs", r.id, got, r.request)
				}
			}
			delete(ids, "")
			if table.Len() != len(ids) {
				t.Fatalf("%d entries for %v", table.Len(), ids)
			}
			if _, ok := table.Of("q.child"); ok && ids["q"] == 0 {
				t.Fatal("inherits from a request that does not run")
			}
		}
	})
}

// Guards against a call that inherits nothing although its parent runs, also if the parent runs twice, as after a retry.
func TestCallOfRunningRequestInherits(t *testing.T) {
	table, want := &parent.Table{}, parent.Request{Account: "a", Rank: 2}
	first, second := table.Start("p", want), table.Start("p", want)
	for _, end := range []func(){first, second} {
		if got, ok := table.Of("p.c"); !ok || got != want {
			t.Errorf("got %+v, %t", got, ok)
		}
		end()
	}
	if _, ok := table.Of("p.c"); ok {
		t.Error("inherits from a request that has ended")
	}
}

// Guards against calls that are taken for those of a request by a part of its ID.
func TestOnlyTheIDBeforeTheLastDotNamesTheParent(t *testing.T) {
	table := &parent.Table{}
	end := table.Start("p.c", parent.Request{Account: "a"})
	defer end()
	for id, want := range map[string]bool{"p.c.d": true, "p.c.": true, "p.c": false, "p": false, "p.c.d.e": false, "": false, ".": false, "p.cc.d": false} {
		if _, got := table.Of(id); got != want {
			t.Errorf("%q: %t", id, got)
		}
	}
}

// Guards against a table that grows with the requests of a back end that never ends them.
func TestTableIsBounded(t *testing.T) {
	table := &parent.Table{}
	for i := range 10_000 {
		table.Start(strconv.Itoa(i), parent.Request{})
	}
	if table.Len() > 4096 {
		t.Errorf("%d entries", table.Len())
	}
}
