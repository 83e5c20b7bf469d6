package schema

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"qasr", "etichetta"} {
		text, err := os.ReadFile("../../examples/" + name + "/schema.toml")
		assert.NilError(t, err)
		_, err = Parse(text)
		assert.NilError(t, err, name)
	}
}
