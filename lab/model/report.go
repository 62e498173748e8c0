package model

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// pageHeader takes the seed. The targets that the tables name are those of section 1.5 of the design page.
const pageHeader = `# Policy experiments

Command: ` + "`lab model --seed %d --out docs/measurements`" + `. Runs in virtual time with queue models of
back ends; equal seeds give equal tables. All figures come from this model, not from processes.

- Service time: 2 ms plus an exponential part of 8 ms, belonging to the request. Capacity is slots over
  the mean of 10 ms; load is relative to the capacity of all back ends at full speed.
- Arrivals: Poisson, at a rate that jumps between 0.5 and 1.5 times the mean every 5 to 20 ms. One call
  in ten is of high priority and not idempotent, two in ten are of low priority. Deadline 2 s.
- Noisy neighbours halve the speed of a back end for 20 ms about once per second.
- A run takes 13 s: 2 s to warm up, the fault at 5 s, its end at 9 s where it has one. Percentiles are in
  ms, of answered calls, from the fault on where there is one, and at the entry node: the time to the
  client (3 ms or 1 ms one way) is the same for all policies and left out.
- Straggler: a fifth of the speed. Cold: a quarter of the speed, at most 2 requests at once, until 40
  requests have completed; a request above fails. "Silent cold" gives no sign but speed and failures;
  "silent restart" resets all connections.
- Baselines send to the queue of the back end itself (240 connections) without admission. The bound is
  one queue with perfect knowledge of every back end and no limit on its length; it refuses nothing.
- "Needless" counts refusals while a back end in service had a free slot; "over cold cap" counts requests
  above the cold cap, in brackets those after the first sign that the node could see.
`

// writeReport runs the selected tables and writes a Markdown page with their results and targets, to w or with plots into
// the output folder.
func writeReport(w io.Writer, opt Options) error {
	if opt.OutputDir != "" {
		if err := os.MkdirAll(opt.OutputDir, 0o755); err != nil {
			return errors.Wrapf(err, "create folder %s", opt.OutputDir)
		}
	}
	var page, checks strings.Builder
	for _, t := range Tables(opt.Seed) {
		if len(opt.Tables) > 0 && !slices.Contains(opt.Tables, t.Name) {
			continue
		}
		if len(opt.Services) > 0 {
			t.Runs = lo.Filter(t.Runs, func(r RunConfig, _ int) bool { return slices.Contains(opt.Services, r.Deployment.Name) })
		}
		results := t.RunAll(opt.Parallel)
		page.WriteString(t.markdown(results))
		checks.WriteString(t.targetRows(results))
		if opt.OutputDir == "" {
			continue
		}
		fmt.Fprintf(&page, "\n![p99 of %s](policy-%s.svg)\n", t.Name, t.Name)
		if err := t.writePlot(opt.OutputDir, results); err != nil {
			return err
		}
	}
	text := fmt.Sprintf(pageHeader, opt.Seed) + "\n## Targets\n\n| table | case | target | measured | met |\n|---|---|---|--:|---|\n" +
		checks.String() + page.String()
	if opt.OutputDir == "" {
		_, err := io.WriteString(w, text)
		return err
	}
	file := filepath.Join(opt.OutputDir, "policy.md")
	return errors.Wrapf(os.WriteFile(file, []byte(text), 0o644), "write %s", file)
}

func (t *Table) markdown(results []*Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n## %s\n\n%s\n\n", t.Name, t.Description)
	b.WriteString("| case | policy | steady p99 | p50 | p99 | p99.9 | good | refused (needless) | failed | late | retries | hedges | amplification | probe | over cold cap (after a sign) |\n")
	b.WriteString("|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for i, run := range t.Runs {
		b.WriteString(t.resultRow(run, results[i]))
	}
	return b.String()
}

func (t *Table) resultRow(run RunConfig, r *Result) string {
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %d | %d (%d) | %d | %d | %d | %d | %.3f | %s | %d (%d) |\n",
		t.caseName(run), run.Policy, formatMillis(r.QuantileBeforeFault(0.99)), formatMillis(r.Quantile(0.5)), formatMillis(r.Quantile(0.99)), formatMillis(r.Quantile(0.999)),
		r.CallsByEnding[answered], r.CallsByEnding[refused], r.NeedlessRefusals, r.CallsByEnding[failed], r.CallsByEnding[late],
		r.Retries, r.Hedges, r.Amplification(), formatMillis(r.MaxProbeTime), r.OverColdLimit, r.OverDetectableColdLimit)
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
