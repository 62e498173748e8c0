package allowance_test

import (
	"fmt"
	"testing"
	"time"

	"pollenhill.example/core/state/rule"
)

// usualDemand returns the requests per second of 85 accounts of very unequal size, about 700 in all.
func usualDemand() []float64 {
	demand := []float64{140}
	for i := range 84 {
		demand = append(demand, []float64{4, 10}[min(1, i/45)])
	}
	return demand
}

// accountsFor returns accounts whose allowance is 1.6 times their demand.
func accountsFor(demand []float64) []rule.Account {
	accounts := make([]rule.Account, len(demand))
	for i, d := range demand {
		accounts[i] = rule.Account{Name: fmt.Sprintf("account-%d", i), Rate: 1.6 * d, Burst: 1.6 * d}
	}
	return accounts
}

// maxChanceRefusals is how many of 18,000 requests may be refused because a small account reaches its allowance by chance.
const maxChanceRefusals = 4

// Guards against a burst of one account that exceeds its allowance, wastes it, or costs the others requests.
func TestBurstOfOneAccount(t *testing.T) {
	for _, hot := range []int{0, 1, 60} {
		demand := usualDemand()
		f := newFleet(uint64(hot), 78, 5, accountsFor(demand))
		f.run(3 * time.Second) // in which all come in touch
		start := f.now
		copy(f.demand, demand)
		f.run(15 * time.Second)
		f.demand[hot] *= 7
		f.run(8 * time.Second)
		got, owed := float64(f.total(f.admitted, hot, 8*time.Second)), f.accounts[hot].Rate*8+f.accounts[hot].Burst
		if got < 0.9*owed {
			t.Errorf("account %d got %.0f of %.0f requests", hot, got, owed)
		}
		f.demand[hot] /= 7
		refused := 0
		f.run(10 * time.Second)
		for i := range f.accounts {
			if most := f.mostInWindow(i); float64(most) > bound(f.accounts[i]) {
				t.Errorf("account %d got %d requests in a window, above %.0f", i, most, bound(f.accounts[i]))
			}
			if i != hot {
				refused += f.total(f.refused, i, f.now.Sub(start))
			}
		}
		if refused > maxChanceRefusals {
			t.Errorf("%d requests of accounts below their allowance refused", refused)
		}
	}
}

// Guards against a lower allowance that binds only after old requests have left the window, or not at nodes out of touch.
func TestFallingAllowance(t *testing.T) {
	for _, cutShare := range []float64{0, 0.5} {
		f := newFleet(7, 30, 3, accountsFor([]float64{140}))
		f.run(3 * time.Second)
		f.demand[0] = 140
		f.run(10 * time.Second)
		for i, n := range f.nodes {
			n.cut = float64(i) < cutShare*float64(len(f.nodes))
		}
		f.accounts[0].Rate, f.accounts[0].Burst = 60, 60
		for _, n := range f.nodes {
			n.limiter.SetAccounts(f.accounts)
		}
		f.run(5 * time.Second) // until the window holds only what was admitted since
		f.admitted[0] = nil
		f.run(15 * time.Second)
		if most := f.mostInWindow(0); float64(most) > bound(f.accounts[0]) {
			t.Errorf("cut %.1f: %d requests in a window after the allowance fell, above %.0f", cutShare, most, bound(f.accounts[0]))
		}
	}
}

// Guards against nodes that refuse everything, or admit everything, while no control process answers.
func TestGiverLost(t *testing.T) {
	f := newFleet(8, 30, 3, accountsFor([]float64{140}))
	f.run(3 * time.Second)
	f.demand[0] = 140
	f.run(6 * time.Second)
	for _, c := range f.controls {
		c.stopped = f.now.Add(20 * time.Second)
	}
	f.run(10 * time.Second)
	if refused := f.total(f.refused, 0, 10*time.Second); refused > 1400/10 {
		t.Errorf("%d of 1400 requests below the allowance refused while no control process answers", refused)
	}
	f.demand[0] *= 7
	f.run(8 * time.Second)
	if most := f.mostInWindow(0); float64(most) > bound(f.accounts[0]) {
		t.Errorf("%d requests in a window while no control process answers, above %.0f", most, bound(f.accounts[0]))
	}
}

// Guards against nodes out of touch whose share the others use as well.
func TestHoldersCutOff(t *testing.T) {
	f := newFleet(9, 30, 3, accountsFor([]float64{140}))
	f.run(3 * time.Second)
	f.demand[0] = 140
	f.run(6 * time.Second)
	for _, n := range f.nodes[:10] {
		n.cut = true
	}
	f.run(4 * time.Second)
	f.demand[0] *= 7
	f.run(10 * time.Second)
	if most := f.mostInWindow(0); float64(most) > bound(f.accounts[0]) {
		t.Errorf("%d requests in a window with a third of the nodes cut off, above %.0f", most, bound(f.accounts[0]))
	}
}
