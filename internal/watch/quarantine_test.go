package watch

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// TestDecodePattern guards against records that hold back requests because of values which no
// entry writes, and against times that overflow.
func TestDecodePattern(t *testing.T) {
	value, err := EncodePattern(quarantine.Pattern{Elements: []string{"p"}, Crashes: 3, Proven: true, Until: clock.Now() + time.Hour})
	assert.NilError(t, err)
	p, err := decodePattern(value)
	assert.NilError(t, err)
	assert.Assert(t, p.Elements[0] == "p" && p.Crashes == 3 && p.Proven)
	assert.Assert(t, p.Until > clock.Now()+time.Hour-time.Minute && p.Until <= clock.Now()+time.Hour)
	p, err = decodePattern([]byte(`{"parts":["p"],"crashes":3,"until_ms":253402300799999}`))
	assert.NilError(t, err)
	assert.Assert(t, p.Until > clock.Now() && p.Until <= clock.Now()+maxPatternTime)
	for _, odd := range []string{
		"", "null", "[]", "{}", strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		`{"parts":[],"until_ms":1}`,
		`{"parts":["p"` + strings.Repeat(`,"p"`, maxPatternElements) + `],"until_ms":1}`,
		`{"parts":["p"],"crashes":-1,"until_ms":1}`,
		`{"parts":["p"],"crashes":9223372036854775807,"until_ms":1}`,
		`{"parts":["p"],"until_ms":9223372036854775807}`,
		`{"parts":["p"],"until_ms":-9223372036854775808}`,
		`{"parts":["p"],"until_ms":1e300}`,
	} {
		_, err := decodePattern([]byte(odd))
		assert.Assert(t, errors.Is(err, platform.ErrInvalidRecord), "%.80s", odd)
	}
}

// FuzzDecodePattern checks that the time of a decoded pattern does not overflow.
func FuzzDecodePattern(f *testing.F) {
	f.Add([]byte(`{"parts":["p"],"crashes":3,"proven":true,"until_ms":1800000000000}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		p, err := decodePattern(value)
		if err != nil {
			assert.Assert(t, errors.Is(err, platform.ErrInvalidRecord))
			return
		}
		assert.Assert(t, len(p.Elements) > 0 && p.Crashes >= 0 && p.Until <= clock.Now()+maxPatternTime)
	})
}
