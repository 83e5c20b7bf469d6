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

// files returns the contents of the files of testdata with a suffix, by path.
func files(t testing.TB, patterns ...string) map[string][]byte {
	all := map[string][]byte{}
	for _, pattern := range patterns {
		paths, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		assert.Assert(t, len(paths) > 0, pattern)
		for _, path := range paths {
			text, err := os.ReadFile(path)
			assert.NilError(t, err)
			all[path] = text
		}
	}
	return all
}

func TestGoodSchemas(t *testing.T) {
	for path, text := range files(t, "testdata/*.good", "../../examples/*/schema.toml") {
		_, err := Parse(text)
		assert.NilError(t, err, path)
	}
}

// TestBadSchemas holds the mistakes of each file against its lines "# want: ".
// A line that ends in a space is the beginning of a mistake.
func TestBadSchemas(t *testing.T) {
	for path, text := range files(t, "testdata/*.bad") {
		t.Run(filepath.Base(path), func(t *testing.T) {
			_, err := Parse(text)
			var mistakes Mistakes
			assert.Assert(t, errors.As(err, &mistakes), "%v", err)
			var want []string
			for line := range strings.Lines(string(text)) {
				if w, ok := strings.CutPrefix(line, "# want: "); ok {
					want = append(want, strings.TrimSuffix(w, "\n"))
				}
			}
			assert.Equal(t, len(mistakes), len(want), "%v", err)
			for i := range want {
				got := mistakes[i].String()
				if strings.HasSuffix(want[i], " ") {
					assert.Assert(t, strings.HasPrefix(got, want[i]), got)
					continue
				}
				assert.Equal(t, got, want[i])
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range files(f, "testdata/*.good", "testdata/*.bad", "../../examples/*/schema.toml") {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err != nil {
			var mistakes Mistakes
			assert.Assert(t, errors.As(err, &mistakes) && len(mistakes) > 0, "%v", err)
			return
		}
		body, err := json.Marshal(s)
		assert.NilError(t, err)
		again := &Schema{}
		assert.NilError(t, json.Unmarshal(body, again))
		again.Normalize()
		assert.Equal(t, len(again.Validate()), 0)
	})
}
