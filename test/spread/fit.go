package main

import "math"

func log2(n int) float64 { return math.Log2(float64(n)) }

// extrapolate fits y as a linear function of x to the measurements by least squares, and
// returns its value at targetX.
func (r *report) extrapolate(targetX float64, x, y func(*measurement) float64) float64 {
	measurements := r.withoutExtraRows()
	n := float64(len(measurements))
	var sumX, sumY, sumXX, sumXY float64
	for i := range measurements {
		m := &measurements[i]
		sumX += x(m)
		sumY += y(m)
		sumXX += x(m) * x(m)
		sumXY += x(m) * y(m)
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return sumY/n + slope*(targetX-sumX/n)
}
