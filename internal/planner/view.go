package planner

import (
	"context"
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/telemetry"
)

const (
	// unknownStreamConfirmation bounds the wait for a confirmation of the servers before a
	// stream that nobody knows is refused.
	unknownStreamConfirmation = time.Second
	// knownStreamConfirmation bounds that wait before a stream of a known version continues
	// without it.
	knownStreamConfirmation = 300 * time.Millisecond
	// maxConfirmationShare bounds it as a fraction of the time to the request's deadline.
	maxConfirmationShare = 0.25
)

// View is what this process knows of the servers from the store.
type View interface {
	// Age returns the time since which the store has not confirmed it.
	Age() time.Duration
	// Confirm returns nil once the planner has been told all that the store held of the servers
	// when Confirm was called.
	Confirm(ctx context.Context) error
}

// SetView sets what this process knows of the servers. It must be called before Run.
func (p *Planner) SetView(v View) { p.view = v }

// confirmation says whether a request waits for a confirmation of the servers.
type confirmation uint8

const (
	noConfirmation confirmation = iota
	// knownStream requests continue without the confirmation if there is none, unknownStream
	// requests are refused.
	knownStream
	unknownStream
)

func (c confirmation) maxWait() time.Duration {
	if c == unknownStream {
		return unknownStreamConfirmation
	}
	return knownStreamConfirmation
}

// neededConfirmation returns whether a request waits for a confirmation of the servers. A
// version that this process has not heard of may have begun a stream that it does not know; a
// server may have started again with another version. The caller holds the lock.
func (p *Planner) neededConfirmation(now time.Duration, pr *pendingRequest) confirmation {
	resume := pr.req.Resume
	if p.view == nil || resume == nil || pr.req.CheckOnly {
		return noConfirmation
	}
	if resume.Version == nil && p.streamVersion(now, resume.Stream) == nil {
		if p.onlyVersion(now, pr.req.Pool) == nil {
			// The stream is refused, whatever else the store holds.
			return noConfirmation
		}
		return unknownStream
	}
	return knownStream
}

// confirmView waits for a confirmation of the servers, and submits the request then, unless it
// has ended meanwhile.
func (p *Planner) confirmView(pr *pendingRequest, need confirmation) {
	bound := min(need.maxWait(), time.Duration(maxConfirmationShare*float64(pr.req.TimeToDeadline)))
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	age := p.view.Age()
	start := clock.Now()
	err := p.view.Confirm(ctx)
	p.metrics.countConfirmation(err == nil)
	p.log.Info("Confirmation of the servers for a resumed stream ended.", "request", pr.req.ID, "stream", pr.req.Resume.Stream, "stream_known", need == knownStream,
		"age", age, "took", clock.Now()-start, "confirmed", err == nil, "cause", telemetry.ErrorText(err))
	p.update(func(now time.Duration) {
		if p.pending[pr.req.ID] != pr {
			return
		}
		pr.viewConfirmed = err == nil
		p.submit(now, pr)
	})
}
