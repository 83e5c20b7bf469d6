package main

import "math"

func log2(n int) float64 { return math.Log2(float64(n)) }

// fit returns y at x0 by least squares over the measurements.
func (r *report) fit(x0 float64, x, y func(*measurement) float64) float64 {
	list := r.plain()
	n := float64(len(list))
	var sx, sy, sxx, sxy float64
	for i := range list {
		m := &list[i]
		sx += x(m)
		sy += y(m)
		sxx += x(m) * x(m)
		sxy += x(m) * y(m)
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return sy/n + slope*(x0-sx/n)
}
