package settings

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLoadEntryListsAllMistakes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.toml")
	assert.NilError(t, os.WriteFile(path, []byte("[policy]\nrouting = \"random\"\n"), 0o600))
	_, err := LoadEntry(path)
	assert.ErrorContains(t, err, "instance.id: a value is needed")
	assert.ErrorContains(t, err, "policy.routing: allowed are least-finish, round-robin")
}
