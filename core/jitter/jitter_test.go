package jitter

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFractionIsUniform(t *testing.T) {
	const names, parts = 10_000, 10
	var count [parts]int
	for i := range names {
		f := Fraction(fmt.Sprint("request-", i))
		assert.Assert(t, f >= 0 && f < 1)
		count[int(f*parts)]++
	}
	for _, n := range count {
		assert.Assert(t, n > names/parts*8/10 && n < names/parts*12/10, "%v", count)
	}
	assert.Equal(t, Fraction("a"), Fraction("a"))
}
