package cli

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

type codedError struct{ error }

func (codedError) ExitCode() int { return 7 }

func TestExitCode(t *testing.T) {
	assert.Equal(t, ExitCode(errors.New("plain")), ExitFailed)
	assert.Equal(t, ExitCode(errors.Wrap(codedError{errors.New("inner")}, "outer")), 7)
}
