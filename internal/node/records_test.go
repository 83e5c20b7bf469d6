package node

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/roster"
	"github.com/magnoliawheel/magnoliawheel/core/streamversion"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// deepJSON is a value of more levels than records have.
var deepJSON = strings.Repeat("[", 9000) + strings.Repeat("]", 9000)

func keyedRecord(key, value string) platform.KeyedRecord {
	return platform.KeyedRecord{Key: key, Value: []byte(value), Offset: 7}
}

// TestDecodeEntryRecord guards against records that count as entries, and against one that another
// writer has placed before all entries.
func TestDecodeEntryRecord(t *testing.T) {
	sound := roster.Record{Address: "10.0.0.1:7740", StartID: 1700000000000000000, Era: 2, FirstRecordNumber: 9, Stopped: true}
	value, err := json.Marshal(sound)
	assert.NilError(t, err)
	rec, err := decodeEntryRecord(platform.KeyedRecord{Key: "e1", Value: value, Offset: 7})
	assert.NilError(t, err)
	sound.Name, sound.Offset = "e1", 7
	assert.DeepEqual(t, rec, sound)
	for _, odd := range []platform.KeyedRecord{
		keyedRecord("e1", ""), keyedRecord("e1", "null"), keyedRecord("e1", "[]"), keyedRecord("e1", "{}"), keyedRecord("e1", deepJSON),
		keyedRecord("", `{"address":"10.0.0.1:7740"}`),
		keyedRecord("\xff", `{"address":"10.0.0.1:7740"}`),
		keyedRecord("e1", `{"address":"10.0.0.1:70000"}`),
		keyedRecord("e1", `{"address":"evil name:1"}`),
		keyedRecord("e1", `{"address":"10.0.0.1:7740","era":-1}`),
		keyedRecord("e1", `{"address":"10.0.0.1:7740","era":9223372036854775807}`),
		keyedRecord("e1", `{"address":"10.0.0.1:7740","first":-1}`),
		keyedRecord("e1", `{"address":"10.0.0.1:7740","first":9223372036854775807}`),
		keyedRecord("e1", `{"address":"10.0.0.1:7740","start":1e30}`),
	} {
		_, err := decodeEntryRecord(odd)
		assert.Assert(t, errors.Is(err, platform.ErrInvalidRecord), "%q %.80s", odd.Key, odd.Value)
	}
}

