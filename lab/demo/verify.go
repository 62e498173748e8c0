package demo

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/lab/state/layout"
	"pollenhill.example/lab/state/requeststats"
)

const (
	statsTimeout = 5 * time.Second
	maxPrinted   = 20 // failed requests, and violated invariants
)

// backendStats is the part of a stand-in's GET /stats that the checks need.
type backendStats struct {
	Name     string `json:"name"`
	Requests struct {
		Started       int       `json:"Started"`
		LastStart     time.Time `json:"Last"`
		OverSlots     int       `json:"Over"`
		OverColdSlots int       `json:"OverCold"`
	} `json:"work"`
	ReservationRuns map[string]int `json:"runs"`
	ProbeTime       time.Duration  `json:"probing"`
}

func readStats(v layout.VM) (backendStats, error) {
	var s backendStats
	code, body, err := fasthttp.GetTimeout(nil, "http://"+v.AdminAddress().String()+"/stats", statsTimeout)
	if err != nil || code != fasthttp.StatusOK {
		return s, errors.Newf("read stats of %s: status %d, error %v", v.BackendName, code, err)
	}
	return s, errors.Wrapf(json.Unmarshal(body, &s), "read stats of %s", v.BackendName)
}

// startedRequests returns the number of requests that each back end of a zone has started, by name. It leaves out back
// ends whose counts it cannot read.
func (d *demonstration) startedRequests(zone string) map[string]int {
	started := map[string]int{}
	for _, v := range d.fleet.VMs() {
		if v.Zone.Name != zone {
			continue
		}
		if s, err := readStats(v); err == nil {
			started[v.BackendName] = s.Requests.Started
		}
	}
	return started
}

// checkInvariants compares the outcomes that callers received with the requests that back ends ran, prints the result and
// returns an error if an invariant was violated.
func (d *demonstration) checkInvariants() error {
	runs := map[string]int{}
	var violations []string
	elapsed := time.Since(d.start)
	for _, v := range d.fleet.VMs() {
		s, err := readStats(v)
		if err != nil {
			return err
		}
		for id, n := range s.ReservationRuns {
			runs[id] += n
		}
		probeShare := s.ProbeTime.Seconds() / (elapsed.Seconds() * backendSlots)
		fmt.Fprintf(d.cfg.Output, "%s: %d started, %d above the slots, %d above the cold limit, probes %.3f%% of slot time\n",
			v.BackendName, s.Requests.Started, s.Requests.OverSlots, s.Requests.OverColdSlots, probeShare*100)
		if (s.Requests.OverColdSlots > 0 || s.Requests.OverSlots > 0) && v.BackendName != d.silentColdBackend {
			violations = append(violations, fmt.Sprintf("%s received more requests at once than its concurrency limit", v.BackendName))
		}
		if probeShare > 0.01 {
			violations = append(violations, fmt.Sprintf("probes of %s took more than 1%% of slot time", v.BackendName))
		}
	}
	report := d.outcomes.Check(runs)
	fmt.Fprintf(d.cfg.Output, "reservations: %d run once, %d not run, %d unknown\n", report.Answered, report.NotRun, report.Unknown)
	violations = append(violations, report.Violations...)
	if n := d.table.Total(requeststats.Lookup, startupPhase); !d.cfg.InjectFaults && n.Complete < n.Sent {
		violations = append(violations, fmt.Sprintf("%d of %d lookups failed at a load that two zones can handle", n.Sent-n.Complete, n.Sent))
	}
	if n := d.table.Total(requeststats.Download, startupPhase); !d.cfg.InjectFaults && n.Complete < n.Sent {
		violations = append(violations, fmt.Sprintf("%d of %d downloads were incomplete", n.Sent-n.Complete, n.Sent))
	}
	violations = append(violations, d.falseSuccesses...)
	for _, violation := range violations[:min(len(violations), maxPrinted)] {
		fmt.Fprintln(d.cfg.Output, "broken:", violation)
	}
	if len(violations) > 0 {
		return errors.Newf("invariants broken %d times", len(violations))
	}
	fmt.Fprintln(d.cfg.Output, "no invariant was broken")
	return nil
}
