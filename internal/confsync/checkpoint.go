package confsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

const (
	// checksPerInterval is the mean number of instances that look at the age of the
	// newest checkpoint in one interval.
	checksPerInterval = 2
	// The interval is a share of the age of the oldest record, within bounds.
	checkShare       = 8
	minCheckInterval = 10 * time.Second
	maxCheckInterval = 5 * time.Minute
	// minCheckpointAge is the least age of the newest checkpoint, or without one
	// of the oldest record, at which another is appended. The retention must be
	// over twice as long.
	minCheckpointAge = time.Minute
)

// checkpointLoop appends a checkpoint when the newest has become old.
func (s *Sync) checkpointLoop(ctx context.Context) {
	interval := minCheckInterval
	for sleep(ctx, jitter(interval)) {
		n := len(s.opts.Peers()) + 1
		if rand.Float64()*float64(n) >= checksPerInterval {
			continue
		}
		oldest, err := s.keepCheckpoint(ctx, time.Now())
		if err != nil && ctx.Err() == nil {
			s.log.V(1).Info("Checkpoint not checked.", "error", err.Error())
			continue
		}
		interval = min(max(oldest/checkShare, minCheckInterval), maxCheckInterval)
	}
}

// keepCheckpoint appends a checkpoint if the newest is older than half the age of
// the oldest record, which for a log that drops records is half the retention.
// It returns the age of the oldest record.
func (s *Sync) keepCheckpoint(ctx context.Context, now time.Time) (oldest time.Duration, err error) {
	if err := s.CatchUp(ctx, 0); err != nil {
		return 0, err
	}
	snap := s.Current()
	if snap.Schema == nil {
		return 0, nil
	}
	first, err := s.first(ctx)
	if err != nil {
		return 0, err
	}
	at, kept, err := s.timeOf(ctx, first)
	if err != nil {
		return 0, err
	}
	if kept {
		oldest = now.Sub(at)
	}
	due, err := s.checkpointDue(ctx, first, oldest, now)
	if err != nil || !due {
		return oldest, err
	}
	data, err := snap.EncodeCheckpoint()
	if err != nil {
		return 0, errors.Wrap(err, "encode checkpoint")
	}
	offset, err := s.opts.Log.Append(ctx, platform.ConfigStream, data)
	if err == nil {
		s.log.Info("Checkpoint appended.", "offset", offset, "as_of", snap.Offset)
	}
	return oldest, err
}

// checkpointDue tells whether a checkpoint should be appended, given the oldest
// offset kept and the age of its record.
func (s *Sync) checkpointDue(ctx context.Context, first uint64, oldest time.Duration, now time.Time) (bool, error) {
	newest := s.Current().CheckpointOffset()
	if newest == 0 && first <= 1 {
		return oldest > minCheckpointAge, nil
	}
	at, kept, err := s.timeOf(ctx, newest)
	if err != nil {
		return false, err
	}
	return !kept || now.Sub(at) > max(oldest/2, minCheckpointAge), nil
}

// first returns the oldest offset kept, without reading a record.
func (s *Sync) first(ctx context.Context) (uint64, error) {
	batch, err := s.opts.Log.Read(ctx, platform.ConfigStream, s.Current().Offset+1, 1, 0)
	if errors.Is(err, platform.ErrTruncated) {
		err = nil
	}
	return batch.First, err
}

// recordTime is the time of a record that was read.
type recordTime struct {
	offset uint64
	at     time.Time
}

// timeOf returns the time of a record; kept is false if the log does not hold it
// or the offset is 0. The times of the records last asked for are remembered.
func (s *Sync) timeOf(ctx context.Context, offset uint64) (at time.Time, kept bool, err error) {
	if offset == 0 {
		return time.Time{}, false, nil
	}
	first, err := s.first(ctx)
	if err != nil || offset < first {
		return time.Time{}, false, err
	}
	for _, known := range s.times {
		if known.offset == offset {
			return known.at, true, nil
		}
	}
	batch, err := s.opts.Log.Read(ctx, platform.ConfigStream, offset, 1, 0)
	if errors.Is(err, platform.ErrTruncated) {
		return time.Time{}, false, nil
	}
	if err != nil || len(batch.Records) == 0 {
		return time.Time{}, false, err
	}
	at = batch.Records[0].Time
	s.times = [2]recordTime{s.times[1], {offset, at}}
	return at, true, nil
}
