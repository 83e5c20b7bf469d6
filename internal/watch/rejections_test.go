package watch

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
)

// TestOddServerRecordIsLoggedOnce guards against records that are ignored without a word, and
// against a log line for each time that another writer writes the same record again.
func TestOddServerRecordIsLoggedOnce(t *testing.T) {
	var lines []string
	log := funcr.NewJSON(func(line string) {
		var fields struct {
			Message string `json:"msg"`
			Key     string `json:"key"`
			Cause   string `json:"cause"`
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		if fields.Message == "Server record rejected." {
			lines = append(lines, fields.Key+": "+fields.Cause)
		}
	}, funcr.Options{})
	s := NewServers(newScriptedStore(), time.Second, log, func() {})
	odd := func(value string) platform.KeyedRecord { return platform.KeyedRecord{Key: "odd", Value: []byte(value)} }
	port := strings.Replace(string(serverRecord("a", false).Value), "127.0.0.1:1", "127.0.0.1:70000", 1)
	state := strings.Replace(string(serverRecord("a", false).Value), "ready", "lost", 1)
	apply := func(set recordSet, records ...platform.KeyedRecord) { s.applyRecords(records, set) }

	apply(newestRecords, serverRecord("a", false), odd(port))
	apply(newRecords, odd(port), serverRecord("a", false), odd(port))
	assert.Equal(t, len(lines), 1, "%q", lines)
	assert.Assert(t, strings.HasPrefix(lines[0], "odd: ") && strings.Contains(lines[0], "70000"), "%q", lines)
	apply(newRecords, odd(state), odd(state))
	assert.Equal(t, len(lines), 2, "another cause: %q", lines)
	apply(newRecords, platform.KeyedRecord{Key: "odd", Deleted: true}, odd(state))
	assert.Equal(t, len(lines), 3, "after the record was deleted: %q", lines)
	apply(newRecords, odd(`{"seq":1`+strings.Repeat("0", 100_000)+`}`))
	assert.Assert(t, len(lines) == 4 && len(lines[3]) < 2*maxCauseBytes)
	assert.Assert(t, s.Takes("a") && !s.Takes("odd"))
	for i := range 3 * maxRejections {
		apply(newRecords, platform.KeyedRecord{Key: strings.Repeat("k", i%255) + "\xff", Value: []byte("odd")})
	}
	assert.Assert(t, len(s.rejected.causes) <= maxRejections)
}

// TestOddRecordDoesNotKeepServer guards against a server that left unnoticed and is still used,
// because another writer has left a record under its key: when all records are read again, only
// a valid one shows that a server is still there. While the changes are read one by one, the
// removal of the server is seen, so that the odd record changes nothing.
func TestOddRecordDoesNotKeepServer(t *testing.T) {
	s := NewServers(newScriptedStore(), time.Second, logr.Discard(), func() {})
	odd := platform.KeyedRecord{Key: "a", Value: []byte(`{"state":"lost"}`)}
	s.applyRecords([]platform.KeyedRecord{serverRecord("a", false), serverRecord("b", false)}, newestRecords)
	s.applyRecords([]platform.KeyedRecord{odd}, newRecords)
	assert.Assert(t, s.Takes("a") && s.Takes("b"))
	s.applyRecords([]platform.KeyedRecord{odd, serverRecord("b", false)}, newestRecords)
	assert.Assert(t, !s.Takes("a") && s.Takes("b"))
	s.applyRecords([]platform.KeyedRecord{serverRecord("a", false)}, newRecords)
	assert.Assert(t, s.Takes("a"), "the server wrote its record again")
}
