package main

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// charts are the plotted quantities. Each chart has one file per deployment, with
// one bar per policy and scenario.
var charts = []struct {
	column, label string
	scenarios     []string
}{
	{"p99", "response time over the ideal, p99", []string{"steady-70", "jobs-70", "swing"}},
	{"p99.9", "response time over the ideal, p99.9", []string{"steady-70", "jobs-70", "swing"}},
	{"waste_msgs", "messages per task beyond two", []string{"steady-70", "jobs-70", "crest"}},
	{"in_time", "share of jobs answered in time", []string{"swing", "crest", "cancel"}},
	{"goodput", "goodput as a share of the capacity", []string{"crest", "greedy", "cancel"}},
	{"short_p99", "short tasks over the ideal, p99", []string{"short-alone", "short-and-long"}},
	{"worst_share", "worst caller's share of an equal share", []string{"greedy"}},
}

const (
	chartWidth  = 26 * vg.Centimeter
	chartHeight = 12 * vg.Centimeter
	barWidth    = 9
)

func plots(dir string, rows []*row) error {
	for _, s := range sites {
		for _, c := range charts {
			if err := chart(dir, s.name, c.column, c.label, c.scenarios, rows); err != nil {
				return err
			}
		}
	}
	return nil
}

func chart(dir, site, column, label string, scenarios []string, rows []*row) error {
	p := plot.New()
	p.Title.Text = site
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = true
	var names []string
	for i, sc := range scenarios {
		var values plotter.Values
		names = names[:0]
		for _, r := range rows {
			if r.site == site && r.scenario == sc {
				names = append(names, r.policy)
				values = append(values, value(&r.median, column))
			}
		}
		if len(values) == 0 {
			return nil
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(scenarios)-1)/2))
		p.Add(bars)
		p.Legend.Add(sc, bars)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.6
	p.X.Tick.Label.XAlign = -1
	return p.Save(chartWidth, chartHeight, filepath.Join(dir, site+"-"+column+".png"))
}

func value(r *result, column string) float64 {
	for _, c := range columns {
		if c.name == column {
			return *c.of(r)
		}
	}
	return 0
}
