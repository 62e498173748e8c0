package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/state/rule"
)

// costLimits are the limits of a back end of a pool whose callers compete for it.
var costLimits = admission.Limits{Slots: 12, FixedLimit: true, ByCost: true}

// load describes requests of one kind that arrive at random with a mean rate.
type load struct {
	name      string
	perSecond func(at time.Duration) float64
	request   admission.Arrive // without ID and times
	took      time.Duration
	objective time.Duration
}

// steady returns a constant rate.
func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// surge returns a rate that is multiplied by x from 4 to 10 s.
func surge(perSecond, x float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 4*time.Second && at < 10*time.Second {
			return x * perSecond
		}
		return perSecond
	}
}

// event is an arrival or an end at a moment of a replay.
type event struct {
	at   time.Duration
	load *load
	id   int
	end  bool
	came time.Duration // first arrival of the request
	try  int
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// tally counts the requests of one kind that arrived in one second.
type tally struct{ asked, inTime, served, refused int }

// replay plays loads on one back end in virtual time. Refused callers come back up to twice, at a random time within their
// wait. It returns the tallies by kind and second of the first arrival.
func replay(limits admission.Limits, length time.Duration, loads ...*load) func(name string, from, to int) tally {
	r := rand.New(rand.NewPCG(1, 2))
	m := admission.New(limits)
	m.Update(epoch, limits)
	m.Update(epoch, admission.BackendState{State: admission.Ready})
	tallies := map[string]*tally{}
	count := func(e event) *tally {
		key := fmt.Sprint(e.load.name, int(e.came.Seconds()))
		if tallies[key] == nil {
			tallies[key] = &tally{}
		}
		return tallies[key]
	}
	var pending events
	waiting := map[int]event{}
	next := 0
	for _, l := range loads {
		for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() / l.perSecond(at) * float64(time.Second)) {
			next++
			heap.Push(&pending, event{at: at, load: l, id: next, came: at})
		}
	}
	for tick := 50 * time.Millisecond; tick < length; tick += 50 * time.Millisecond {
		heap.Push(&pending, event{at: tick})
	}
	for len(pending) > 0 {
		e := heap.Pop(&pending).(event)
		now := epoch.Add(e.at)
		var msg admission.Msg = admission.Tick{}
		switch {
		case e.end:
			msg = admission.Done{ID: id(e.id), Result: admission.Good, Latency: e.load.took}
			count(e).served++
			if e.at-e.came <= e.load.objective {
				count(e).inTime++
			}
		case e.load != nil:
			a := e.load.request
			a.ID, a.Deadline = id(e.id), epoch.Add(e.came+6*time.Second)
			a.ObjectiveAt, a.LatencyObjective = epoch.Add(e.came+e.load.objective), max(0, e.came+e.load.objective-e.at)
			a.Route = e.load.name
			msg = a
			waiting[e.id] = e
			if e.try == 0 {
				count(e).asked++
			}
		}
		for _, cmd := range m.Update(now, msg) {
			switch cmd := cmd.(type) {
			case admission.Start:
				s := waiting[int(cmd.ID.Sequence)]
				heap.Push(&pending, event{at: e.at + s.load.took, load: s.load, id: s.id, end: true, came: s.came})
			case admission.Refuse:
				s := waiting[int(cmd.ID.Sequence)]
				if s.try == 2 {
					count(s).refused++
					continue
				}
				next++
				wait := time.Duration((0.1 + 0.2*r.Float64()) * float64(6*time.Second+s.came-e.at))
				heap.Push(&pending, event{at: e.at + wait, load: s.load, id: next, came: s.came, try: s.try + 1})
			}
		}
	}
	return func(name string, from, to int) tally {
		var sum tally
		for second := from; second < to; second++ {
			if t := tallies[fmt.Sprint(name, second)]; t != nil {
				sum.asked, sum.inTime = sum.asked+t.asked, sum.inTime+t.inTime
				sum.served, sum.refused = sum.served+t.served, sum.refused+t.refused
			}
		}
		return sum
	}
}

func (t tally) share() float64       { return float64(t.inTime) / float64(max(1, t.asked)) }
func (t tally) servedShare() float64 { return float64(t.served) / float64(max(1, t.asked)) }

// Guards against a queue that goes on serving requests past their objective after the extra load has ended. The load: one
// account sends many times its usual for six seconds, of a rank that used to wait until its deadline, and then the usual
// load of 70% follows. Two seconds later requests must be in time again.
func TestQueueDrainsAfterBurst(t *testing.T) {
	usual := &load{
		name: "balance", perSecond: surge(34, 2.2), took: 250 * time.Millisecond, objective: 800 * time.Millisecond,
		request: admission.Arrive{Rank: 1, Priority: rule.PriorityHigh},
	}
	got := replay(costLimits, 16*time.Second, usual)
	if after := got("balance", 12, 15); after.share() < 0.97 {
		t.Errorf("two seconds after the burst %.2f of the requests are in time: %+v", after.share(), after)
	}
	if during := got("balance", 5, 10); during.inTime < 5*40 {
		t.Errorf("during the burst %d requests are in time in five seconds, of 48 a second that the back end can do: %+v", during.inTime, during)
	}
}

