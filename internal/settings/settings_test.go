package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

func TestLoadEntryReportsAllErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.toml")
	assert.NilError(t, os.WriteFile(path, []byte("[policy]\nrouting = \"random\"\n"), 0o600))
	_, err := LoadEntry(path)
	assert.ErrorContains(t, err, "instance.id: a value is needed")
	assert.ErrorContains(t, err, "policy.routing: allowed are least-finish, round-robin")
}

func TestDocumentMatchesSettings(t *testing.T) {
	golden.Assert(t, Document(), "../../../docs/SETTINGS.md")
}

func TestSettingsFiles(t *testing.T) {
	load := map[string]func(string) error{
		"entry": func(p string) error { _, err := LoadEntry(p); return err },
		"agent": func(p string) error { _, err := LoadAgent(p); return err },
	}
	validFiles, err := filepath.Glob("testdata/*.good")
	assert.NilError(t, err)
	examples, err := filepath.Glob("../../examples/*.toml")
	assert.NilError(t, err)
	for _, f := range append(validFiles, examples...) {
		role, _, _ := strings.Cut(filepath.Base(f), ".")
		role, _, _ = strings.Cut(role, "-")
		assert.NilError(t, load[role](f), f)
	}
	invalidFiles, err := filepath.Glob("testdata/*.bad")
	assert.NilError(t, err)
	for _, f := range invalidFiles {
		role, _, _ := strings.Cut(filepath.Base(f), "-")
		err := load[role](f)
		assert.Assert(t, err != nil, f)
		golden.Assert(t, err.Error()+"\n", filepath.Base(f)+".mistakes")
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte("[instance]\nid = \"entry-1\"\n"))
	f.Add([]byte("[limits]\nread_timeout = \"10s\"\nrequests = -1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		e := &Entry{}
		if errs := schema.Decode(text, e); len(errs) > 0 {
			return
		}
		e.applyDefaults("entry.toml")
		for _, validationErr := range e.validate() {
			assert.Assert(t, validationErr.Path != "" && validationErr.Reason != "")
		}
	})
}
