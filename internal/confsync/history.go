package confsync

import (
	"context"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

// At returns the configuration as of an offset, computed from the records in the
// log. The error is a *result.Error: ConfigUnavailable if the log is unavailable,
// ConfigNoObject if the log has no records that lead to the offset.
func (s *Sync) At(ctx context.Context, offset uint64) (*configlog.Snapshot, error) {
	if current := s.Current(); current.Offset == offset {
		return current, nil
	}
	records, err := s.readAll(ctx, 1)
	if err != nil {
		return nil, unavailableError(err)
	}
	snap := startSnapshot(records, offset)
	for i := range records {
		if snap != nil && snap.Offset < offset && records[i].Offset == snap.Offset+1 {
			snap, _ = snap.Apply(records[i].Offset, records[i].Data)
		}
	}
	if snap == nil || snap.Offset != offset {
		return nil, result.New(result.ConfigNoObject, "the log does not hold the configuration at offset %d", offset)
	}
	return snap, nil
}

// startSnapshot returns a snapshot at or before an offset after which the records
// continue without a gap, or nil if there is none.
func startSnapshot(records []platform.Record, offset uint64) *configlog.Snapshot {
	if len(records) == 0 || records[0].Offset == 1 {
		return configlog.Empty()
	}
	for i := range records {
		at, _, ok := configlog.CheckpointInfo(records[i].Data)
		if !ok || at > offset || at+1 < records[0].Offset {
			continue
		}
		if snap, err := configlog.DecodeCheckpoint(records[i].Data); err == nil {
			return snap
		}
	}
	return nil
}

// Find returns the outcome of a change after reading the log to its end. The
// error is a *result.Error: ConfigNoObject if no record of the last
// configlog.ChangeWindow offsets has the change, ConfigUnknown if the log is
// unavailable.
func (s *Sync) Find(ctx context.Context, id string) (configlog.Outcome, error) {
	err := s.CatchUp(ctx, 0)
	if o, ok := s.Current().Outcome(id); ok {
		return o, nil
	}
	if err != nil {
		return configlog.Outcome{}, unknownOutcomeError(id)
	}
	return configlog.Outcome{}, result.New(result.ConfigNoObject, "change %s is not in the log", id)
}

func unknownOutcomeError(id string) *result.Error {
	return &result.Error{
		Code: result.ConfigUnknown, Ran: result.RanUnknown, Effects: result.RanUnknown, RetryAfter: RetryAfter,
		Message: "the outcome of change " + id + " is not known; ask again with this id",
	}
}
