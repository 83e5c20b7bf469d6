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
	minCheckInterval = time.Second
	maxCheckInterval = 5 * time.Minute
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
	first, err := s.firstTime(ctx)
	if err != nil {
		return 0, err
	}
	if !first.IsZero() {
		oldest = now.Sub(first)
		newest, kept, err := s.timeOf(ctx, snap.CheckpointOffset())
		if err != nil {
			return 0, err
		}
		if kept && now.Sub(newest) <= oldest/2 {
			return oldest, nil
		}
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

// firstTime returns the time of the oldest record; zero if none is kept.
func (s *Sync) firstTime(ctx context.Context) (time.Time, error) {
	batch, err := s.opts.Log.Read(ctx, platform.ConfigStream, 1, 1, 0)
	for tries := 0; errors.Is(err, platform.ErrTruncated) && tries < 3; tries++ {
		batch, err = s.opts.Log.Read(ctx, platform.ConfigStream, batch.First, 1, 0)
	}
	if err != nil || len(batch.Records) == 0 {
		return time.Time{}, err
	}
	return batch.Records[0].Time, nil
}

// timeOf returns the time of a record; kept is false if the log dropped it or the
// offset is 0.
func (s *Sync) timeOf(ctx context.Context, offset uint64) (at time.Time, kept bool, err error) {
	if offset == 0 {
		return time.Time{}, false, nil
	}
	batch, err := s.opts.Log.Read(ctx, platform.ConfigStream, offset, 1, 0)
	if errors.Is(err, platform.ErrTruncated) {
		return time.Time{}, false, nil
	}
	if err != nil || len(batch.Records) == 0 {
		return time.Time{}, false, err
	}
	return batch.Records[0].Time, true, nil
}
