package confsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

const (
	// checksPerInterval is the mean number of instances that check the age of the newest
	// checkpoint in one interval.
	checksPerInterval = 2
	// The check interval is the age of the oldest record divided by
	// checkIntervalDivisor, within the bounds below.
	checkIntervalDivisor = 8
	minCheckInterval     = 10 * time.Second
	maxCheckInterval     = 5 * time.Minute
	// minCheckpointAge is the minimum age of the newest checkpoint, or of the oldest
	// record if there is no checkpoint, at which a checkpoint is appended. The
	// retention of the log must be more than twice as long.
	minCheckpointAge = time.Minute
)

// checkpointLoop appends a checkpoint when the newest one is old.
func (s *Sync) checkpointLoop(ctx context.Context) {
	interval := minCheckInterval
	for clock.Sleep(ctx, jitter(interval)) {
		n := len(s.opts.Peers()) + 1
		if rand.Float64()*float64(n) >= checksPerInterval {
			continue
		}
		oldest, err := s.appendCheckpointIfDue(ctx, time.Now())
		if err != nil && ctx.Err() == nil {
			s.log.V(1).Info("Could not check the age of the newest checkpoint.", "error", err.Error())
			continue
		}
		interval = min(max(oldest/checkIntervalDivisor, minCheckInterval), maxCheckInterval)
	}
}

// appendCheckpointIfDue appends a checkpoint if the newest one is older than half the
// age of the oldest record, which is half the retention once the log drops records. It
// returns the age of the oldest record.
func (s *Sync) appendCheckpointIfDue(ctx context.Context, now time.Time) (oldest time.Duration, err error) {
	if err := s.CatchUp(ctx, 0); err != nil {
		return 0, err
	}
	snap := s.Current()
	if snap.Schema == nil {
		return 0, nil
	}
	first, err := s.firstOffset(ctx)
	if err != nil {
		return 0, err
	}
	at, retained, err := s.appendTime(ctx, first)
	if err != nil {
		return 0, err
	}
	if retained {
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

// checkpointDue reports whether a checkpoint should be appended, given the first
// offset in the log and the age of its record.
func (s *Sync) checkpointDue(ctx context.Context, first uint64, oldest time.Duration, now time.Time) (bool, error) {
	newest := s.Current().CheckpointOffset()
	if newest == 0 && first <= 1 {
		return oldest > minCheckpointAge, nil
	}
	at, retained, err := s.appendTime(ctx, newest)
	if err != nil {
		return false, err
	}
	return !retained || now.Sub(at) > max(oldest/2, minCheckpointAge), nil
}

// firstOffset returns the first offset in the log without fetching a record.
func (s *Sync) firstOffset(ctx context.Context) (uint64, error) {
	batch, err := s.opts.Log.Read(ctx, platform.ConfigStream, s.Current().Offset+1, 1, 0)
	if errors.Is(err, platform.ErrTruncated) {
		err = nil
	}
	return batch.FirstOffset, err
}

// cachedTime is the append time of a record that was read.
type cachedTime struct {
	offset uint64
	time   time.Time
}

// appendTime returns the time at which a record was appended; retained is false if the
// log no longer holds the record or the offset is 0. The two newest results are cached.
func (s *Sync) appendTime(ctx context.Context, offset uint64) (at time.Time, retained bool, err error) {
	if offset == 0 {
		return time.Time{}, false, nil
	}
	first, err := s.firstOffset(ctx)
	if err != nil || offset < first {
		return time.Time{}, false, err
	}
	for _, cached := range s.appendTimes {
		if cached.offset == offset {
			return cached.time, true, nil
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
	s.appendTimes = [2]cachedTime{s.appendTimes[1], {offset, at}}
	return at, true, nil
}
