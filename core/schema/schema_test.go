package schema

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// readFiles returns the contents of all files that match the patterns, by path.
func readFiles(t testing.TB, patterns ...string) map[string][]byte {
	contents := map[string][]byte{}
	for _, pattern := range patterns {
		paths, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		assert.Assert(t, len(paths) > 0, pattern)
		for _, path := range paths {
			text, err := os.ReadFile(path)
			assert.NilError(t, err)
			contents[path] = text
		}
	}
	return contents
}

func TestValidSchemas(t *testing.T) {
	for path, text := range readFiles(t, "testdata/*.good", "../../examples/*/schema.toml") {
		_, err := Parse(text)
		assert.NilError(t, err, path)
	}
}

// TestInvalidSchemas compares the validation errors of each file with its lines
// that start with "# want: ". Such a line that ends in a space is only the prefix
// of an error whose rest comes from the TOML or the time package.
func TestInvalidSchemas(t *testing.T) {
	for path, text := range readFiles(t, "testdata/*.bad") {
		t.Run(filepath.Base(path), func(t *testing.T) {
			_, err := Parse(text)
			var errs ValidationErrors
			assert.Assert(t, errors.As(err, &errs), "%v", err)
			var want []string
			for line := range strings.Lines(string(text)) {
				if w, ok := strings.CutPrefix(line, "# want: "); ok {
					want = append(want, strings.TrimSuffix(w, "\n"))
				}
			}
			assert.Equal(t, len(errs), len(want), "%v", err)
			for i := range want {
				got := errs[i].String()
				if strings.HasSuffix(want[i], " ") {
					assert.Assert(t, strings.HasPrefix(got, want[i]), got)
					continue
				}
				assert.Equal(t, got, want[i])
			}
		})
	}
}

// FuzzParse checks that Parse fails only with ValidationErrors, and that a valid
// schema is still valid after a round trip through JSON.
func FuzzParse(f *testing.F) {
	for _, text := range readFiles(f, "testdata/*.good", "testdata/*.bad", "../../examples/*/schema.toml") {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err != nil {
			var errs ValidationErrors
			assert.Assert(t, errors.As(err, &errs) && len(errs) > 0, "%v", err)
			return
		}
		body, err := json.Marshal(s)
		assert.NilError(t, err)
		decoded := &Schema{}
		assert.NilError(t, json.Unmarshal(body, decoded))
		decoded.Normalize()
		assert.Equal(t, len(decoded.Validate()), 0)
	})
}