// Guards against ranks that are treated alike: under twice the load that a back end can do, the most urgent requests must
// be in time, and those of the least urgent rank must still get their guaranteed share. The load: a burst of downloads
// beside payments and calls.
func TestRanksAreKeptApartAndNoneStarves(t *testing.T) {
	kind := func(rank int, perSecond float64) *load {
		return &load{
			name: fmt.Sprint("rank", rank), perSecond: steady(perSecond), took: 200 * time.Millisecond, objective: time.Second,
			request: admission.Arrive{Rank: rank, Priority: rule.PriorityHigh},
		}
	}
	got := replay(costLimits, 14*time.Second, kind(0, 20), kind(1, 50), kind(2, 50))
	urgent, middle, low := got("rank0", 3, 12), got("rank1", 3, 12), got("rank2", 3, 12)
	if urgent.share() < 0.97 {
		t.Errorf("rank 0: %.2f in time", urgent.share())
	}
	if urgent.share() < middle.share() || middle.share() < low.share() {
		t.Errorf("in time by rank: %.2f, %.2f, %.2f", urgent.share(), middle.share(), low.share())
	}
	all := float64(urgent.served+middle.served+low.served) / float64(urgent.asked+middle.asked+low.asked)
	if low.servedShare() < all/4 {
		t.Errorf("rank 2: %.2f served of %.2f of all", low.servedShare(), all)
	}
}

// Guards against payments that wait behind downloads, or are refused for them, where the rank of an account goes before that
// of the route and all accounts have the same. The load: twice as many downloads as there is room for beside payments.
func TestRouteDecidesBetweenRequestsOfOneRank(t *testing.T) {
	pay := &load{
		name: "pay", perSecond: steady(15), took: 200 * time.Millisecond, objective: 500 * time.Millisecond,
		request: admission.Arrive{Rank: 1, RouteRank: 0},
	}
	download := &load{
		name: "download", perSecond: steady(110), took: 200 * time.Millisecond, objective: 1500 * time.Millisecond,
		request: admission.Arrive{Rank: 1, RouteRank: 2},
	}
	if got := replay(costLimits, 12*time.Second, pay, download)("pay", 2, 10); got.share() < 0.97 {
		t.Errorf("payments: %.2f in time, %+v", got.share(), got)
	}
}

// Guards against an account that takes the room of the others. The load: one account of six sends six times its usual.
func TestHotAccountDoesNotCostOthers(t *testing.T) {
	account := func(name string, perSecond func(time.Duration) float64) *load {
		return &load{
			name: name, perSecond: perSecond, took: 250 * time.Millisecond, objective: 800 * time.Millisecond,
			request: admission.Arrive{Rank: 1, Account: name, Priority: rule.PriorityHigh},
		}
	}
	loads := []*load{account("hot", surge(10, 6))}
	for n := range 5 {
		loads = append(loads, account(fmt.Sprint("usual", n), steady(4)))
	}
	got := replay(costLimits, 14*time.Second, loads...)
	for n := range 5 {
		if usual := got(fmt.Sprint("usual", n), 4, 10); usual.share() < 0.9 {
			t.Errorf("account %d: %.2f in time, %+v", n, usual.share(), usual)
		}
	}
	if hot := got("hot", 4, 10); hot.servedShare() < 0.25 {
		t.Errorf("the account above its usual is served %.2f", hot.servedShare())
	}
}

// Guards against calls of back ends that wait behind requests of callers of the same rank: each holds a slot of the back
// end that made it. The load: a lookup for every request of another service, beside twice as many downloads as there is
// room for.
func TestNestedRequestsGoFirst(t *testing.T) {
	nested := &load{
		name: "lookup", perSecond: steady(60), took: 60 * time.Millisecond, objective: 200 * time.Millisecond,
		request: admission.Arrive{Rank: 1, Nested: true},
	}
	download := &load{
		name: "download", perSecond: steady(90), took: 200 * time.Millisecond, objective: 1500 * time.Millisecond,
		request: admission.Arrive{Rank: 1, Priority: rule.PriorityHigh},
	}
	got := replay(costLimits, 12*time.Second, nested, download)
	if lookups := got("lookup", 2, 10); lookups.share() < 0.99 || lookups.refused > 0 {
		t.Errorf("lookups: %+v", lookups)
	}
}

// Guards against long requests that take the room of several short ones of the same rank, and against long ones that then
// get none. The load: lookups and searches, more than twice as much as there is room for, once with lookups that must be
// answered sooner and once with so many lookups that they alone need nearly all slots.
func TestShorterWorkServesMore(t *testing.T) {
	kind := func(name string, perSecond float64, took, objective time.Duration) *load {
		return &load{name: name, perSecond: steady(perSecond), took: took, objective: objective, request: admission.Arrive{Rank: 1}}
	}
	for name, tt := range map[string]struct {
		lookup, search *load
		inTime         float64 // least share of the lookups
	}{
		"lookups sooner": {kind("lookup", 100, 100*time.Millisecond, 400*time.Millisecond), kind("search", 40, 400*time.Millisecond, 1500*time.Millisecond), 0.6},
		"many lookups":   {kind("lookup", 110, 100*time.Millisecond, 900*time.Millisecond), kind("search", 40, 400*time.Millisecond, 900*time.Millisecond), 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			got := replay(costLimits, 14*time.Second, tt.lookup, tt.search)
			short, long := got("lookup", 3, 12), got("search", 3, 12)
			if short.share() < tt.inTime || short.share() < long.share() {
				t.Errorf("in time: lookups %.2f, searches %.2f", short.share(), long.share())
			}
			all := float64(short.served+long.served) / float64(short.asked+long.asked)
			if long.servedShare() < all/4 {
				t.Errorf("searches: %.2f served of %.2f of all", long.servedShare(), all)
			}
			t.Logf("lookups %.2f, searches %.2f of %.2f", short.share(), long.servedShare(), all)
		})
	}
}
