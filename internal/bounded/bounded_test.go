package bounded

import (
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestReadAll(t *testing.T) {
	data, err := ReadAll(strings.NewReader("12345"), 5)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "12345")
	_, err = ReadAll(strings.NewReader("123456"), 5)
	assert.Assert(t, errors.Is(err, ErrTooLarge), "%v", err)
	broken := errors.New("broken")
	_, err = ReadAll(iotest.ErrReader(broken), 5)
	assert.Assert(t, errors.Is(err, broken))
}
