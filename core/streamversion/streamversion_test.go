package streamversion

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTable(t *testing.T) {
	const second = time.Second
	table := New()
	table.Add(0, Record{"a", "v1", 10 * second}, true)
	table.Add(0, Record{"b", "v2", 10 * second}, false)
	table.Add(0, Record{"c", "v1", 10 * MaxAge}, false)
	table.Add(5*second, Record{"expired", "v1", 5 * second}, true)
	tests := []struct {
		at      time.Duration
		stream  string
		version string
		ok      bool
	}{
		{9 * second, "a", "v1", true},
		{9 * second, "b", "v2", true},
		{10 * second, "a", "v1", false},
		{MaxAge - 1, "c", "v1", true},
		{MaxAge, "c", "v1", false},
		{5 * second, "expired", "", false},
		{5 * second, "unknown", "", false},
	}
	for _, tt := range tests {
		version, ok := table.Version(tt.at, tt.stream)
		assert.Equal(t, ok, tt.ok, "%s at %v", tt.stream, tt.at)
		if ok {
			assert.Equal(t, version, tt.version)
		}
	}
	assert.DeepEqual(t, table.Local(9*second), []Record{{"a", "v1", 10 * second}})

	// A stream that broke off before its first whole event may begin at another version.
	table.Add(0, Record{"a", "v2", 10 * second}, false)
	assert.DeepEqual(t, table.Local(9*second), []Record{{"a", "v2", 10 * second}})
	assert.Equal(t, len(table.Local(10*second)), 0)
}

// TestTableIsBounded guards against records of a long run of the process piling up: 4,000
// streams a second that may be resumed for 15 s.
func TestTableIsBounded(t *testing.T) {
	const rate, retention, seconds = 4000, 15, 120
	table := New()
	for i := range rate * seconds {
		now := time.Duration(i) * time.Second / rate
		table.Add(now, Record{fmt.Sprint("stream-", i), "v1", now + retention*time.Second}, true)
		assert.Assert(t, len(table.entries) <= 2*rate*retention+1, "%d records at %v", len(table.entries), now)
	}
}
