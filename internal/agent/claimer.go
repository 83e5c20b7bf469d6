package agent

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/claims"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

// Bounds of claiming a key.
const (
	// settleTimeout is how long a claim may stay unsettled before the attempt is
	// given up.
	settleTimeout = 2 * time.Second
	// retryPause is the time between two tries at the log.
	retryPause = 50 * time.Millisecond
	// releasePause is the time between two tries to append a release.
	releasePause = 500 * time.Millisecond
	// claimRetryAfter is when coming back helps after a claim failed.
	claimRetryAfter = time.Second
	// catchUpInterval is the time between two reads of the claim streams.
	catchUpInterval = time.Minute
	// forgetMargin is how much longer than the validity a claim is kept. It must
	// be over settleTimeout.
	forgetMargin = time.Minute
	// maxReleases bounds the releases that wait for the log.
	maxReleases = 4096
)

// errGivenUp means that a claim could not be settled in time, and may hold or
// come to hold; it must be released.
var errGivenUp = errors.New("agent: claim not settled in time")

// claimer claims idempotency keys in the platform's log.
type claimer struct {
	log        logr.Logger
	ctx        context.Context
	partitions [claims.NumPartitions]*partition

	mu        sync.Mutex
	releasing int
	wg        sync.WaitGroup
}

func newClaimer(ctx context.Context, log logr.Logger, plog platform.Log) *claimer {
	c := &claimer{log: log.WithName("claims"), ctx: ctx}
	for i := range c.partitions {
		c.partitions[i] = newPartition(ctx, plog, i)
	}
	return c
}

func newClaimID() (claims.ID, error) {
	var id claims.ID
	_, err := rand.Read(id[:])
	return id, err
}

// claim appends a claim and reads the stream up to it. With errGivenUp the claim
// may hold and must be released; with another error nothing took effect.
func (c *claimer) claim(ctx context.Context, r *claims.Record) (claims.Status, claims.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	p := c.partitions[r.Key.Partition()]
	data := r.Encode()
	started := time.Now()
	for uncertain := false; ; {
		offset, err := p.append(ctx, data)
		if err == nil {
			return c.settle(ctx, p, offset, r.ID, started)
		}
		if errors.Is(err, platform.ErrUnavailable) && !uncertain {
			return claims.Pending, claims.Record{}, err
		}
		uncertain = true
		if !wait(ctx, retryPause) {
			return claims.Pending, claims.Record{}, errGivenUp
		}
	}
}

// settle reads up to the claim's offset until the read succeeds or ctx ends.
func (c *claimer) settle(ctx context.Context, p *partition, offset uint64, id claims.ID, started time.Time) (claims.Status, claims.Record, error) {
	for {
		j, r, err := p.judge(ctx, offset, id)
		// A process that was stopped meanwhile may have forgotten older claims.
		if time.Since(started) > settleTimeout {
			return claims.Pending, claims.Record{}, errGivenUp
		}
		if err == nil {
			return j, r, nil
		}
		if !wait(ctx, retryPause) {
			return claims.Pending, claims.Record{}, errGivenUp
		}
	}
}

// release voids a claim whose work did not run and never will. It is appended in
// the background until it took effect.
func (c *claimer) release(r *claims.Record, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.releasing >= maxReleases {
		c.log.Info("Too many releases wait; a key stays taken.", "request", r.Holder.Attempt.Request)
		return
	}
	c.releasing++
	c.wg.Go(func() { c.appendRelease(r, until) })
}

func (c *claimer) appendRelease(r *claims.Record, until time.Time) {
	defer func() {
		c.mu.Lock()
		c.releasing--
		c.mu.Unlock()
	}()
	record := &claims.Record{ID: r.ID, Key: r.Key, KeyTime: r.KeyTime, Release: true}
	data := record.Encode()
	p := c.partitions[r.Key.Partition()]
	for time.Now().Before(until) {
		if _, err := p.append(c.ctx, data); err == nil {
			return
		}
		if !wait(c.ctx, releasePause) {
			return
		}
	}
}

// waiting returns how many releases wait for the log.
func (c *claimer) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.releasing
}

// run keeps the folds of the partitions at home here near the ends of their
// streams until ctx ends.
func (c *claimer) run(ctx context.Context, home func(partition int) bool, validity func() time.Duration) {
	for ; ctx.Err() == nil; wait(ctx, catchUpInterval) {
		forget := time.Now().Add(-validity() - forgetMargin)
		for i, p := range c.partitions {
			if !home(i) {
				p.expire(forget)
				continue
			}
			if err := p.catchUp(ctx, forget); err != nil && ctx.Err() == nil {
				c.log.V(1).Info("Reading claims failed.", "stream", p.stream, "error", err.Error())
				break
			}
		}
	}
}

// wait returns false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
