package confsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

const (
	// outcomePoll is the time between two reads that look for a change.
	outcomePoll = 200 * time.Millisecond
	// RetryAfter is when asking again helps while the log is down.
	RetryAfter = 5 * time.Second
)

// Submit writes a change to the log and returns what became of it. The error is a
// *result.Error: ConfigUnavailable if nothing was written, or ConfigUnknown if
// the outcome is not known when ctx ends. A change with the same id may be
// submitted again; it takes effect once. A withdrawal keeps its After.
func (s *Sync) Submit(ctx context.Context, c *configlog.Change) (configlog.Outcome, error) {
	if err := s.CatchUp(ctx, 0); err != nil {
		return configlog.Outcome{}, unavailable(err)
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
		return configlog.Outcome{}, result.New(result.AdminBadRequest, "the change can't be encoded: %v", err)
	}
	offset, err := s.opts.Log.Append(ctx, platform.ConfigStream, data)
	if errors.Is(err, platform.ErrUnavailable) {
		return configlog.Outcome{}, unavailable(err)
	}
	return s.settle(ctx, c, offset)
}

// settle reads the log until the change is folded. The offset is 0 if the answer
// of the append was lost.
func (s *Sync) settle(ctx context.Context, c *configlog.Change, offset uint64) (configlog.Outcome, error) {
	for {
		_ = s.CatchUp(ctx, offset)
		snap := s.Current()
		if o, ok := snap.Outcome(c.ID); ok {
			return o, nil
		}
		if snap.Offset > c.BaseOffset+configlog.ChangeWindow {
			return configlog.Outcome{}, result.New(result.ConfigUnavailable, "change %s was not written and is void", c.ID)
		}
		if !sleep(ctx, outcomePoll) {
			return configlog.Outcome{}, unknown(c.ID)
		}
	}
}

func unavailable(err error) *result.Error {
	e := result.New(result.ConfigUnavailable, "%v", err)
	e.RetryAfter = RetryAfter
	return e
}
