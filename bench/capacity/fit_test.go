package main

import (
	"bytes"
	"math"
	"strings"
	"testing"
)

func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		xs, ys []float64
		want   line
		linear bool
	}{
		// Guards against swapped slope and constant.
		{"straight", []float64{1, 2, 10}, []float64{5, 7, 23}, line{Slope: 2, Constant: 3}, true},
		// Guards against a slope that is not a number when all sizes are equal.
		{"one size", []float64{4, 4}, []float64{1, 3}, line{Constant: 2, MaxResidual: 1.0 / 3}, false},
		// Guards against a quadratic cost that passes as linear.
		{"quadratic", []float64{0, 1, 2}, []float64{0, 1, 4}, line{Slope: 2, Constant: -1.0 / 3, MaxResidual: 1.0 / 6}, false},
		// Guards against a division by zero without points and with all values 0.
		{"empty", nil, nil, line{}, true},
		{"zero", []float64{1, 2}, []float64{0, 0}, line{}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := fit(test.xs, test.ys)
			for _, pair := range [][2]float64{
				{got.Slope, test.want.Slope}, {got.Constant, test.want.Constant}, {got.MaxResidual, test.want.MaxResidual},
			} {
				if math.Abs(pair[0]-pair[1]) > 1e-9 {
					t.Fatalf("fit is %+v, want %+v", got, test.want)
				}
			}
			if got.linear() != test.linear {
				t.Errorf("linear is %v, want %v", got.linear(), test.linear)
			}
		})
	}
}

// Guards against a table whose fit mixes the points of two quantities.
func TestReportFitsEachQuantity(t *testing.T) {
	var out bytes.Buffer
	r := newReport(&out)
	for _, x := range []float64{1, 2, 3} {
		r.addPoint("cost", "agents", x, "µs", 2*x)
		r.addPoint("bytes", "agents", x, "B", 10*x)
	}
	r.printFits()
	if got := r.fitted["cost"].Slope; math.Abs(got-2) > 1e-9 {
		t.Errorf("slope of cost is %v, want 2", got)
	}
	if got := r.fitted["bytes"].Slope; math.Abs(got-10) > 1e-9 {
		t.Errorf("slope of bytes is %v, want 10", got)
	}
	if !strings.Contains(out.String(), "cost") {
		t.Errorf("the printed table lacks a quantity: %s", out.String())
	}
}

// Guards against CSV that loses a point or its unit.
func TestReportCSV(t *testing.T) {
	r := newReport(&bytes.Buffer{})
	r.addPoint("cost", "agents", 3, "µs", 1.5)
	var out bytes.Buffer
	if err := r.writeCSV(&out); err != nil {
		t.Fatal(err)
	}
	want := "quantity,by,size,unit,value\ncost,agents,3,µs,1.5\n"
	if out.String() != want {
		t.Errorf("CSV is %q, want %q", out.String(), want)
	}
}
