package agent

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/claims"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

// Timeouts and limits for claiming keys.
const (
	// claimTimeout limits the time from the first append of a claim until its
	// judgement is read. After it the attempt is refused.
	claimTimeout = 2 * time.Second
	// claimRetryInterval is the delay before an append or a read is retried.
	claimRetryInterval = 50 * time.Millisecond
	// releaseRetryInterval is the delay before the append of a release is retried.
	releaseRetryInterval = 500 * time.Millisecond
	// claimRetryAfter is the retry delay sent to callers whose claim failed.
	claimRetryAfter = time.Second
	// catchUpInterval is the time between two reads of the claim streams.
	catchUpInterval = time.Minute
	// claimRetentionMargin is how long claims are kept beyond the validity of their
	// keys. It must exceed claimTimeout.
	claimRetentionMargin = time.Minute
	// maxPendingReleases limits the releases that are not written to the log yet.
	maxPendingReleases = 4096
)

// errClaimTimeout means that the judgement of a claim was not read in time. The
// claim may hold now or later, so it must be released.
var errClaimTimeout = errors.New("agent: claim timed out")

// claimer claims idempotency keys in the platform's log.
type claimer struct {
	log        logr.Logger
	ctx        context.Context
	partitions [claims.NumPartitions]*partition

	mu              sync.Mutex
	pendingReleases int
	wg              sync.WaitGroup
}

func newClaimer(ctx context.Context, log logr.Logger, platformLog platform.Log) *claimer {
	c := &claimer{log: log.WithName("claims"), ctx: ctx}
	for i := range c.partitions {
		c.partitions[i] = newPartition(ctx, platformLog, i)
	}
	return c
}

func newClaimID() (claims.ID, error) {
	var id claims.ID
	_, err := rand.Read(id[:])
	return id, err
}

// claim appends a claim and reads its judgement; for a lost claim the returned
// record is that of the claim that holds the key. After errClaimTimeout the
// claim may hold and must be released. After any other error it was not
// recorded.
func (c *claimer) claim(ctx context.Context, r *claims.Record) (claims.Status, claims.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	p := c.partitions[r.Key.Partition()]
	data := r.Encode()
	started := time.Now()
	for uncertain := false; ; {
		offset, err := p.append(ctx, data)
		if err == nil {
			return c.awaitJudgement(ctx, p, offset, r.ID, started)
		}
		if errors.Is(err, platform.ErrUnavailable) && !uncertain {
			return claims.Pending, claims.Record{}, err
		}
		uncertain = true
		if !clock.Sleep(ctx, claimRetryInterval) {
			return claims.Pending, claims.Record{}, errClaimTimeout
		}
	}
}

// awaitJudgement reads the stream up to the claim's offset, and retries until
// that succeeds or ctx ends.
func (c *claimer) awaitJudgement(ctx context.Context, p *partition, offset uint64, id claims.ID, started time.Time) (claims.Status, claims.Record, error) {
	for {
		j, r, err := p.readJudgement(ctx, offset, id)
		// If the process was suspended, older claims may have expired from the state
		// and the judgement cannot be trusted.
		if time.Since(started) > claimTimeout {
			return claims.Pending, claims.Record{}, errClaimTimeout
		}
		if err == nil {
			return j, r, nil
		}
		if !clock.Sleep(ctx, claimRetryInterval) {
			return claims.Pending, claims.Record{}, errClaimTimeout
		}
	}
}

// release voids a claim whose attempt did not run and never will. The record is
// appended in the background, with retries until expiry.
func (c *claimer) release(r *claims.Record, expiry time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingReleases >= maxPendingReleases {
		c.log.Info("Too many releases are pending; a key stays claimed.", "request", r.Holder.Attempt.Request)
		return
	}
	c.pendingReleases++
	c.wg.Go(func() { c.appendRelease(r, expiry) })
}

// appendRelease appends the release of a claim, and retries until that
// succeeds, expiry has passed or the claimer stops.
func (c *claimer) appendRelease(r *claims.Record, expiry time.Time) {
	defer func() {
		c.mu.Lock()
		c.pendingReleases--
		c.mu.Unlock()
	}()
	record := &claims.Record{ID: r.ID, Key: r.Key, KeyTime: r.KeyTime, Release: true}
	data := record.Encode()
	p := c.partitions[r.Key.Partition()]
	for time.Now().Before(expiry) {
		if _, err := p.append(c.ctx, data); err == nil {
			return
		}
		if !clock.Sleep(c.ctx, releaseRetryInterval) {
			return
		}
	}
}

// pendingReleaseCount returns the number of releases that are not written to
// the log yet.
func (c *claimer) pendingReleaseCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingReleases
}

// run keeps the state of the partitions for which isHome is true close to the
// ends of their streams until ctx ends. For all partitions it drops the claims
// of expired keys.
func (c *claimer) run(ctx context.Context, isHome func(partition int) bool, validity func() time.Duration) {
	for ; ctx.Err() == nil; clock.Sleep(ctx, catchUpInterval) {
		expireBefore := time.Now().Add(-validity() - claimRetentionMargin)
		for i, p := range c.partitions {
			if !isHome(i) {
				p.expire(expireBefore)
				continue
			}
			if err := p.catchUp(ctx, expireBefore); err != nil && ctx.Err() == nil {
				c.log.V(1).Info("Reading claims failed.", "stream", p.stream, "error", err.Error())
				break
			}
		}
	}
}
