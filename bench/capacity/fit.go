package main

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// line is a least-squares straight line y = Slope·x + Constant.
type line struct {
	Slope    float64
	Constant float64
	// MaxResidual is the largest vertical distance of a point from the line,
	// divided by the largest absolute value of y.
	MaxResidual float64
}

// linearLimit is the MaxResidual above which a quantity is reported as not linear.
// Repeated runs on a shared machine differ by up to about a tenth.
const linearLimit = 0.15

// fit returns the least-squares line of the points. Fewer than two different values
// of x give a constant.
func fit(xs, ys []float64) line {
	if len(xs) == 0 {
		return line{}
	}
	l := line{Constant: stat.Mean(ys, nil)}
	if distinct(xs) > 1 {
		l.Constant, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	}
	largest, worst := 0.0, 0.0
	for i := range xs {
		largest = max(largest, math.Abs(ys[i]))
		worst = max(worst, math.Abs(ys[i]-l.at(xs[i])))
	}
	if largest > 0 {
		l.MaxResidual = worst / largest
	}
	return l
}

func distinct(xs []float64) int {
	seen := map[float64]bool{}
	for _, x := range xs {
		seen[x] = true
	}
	return len(seen)
}

func (l line) at(x float64) float64 { return l.Slope*x + l.Constant }

// linear reports whether all points are close enough to the line.
func (l line) linear() bool { return l.MaxResidual <= linearLimit }
