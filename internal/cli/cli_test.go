package cli

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

type coded struct{ error }

func (coded) ExitCode() int { return 7 }

func TestCodeOf(t *testing.T) {
	assert.Equal(t, CodeOf(errors.New("plain")), ExitFailed)
	assert.Equal(t, CodeOf(errors.Wrap(coded{errors.New("inner")}, "outer")), 7)
}
