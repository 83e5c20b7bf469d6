package confsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

const (
	// outcomePollInterval is the time between two reads that look for the record of a
	// change.
	outcomePollInterval = 200 * time.Millisecond
	// RetryAfter is the delay after which callers should retry while the log is
	// unavailable.
	RetryAfter = 5 * time.Second
)

// Submit appends a change to the log and returns its outcome. The error is a
// *result.Error: ConfigUnavailable if nothing was appended, or ConfigUnknown if the
// outcome is not known when ctx ends. A change may be submitted again with the same ID;
// it takes effect at most once. Submit sets BaseOffset, except for a withdrawal.
func (s *Sync) Submit(ctx context.Context, c *configlog.Change) (configlog.Outcome, error) {
	if err := s.CatchUp(ctx, 0); err != nil {
		return configlog.Outcome{}, unavailableError(err)
	}
	snap := s.Current()
	if !c.Withdraw {
		c.BaseOffset = snap.Offset
	}
	o, decided := snap.Preview(c)
	if decided || (o.Status != configlog.Accepted && o.Status != configlog.Withdrawn) {
		return o, nil
	}
	data, err := configlog.EncodeChange(c)
	if err != nil {
		return configlog.Outcome{}, result.New(result.AdminBadRequest, "encode change: %v", err)
	}
	offset, err := s.opts.Log.Append(ctx, platform.ConfigStream, data)
	if errors.Is(err, platform.ErrUnavailable) {
		return configlog.Outcome{}, unavailableError(err)
	}
	return s.waitForOutcome(ctx, c, offset)
}

// waitForOutcome reads the log until the record of the change is applied. The offset is 0
// if the response to the append was lost.
func (s *Sync) waitForOutcome(ctx context.Context, c *configlog.Change, offset uint64) (configlog.Outcome, error) {
	for {
		_ = s.CatchUp(ctx, offset)
		snap := s.Current()
		if o, ok := snap.Outcome(c.ID); ok {
			return o, nil
		}
		if snap.Offset > c.BaseOffset+configlog.ChangeWindow {
			return configlog.Outcome{}, result.New(result.ConfigUnavailable, "change %s was not written and can no longer take effect", c.ID)
		}
		if !clock.Sleep(ctx, outcomePollInterval) {
			return configlog.Outcome{}, unknownOutcomeError(c.ID)
		}
	}
}

func unavailableError(err error) *result.Error {
	e := result.New(result.ConfigUnavailable, "%v", err)
	e.RetryAfter = RetryAfter
	return e
}
