// Package jitter distributes instances and requests over time by their names, so that the
// same name always gets the same place and no random source is needed.
package jitter

import "math"

// Fraction maps a name to a number in [0, 1), uniformly over names, by FNV-1a.
func Fraction(name string) float64 {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return float64(h) / (math.MaxUint32 + 1)
}
