package confsync

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

const (
	// readsPerSecond is the number of reads of the log that all instances together
	// make in a second.
	readsPerSecond = 3
	// tick is the time between two decisions whether to read the log.
	tick = time.Second
	// readLimit bounds the records of one read.
	readLimit = 500
	// maxBackoff bounds the time between two reads while the log is down.
	maxBackoff = 8 * time.Second
)

// readShare is the probability that one of n instances reads the log in a tick.
func readShare(n int) float64 {
	if n <= readsPerSecond {
		return 1
	}
	return float64(readsPerSecond) / float64(n)
}

// CatchUp reads the log up to its end. With target over 0, it is enough to reach
// that offset. The error is platform.ErrUnavailable or of ctx.
func (s *Sync) CatchUp(ctx context.Context, target uint64) error {
	for {
		from := s.Current().Offset + 1
		batch, err := s.opts.Log.Read(ctx, platform.ConfigStream, from, readLimit, 0)
		if errors.Is(err, platform.ErrTruncated) {
			if err := s.fromCheckpoint(ctx, batch.First); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		s.fold(batch.Records)
		now := s.Current().Offset
		if batch.Next < from {
			s.alarm("log shorter than what was folded", batch.Next, 0, 0)
			return nil
		}
		if now+1 >= batch.Next || (target > 0 && now >= target) || len(batch.Records) == 0 {
			return nil
		}
	}
}

// fromCheckpoint takes the oldest usable checkpoint of a log whose older records
// are gone, and folds the records after it, which checks the later checkpoints.
func (s *Sync) fromCheckpoint(ctx context.Context, first uint64) error {
	records, err := s.readAll(ctx, first)
	if err != nil {
		return err
	}
	if snap := startFor(records, math.MaxUint64); snap != nil {
		s.install(snap)
		s.fold(records)
	}
	if s.Current().Offset+1 >= first {
		return nil
	}
	return errors.Wrap(platform.ErrUnavailable, "records truncated and no checkpoint kept")
}

// readAll returns the records from an offset to the end of the log.
func (s *Sync) readAll(ctx context.Context, from uint64) ([]platform.Record, error) {
	var records []platform.Record
	for {
		batch, err := s.opts.Log.Read(ctx, platform.ConfigStream, from, readLimit, 0)
		if errors.Is(err, platform.ErrTruncated) {
			records, from = nil, batch.First
			continue
		}
		if err != nil {
			return nil, err
		}
		records = append(records, batch.Records...)
		from += uint64(len(batch.Records))
		if len(batch.Records) == 0 || from >= batch.Next {
			return records, nil
		}
	}
}

// readLoop reads the log now and then, chosen at random among all instances.
func (s *Sync) readLoop(ctx context.Context) {
	backoff := time.Duration(0)
	for sleep(ctx, jitter(tick)+backoff) {
		if rand.Float64() >= readShare(len(s.opts.Peers())+1) {
			continue
		}
		if err := s.CatchUp(ctx, 0); err != nil && ctx.Err() == nil {
			if backoff == 0 {
				s.log.Error(err, "Log unavailable; the configuration in force stays.")
			}
			backoff = min(max(2*backoff, tick), maxBackoff)
			continue
		}
		if backoff > 0 && ctx.Err() == nil {
			s.log.Info("Log available again.", "offset", s.Current().Offset)
		}
		backoff = 0
	}
}

// sleep waits; it returns false if ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
