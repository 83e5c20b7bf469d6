package node

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/roster"
	"github.com/magnoliawheel/magnoliawheel/core/streamversion"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// Bounds of the values in the records of entries.
const (
	// maxVersions bounds the software versions of one service.
	maxVersions = 1000
	// maxStreamsPerBatch bounds the streams of one record. It is beyond what a record of the
	// store can hold.
	maxStreamsPerBatch = 100_000
)

// decodeEntryRecord decodes the record with which an entry registered.
func decodeEntryRecord(keyed platform.KeyedRecord) (roster.Record, error) {
	var rec roster.Record
	if err := platform.DecodeRecord(keyed.Value, &rec); err != nil {
		return roster.Record{}, err
	}
	rec.Name, rec.Offset = keyed.Key, keyed.Offset
	if err := platform.CheckName("name", rec.Name); err != nil {
		return roster.Record{}, err
	}
	if err := platform.CheckAddress("address", rec.Address); err != nil {
		return roster.Record{}, err
	}
	if err := platform.CheckCount("era", rec.Era, 0, platform.MaxCounter); err != nil {
		return roster.Record{}, err
	}
	return rec, platform.CheckCount("first", rec.FirstRecordNumber, 0, platform.MaxCounter)
}

// decodeVersions decodes the record of the versions that may have begun the streams of a service.
func decodeVersions(keyed platform.KeyedRecord) (streamversion.StoredVersions, error) {
	var rec versionRecord
	if err := platform.DecodeRecord(keyed.Value, &rec); err != nil {
		return streamversion.StoredVersions{}, err
	}
	if err := platform.CheckName("service", keyed.Key); err != nil {
		return streamversion.StoredVersions{}, err
	}
	if err := platform.CheckCount("versions", int64(len(rec.Versions)), 1, maxVersions); err != nil {
		return streamversion.StoredVersions{}, err
	}
	for _, version := range rec.Versions {
		// Servers may name no version, which counts as one.
		if version == "" {
			continue
		}
		if err := platform.CheckName("version", version); err != nil {
			return streamversion.StoredVersions{}, err
		}
	}
	if err := platform.CheckCount("era", rec.Era, 0, platform.MaxCounter); err != nil {
		return streamversion.StoredVersions{}, err
	}
	return streamversion.StoredVersions{Pool: keyed.Key, Versions: rec.Versions, Era: rec.Era}, nil
}

// decodeStreamBatch decodes a batch. How long ago it was written is not known, so its streams
// count as resumable for as long from now as they were then, at most streamversion.MaxAge.
func decodeStreamBatch(keyed platform.KeyedRecord) (streamversion.Batch, error) {
	var stored streamBatch
	if err := platform.DecodeRecord(keyed.Value, &stored); err != nil {
		return streamversion.Batch{}, err
	}
	if err := platform.CheckCount("sequence", stored.Sequence, 0, platform.MaxCounter); err != nil {
		return streamversion.Batch{}, err
	}
	if err := platform.CheckCount("era", stored.Era, 0, platform.MaxCounter); err != nil {
		return streamversion.Batch{}, err
	}
	if err := platform.CheckCount("streams", int64(len(stored.Streams)), 1, maxStreamsPerBatch); err != nil {
		return streamversion.Batch{}, err
	}
	batch := streamversion.Batch{Sequence: stored.Sequence, Era: stored.Era}
	if batch.Slot() != keyed.Key {
		return streamversion.Batch{}, errors.Wrapf(platform.ErrInvalidRecord, "sequence %d does not belong under this key", stored.Sequence)
	}
	now := clock.Now()
	for _, s := range stored.Streams {
		remaining := time.Duration(max(0, min(s.RemainingMS, streamversion.MaxAge.Milliseconds()))) * time.Millisecond
		batch.Records = append(batch.Records, streamversion.Record{Stream: s.Stream, Version: s.Version, Until: now + remaining})
	}
	return batch, nil
}

// decodeHeldResults decodes the results that servers hold, by the process starts of an entry.
// Results that name no server are left out.
func decodeHeldResults(keyed platform.KeyedRecord) (map[string][]heldResults, error) {
	var stored map[string][]heldResults
	if err := platform.DecodeRecord(keyed.Value, &stored); err != nil {
		return nil, err
	}
	held := make(map[string][]heldResults, len(stored))
	for owner, results := range stored {
		for _, h := range results {
			if platform.CheckToken("server", h.Server) == nil && platform.CheckAddress("address", h.Address) == nil && len(h.Handles) > 0 {
				held[owner] = append(held[owner], h)
			}
		}
	}
	return held, nil
}