// TestDecodeVersions guards against versions that no server runs, which would count as those of
// streams.
func TestDecodeVersions(t *testing.T) {
	got, err := decodeVersions(keyedRecord("model", `{"versions":["","v1"],"era":3}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, streamversion.StoredVersions{Pool: "model", Versions: []string{"", "v1"}, Era: 3})
	for _, odd := range []platform.KeyedRecord{
		keyedRecord("model", ""), keyedRecord("model", "null"), keyedRecord("model", "[]"), keyedRecord("model", deepJSON),
		keyedRecord("model", `{"versions":"v1"}`),
		keyedRecord("model", `{"versions":[1]}`),
		keyedRecord("model", `{"versions":["`+strings.Repeat("v", 300)+`"]}`),
		keyedRecord("model", `{"versions":["v\u0000"]}`),
		keyedRecord("model", `{"versions":[`+strings.Repeat(`"v",`, maxVersions)+`"v"]}`),
		keyedRecord("model", `{"versions":["v1"],"era":-1}`),
		keyedRecord("model", `{"versions":["v1"],"era":9223372036854775807}`),
		keyedRecord("\xff", `{"versions":["v1"],"era":3}`),
	} {
		_, err := decodeVersions(odd)
		assert.Assert(t, errors.Is(err, platform.ErrInvalidRecord), "%q %.80s", odd.Key, odd.Value)
	}
}

// TestDecodeStreamBatch guards against a batch whose sequence number no later one exceeds, and
// against times that overflow.
func TestDecodeStreamBatch(t *testing.T) {
	value, err := encodeStreamBatch(&streamversion.Batch{Sequence: 258, Era: 2, Records: []streamversion.Record{{Stream: "s", Version: "v", Until: clock.Now() + time.Second}}})
	assert.NilError(t, err)
	batch, err := decodeStreamBatch(keyedRecord("002", string(value)))
	assert.NilError(t, err)
	assert.Assert(t, batch.Sequence == 258 && batch.Era == 2 && len(batch.Records) == 1)
	assert.Assert(t, batch.Records[0].Until > clock.Now() && batch.Records[0].Until <= clock.Now()+time.Second)
	for _, remaining := range []string{"9223372036854775807", "-9223372036854775808", "9223372036855"} {
		batch, err = decodeStreamBatch(keyedRecord("000", `{"sequence":0,"streams":[{"stream":"s","version":"v","remaining_ms":`+remaining+`}]}`))
		assert.NilError(t, err)
		left := batch.Records[0].Until - clock.Now()
		assert.Assert(t, left > -time.Minute && left <= streamversion.MaxAge, "%s: %v", remaining, left)
	}
	for _, odd := range []platform.KeyedRecord{
		keyedRecord("000", ""), keyedRecord("000", "null"), keyedRecord("000", "[]"), keyedRecord("000", deepJSON),
		keyedRecord("000", `{"sequence":0,"streams":[]}`),
		keyedRecord("000", `{"sequence":0,"streams":{"stream":"s"}}`),
		keyedRecord("001", `{"sequence":0,"streams":[{"stream":"s"}]}`),
		keyedRecord("-01", `{"sequence":-1,"streams":[{"stream":"s"}]}`),
		keyedRecord("255", `{"sequence":9223372036854775807,"streams":[{"stream":"s"}]}`),
		keyedRecord("000", `{"sequence":0,"era":-1,"streams":[{"stream":"s"}]}`),
		keyedRecord("000", `{"sequence":0,"streams":[{"stream":"s","remaining_ms":1e30}]}`),
	} {
		_, err := decodeStreamBatch(odd)
		assert.Assert(t, errors.Is(err, platform.ErrInvalidRecord), "%q %.80s", odd.Key, odd.Value)
	}
}

// TestDecodeHeldResults guards against calls to addresses that another writer has left.
func TestDecodeHeldResults(t *testing.T) {
	const sound = `{"server":"i-1","address":"10.0.0.1:8080","handles":["h"]}`
	held, err := decodeHeldResults(keyedRecord("e1", `{"e1#1":[`+sound+`,{"server":"i\n1","address":"10.0.0.1:8080","handles":["h"]},
		{"server":"i-2","address":"10.0.0.1:70000","handles":["h"]},{"server":"i-3","address":"10.0.0.1:8080"}]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, held, map[string][]heldResults{"e1#1": {{Server: "i-1", Address: "10.0.0.1:8080", Handles: []string{"h"}}}})
	for _, odd := range []string{"", "[]", deepJSON, `{"e1#1":` + sound + `}`} {
		_, err := decodeHeldResults(keyedRecord("e1", odd))
		assert.Assert(t, errors.Is(err, platform.ErrInvalidRecord), "%.80s", odd)
	}
}

// FuzzDecodeEntryRecord checks that each entry that is decoded can be connected to and ordered.
func FuzzDecodeEntryRecord(f *testing.F) {
	f.Add("e1", []byte(`{"address":"10.0.0.1:7740","start":1,"era":2,"first":9,"small":true,"left":false}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		rec, err := decodeEntryRecord(platform.KeyedRecord{Key: key, Value: value})
		if err != nil {
			assert.Assert(t, errors.Is(err, platform.ErrInvalidRecord))
			return
		}
		assert.Assert(t, rec.Name == key && platform.CheckAddress("address", rec.Address) == nil && rec.Era >= 0 && rec.FirstRecordNumber >= 0)
	})
}

// FuzzDecodeVersions checks that what is decoded can be written again.
func FuzzDecodeVersions(f *testing.F) {
	f.Add("model", []byte(`{"versions":["","v1"],"era":3}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		got, err := decodeVersions(platform.KeyedRecord{Key: key, Value: value})
		if err != nil {
			assert.Assert(t, errors.Is(err, platform.ErrInvalidRecord))
			return
		}
		again, err := json.Marshal(versionRecord{Versions: got.Versions, Era: got.Era})
		assert.NilError(t, err)
		repeated, err := decodeVersions(platform.KeyedRecord{Key: key, Value: again})
		assert.NilError(t, err)
		assert.DeepEqual(t, got, repeated)
	})
}

// FuzzDecodeStreamBatch checks that the times and numbers of a decoded batch do not overflow.
func FuzzDecodeStreamBatch(f *testing.F) {
	f.Add("002", []byte(`{"sequence":258,"era":2,"streams":[{"stream":"s","version":"v","remaining_ms":1000}]}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		batch, err := decodeStreamBatch(platform.KeyedRecord{Key: key, Value: value})
		if err != nil {
			assert.Assert(t, errors.Is(err, platform.ErrInvalidRecord))
			return
		}
		_, next := streamversion.Merge([]streamversion.Batch{batch}, batch.Era)
		assert.Equal(t, next, batch.Sequence+1)
		for _, r := range batch.Records {
			assert.Assert(t, r.Until > 0 && r.Until <= clock.Now()+streamversion.MaxAge)
		}
	})
}

// FuzzDecodeHeldResults checks that results are freed only at servers that can be called.
func FuzzDecodeHeldResults(f *testing.F) {
	f.Add([]byte(`{"e1#1":[{"server":"i-1","address":"10.0.0.1:8080","handles":["h"]}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		held, err := decodeHeldResults(platform.KeyedRecord{Key: "e1", Value: value})
		if err != nil {
			assert.Assert(t, errors.Is(err, platform.ErrInvalidRecord))
			return
		}
		for _, results := range held {
			for _, h := range results {
				assert.Assert(t, h.Server != "" && platform.CheckAddress("address", h.Address) == nil && len(h.Handles) > 0)
			}
		}
	})
}
