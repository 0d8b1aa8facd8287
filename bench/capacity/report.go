package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// point is one measured value of a quantity at one size. The names of quantities
// and of by are written to the CSV file.
type point struct {
	quantity string
	// by tells what size counts, such as agents.
	by    string
	size  float64
	unit  string
	value float64
}

// report collects the points of all measurements.
type report struct {
	out    io.Writer
	points []point
	// fitted has the line of each quantity with two or more sizes.
	fitted map[string]line
}

func newReport(out io.Writer) *report { return &report{out: out, fitted: map[string]line{}} }

// addPoint adds a value and prints it, so that a run that is interrupted still shows
// what it has measured.
func (r *report) addPoint(quantity, by string, size float64, unit string, value float64) {
	r.points = append(r.points, point{quantity, by, size, unit, value})
	fmt.Fprintf(r.out, "  %-52s %s=%-8g %14.6g %s\n", quantity, by, size, value, unit)
}

func (r *report) section(title string) { fmt.Fprintf(r.out, "\n%s\n", title) }

// printFits fits and prints a line for each quantity with two or more sizes.
func (r *report) printFits() {
	r.section("Fits: value = slope × size + constant")
	w := tabwriter.NewWriter(r.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "quantity\tby\tunit\tslope\tconstant\tresidual\tpoints\t")
	for _, quantity := range r.quantities() {
		xs, ys, first := r.series(quantity)
		if distinct(xs) < 2 {
			continue
		}
		l := fit(xs, ys)
		r.fitted[quantity] = l
		note := ""
		if !l.linear() {
			note = "not linear"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.5g\t%.5g\t%.1f%%\t%d\t%s\n",
			quantity, first.by, first.unit, l.Slope, l.Constant, 100*l.MaxResidual, len(xs), note)
	}
	// The report goes to a terminal or a file, where a failed write is noticed.
	_ = w.Flush()
}

// quantities returns the names in the order of their first points.
func (r *report) quantities() []string {
	var names []string
	seen := map[string]bool{}
	for _, p := range r.points {
		if !seen[p.quantity] {
			seen[p.quantity] = true
			names = append(names, p.quantity)
		}
	}
	return names
}

func (r *report) series(quantity string) (xs, ys []float64, first point) {
	for _, p := range r.points {
		if p.quantity != quantity {
			continue
		}
		if len(xs) == 0 {
			first = p
		}
		xs = append(xs, p.size)
		ys = append(ys, p.value)
	}
	return xs, ys, first
}

func (r *report) writeCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	rows := [][]string{{"quantity", "by", "size", "unit", "value"}}
	for _, p := range r.points {
		rows = append(rows, []string{p.quantity, p.by, formatFloat(p.size), p.unit, formatFloat(p.value)})
	}
	return w.WriteAll(rows)
}

func formatFloat(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
