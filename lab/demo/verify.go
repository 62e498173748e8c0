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
	shown        = 20 // broken invariants printed
)

// stats is the part of a stand-in's GET /stats that the checks need.
type stats struct {
	Name string `json:"name"`
	Work struct {
		Started  int       `json:"Started"`
		Last     time.Time `json:"Last"`
		Over     int       `json:"Over"`
		OverCold int       `json:"OverCold"`
	} `json:"work"`
	Runs    map[string]int `json:"runs"`
	Probing time.Duration  `json:"probing"`
}

func readStats(v layout.VM) (stats, error) {
	var s stats
	code, body, err := fasthttp.GetTimeout(nil, "http://"+v.AdminAddress().String()+"/stats", statsTimeout)
	if err != nil || code != fasthttp.StatusOK {
		return s, errors.Newf("read stats of %s: status %d, error %v", v.BackendName, code, err)
	}
	return s, errors.Wrapf(json.Unmarshal(body, &s), "read stats of %s", v.BackendName)
}

// startedIn returns the requests started so far by the back ends of a zone.
func (r *run) startedIn(zone string) map[string]int {
	started := map[string]int{}
	for _, v := range r.fleet.VMs() {
		if v.Zone.Name != zone {
			continue
		}
		if s, err := readStats(v); err == nil {
			started[v.BackendName] = s.Work.Started
		}
	}
	return started
}

// verify compares what callers were told with what back ends ran.
func (r *run) verify() error {
	runs := map[string]int{}
	var broken []string
	elapsed := time.Since(r.began)
	for _, v := range r.fleet.VMs() {
		s, err := readStats(v)
		if err != nil {
			return err
		}
		for id, n := range s.Runs {
			runs[id] += n
		}
		share := s.Probing.Seconds() / (elapsed.Seconds() * slots)
		fmt.Fprintf(r.cfg.Output, "%s: %d started, %d above the slots, %d above the cold limit, probes %.3f%% of slot time\n",
			v.BackendName, s.Work.Started, s.Work.Over, s.Work.OverCold, share*100)
		if (s.Work.OverCold > 0 || s.Work.Over > 0) && v.BackendName != r.turnedCold {
			broken = append(broken, fmt.Sprintf("%s got more than it can handle", v.BackendName))
		}
		if share > 0.01 {
			broken = append(broken, fmt.Sprintf("probes of %s took more than 1%% of slot time", v.BackendName))
		}
	}
	report := r.notes.Check(runs)
	fmt.Fprintf(r.cfg.Output, "reservations: %d run once, %d not run, %d unknown\n", report.Answered, report.NotRun, report.Unknown)
	broken = append(broken, report.Violations...)
	if n := r.table.Total(requeststats.Lookup, starting); !r.cfg.InjectFaults && n.Complete < n.Sent {
		broken = append(broken, fmt.Sprintf("%d of %d lookups failed at a load that two zones can handle", n.Sent-n.Complete, n.Sent))
	}
	if n := r.table.Total(requeststats.Download, starting); !r.cfg.InjectFaults && n.Complete < n.Sent {
		broken = append(broken, fmt.Sprintf("%d of %d downloads were not whole", n.Sent-n.Complete, n.Sent))
	}
	broken = append(broken, r.clean...)
	for _, problem := range broken[:min(len(broken), shown)] {
		fmt.Fprintln(r.cfg.Output, "broken:", problem)
	}
	if len(broken) > 0 {
		return errors.Newf("invariants broken %d times", len(broken))
	}
	fmt.Fprintln(r.cfg.Output, "no invariant was broken")
	return nil
}
