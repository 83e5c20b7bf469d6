package reqid

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOwner checks the owner of well-formed IDs, including entry names that contain the
// separator, and that malformed IDs are rejected.
func TestOwner(t *testing.T) {
	cases := []struct {
		id, owner string
		ok        bool
	}{
		{New("entry-1", 1, 2), "entry-1", true},
		{New("a~b", 1<<63, 1<<63), "a~b", true},
		{"", "", false},
		{"entry-1", "", false},
		{"~1.2", "", false},
		{"entry-1~", "", false},
		{strings.Repeat("e", MaxLength) + "~1", "", false},
	}
	for _, c := range cases {
		owner, ok := Owner(c.id)
		assert.Equal(t, ok, c.ok, c.id)
		assert.Equal(t, owner, c.owner, c.id)
	}
}

// FuzzOwner checks that the owner of every well-formed ID is a prefix of the ID.
func FuzzOwner(f *testing.F) {
	f.Add("entry-1~1.2")
	f.Add("~")
	f.Fuzz(func(t *testing.T, id string) {
		if owner, ok := Owner(id); ok && !strings.HasPrefix(id, owner+separator) {
			t.Fatalf("owner %q of %q", owner, id)
		}
	})
}
