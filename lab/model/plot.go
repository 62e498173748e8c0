package model

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// writePlot writes a plot of the p99 of every case and policy to policy-<name>.svg.
func (t *Table) writePlot(folder string, results []*Result) error {
	p := plot.New()
	p.Title.Text = t.Description
	p.Title.TextStyle.Font.Size = vg.Points(9)
	p.Y.Label.Text = "p99, ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: 3}
	p.Legend.Top = true
	p.X.Tick.Label.Rotation = 0.6
	p.X.Tick.Label.XAlign = -0.9
	cases, lines := t.plotLines(results)
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrapf(err, "plot table %s", t.Name)
	}
	p.NominalX(cases...)
	file := filepath.Join(folder, "policy-"+t.Name+".svg")
	return errors.Wrapf(p.Save(plotWidth, plotHeight, file), "write plot %s", file)
}

// plotLines returns the names of the cases and one named line for each policy.
func (t *Table) plotLines(results []*Result) ([]string, []any) {
	var cases []string
	caseIndex := map[string]int{}
	points := map[Policy]plotter.XYs{}
	for i, run := range t.Runs {
		name := t.caseName(run)
		if _, ok := caseIndex[name]; !ok {
			caseIndex[name] = len(cases)
			cases = append(cases, name)
		}
		points[run.Policy] = append(points[run.Policy], plotter.XY{
			X: float64(caseIndex[name]),
			Y: max(0.1, results[i].Quantile(0.99).Seconds()*1000),
		})
	}
	var lines []any
	for _, policy := range allPolicies {
		if len(points[policy]) > 0 {
			lines = append(lines, policy.String(), points[policy])
		}
	}
	return cases, lines
}
