package confsync

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

const (
	// readsPerSecond is the mean number of reads of the log per second by all instances
	// together.
	readsPerSecond = 3
	// readInterval is the mean time between two decisions whether to read the log.
	readInterval = time.Second
	// readLimit bounds the number of records in one read.
	readLimit = 500
	// maxBackoff bounds the delay added between two reads while the log is unavailable.
	maxBackoff = 8 * time.Second
)

// readProbability is the probability with which each of n instances reads the log in
// one interval, so that the total rate of reads does not depend on n.
func readProbability(n int) float64 {
	if n <= readsPerSecond {
		return 1
	}
	return float64(readsPerSecond) / float64(n)
}

// CatchUp applies the records of the log up to its end, or at least up to target if
// that is over 0. The error is platform.ErrUnavailable or the error of ctx.
func (s *Sync) CatchUp(ctx context.Context, target uint64) error {
	for {
		from := s.Current().Offset + 1
		batch, err := s.opts.Log.Read(ctx, platform.ConfigStream, from, readLimit, 0)
		if errors.Is(err, platform.ErrTruncated) {
			if err := s.restoreFromCheckpoint(ctx, batch.FirstOffset); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		s.applyRecords(batch.Records)
		current := s.Current().Offset
		if batch.NextOffset < from {
			s.reportMismatch("log shorter than the applied records", batch.NextOffset, 0, 0)
			return nil
		}
		if current+1 >= batch.NextOffset || (target > 0 && current >= target) || len(batch.Records) == 0 {
			return nil
		}
	}
}

// restoreFromCheckpoint installs the oldest usable checkpoint of a truncated log and
// applies the records after it, which also verifies the later checkpoints.
func (s *Sync) restoreFromCheckpoint(ctx context.Context, first uint64) error {
	records, err := s.readAll(ctx, first)
	if err != nil {
		return err
	}
	if snap := startSnapshot(records, math.MaxUint64); snap != nil {
		s.installSnapshot(snap)
		s.applyRecords(records)
	}
	if s.Current().Offset+1 >= first {
		return nil
	}
	return errors.Wrap(platform.ErrUnavailable, "records truncated and no checkpoint left")
}

// readAll returns the records from an offset to the end of the log.
func (s *Sync) readAll(ctx context.Context, from uint64) ([]platform.Record, error) {
	var records []platform.Record
	for {
		batch, err := s.opts.Log.Read(ctx, platform.ConfigStream, from, readLimit, 0)
		if errors.Is(err, platform.ErrTruncated) {
			records, from = nil, batch.FirstOffset
			continue
		}
		if err != nil {
			return nil, err
		}
		records = append(records, batch.Records...)
		from += uint64(len(batch.Records))
		if len(batch.Records) == 0 || from >= batch.NextOffset {
			return records, nil
		}
	}
}

// readLoop reads the log at random intervals, at a rate that is shared by all instances.
func (s *Sync) readLoop(ctx context.Context) {
	backoff := time.Duration(0)
	for clock.Sleep(ctx, jitter(readInterval)+backoff) {
		if rand.Float64() >= readProbability(len(s.opts.Peers())+1) {
			continue
		}
		if err := s.CatchUp(ctx, 0); err != nil && ctx.Err() == nil {
			if backoff == 0 {
				s.log.Error(err, "Log unavailable; keeping the current configuration.")
			}
			backoff = min(max(2*backoff, readInterval), maxBackoff)
			continue
		}
		if backoff > 0 && ctx.Err() == nil {
			s.log.Info("Log available again.", "offset", s.Current().Offset)
		}
		backoff = 0
	}
}
