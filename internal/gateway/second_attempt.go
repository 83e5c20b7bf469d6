package gateway

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/secondattempt"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

// errAttemptCancelled is returned by reads of a response that came after its attempt was given
// up.
var errAttemptCancelled = errors.New("attempt was cancelled, its first event was overdue")

// secondAttempts holds the experience with the servers of each service.
type secondAttempts struct {
	mu       sync.Mutex
	trackers map[string]*secondattempt.Tracker
}

// update calls f with the tracker of a service under the lock.
func (a *secondAttempts) update(service string, f func(now time.Duration, t *secondattempt.Tracker)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.trackers[service]
	if t == nil {
		t = secondattempt.New()
		a.trackers[service] = t
	}
	f(clock.Now(), t)
}

// watchState is the state of an attempt that is watched.
type watchState uint8

const (
	// waiting attempts have no response yet.
	waiting watchState = iota
	// responding attempts have a response that is kept.
	responding
	// givenUp attempts are cancelled. What arrives from the server is discarded.
	givenUp
	// ended attempts failed or were abandoned before any response.
	ended
)

// attemptWatch watches for the first event of an attempt and cancels the attempt when it is
// given up. Its state decides whether the response or the cancellation came first. All methods
// may be called on nil, which watches nothing.
type attemptWatch struct {
	gateway *Gateway
	req     *request
	server  string
	// version is the software version that the server of a second attempt must have; nil
	// permits any.
	version *string
	// avoid lists the servers that a second attempt avoids.
	avoid   []string
	facts   secondattempt.Facts
	attempt *secondattempt.Attempt
	cancel  context.CancelFunc

	mu       sync.Mutex
	state    watchState
	timer    *time.Timer
	decision secondattempt.Decision
}

// watchAttempt returns the watch of an attempt that is about to be sent, and the context under
// which to send it. The watch is nil if it is not known when to expect the first event.
func (s *streamRequest) watchAttempt(ctx context.Context, p *planner.Placement, srv notice.Server) (*attemptWatch, context.Context) {
	if p.ExpectedFirstEvent <= 0 {
		return nil, ctx
	}
	w := &attemptWatch{
		gateway: s.gateway, req: s.req, server: p.Server, avoid: append(slices.Clone(s.avoid), p.Server),
		facts: secondattempt.Facts{
			Idempotent: s.req.route.Idempotent(), ResponseBegun: s.relay.started, SecondMade: s.secondMade,
			PossibleRuns: s.possibleRuns + 1, MaxAttempts: s.req.route.MaxAttempts, PlacementTime: s.placementTime,
		},
	}
	if s.placements >= maxPlacements {
		// The request would fail instead of being placed again.
		w.facts.MaxAttempts = 0
	}
	if s.req.LastEventID != "" {
		w.version = &p.SoftwareVersion
	}
	ctx, w.cancel = context.WithCancel(ctx)
	s.gateway.secondAttempts.update(s.req.service, func(now time.Duration, t *secondattempt.Tracker) {
		w.attempt = t.Sent(now, srv, p.ExpectedFirstEvent)
	})
	if w.facts.Idempotent {
		w.decide()
	}
	return w, ctx
}

// decide gives the attempt up if that is due, and otherwise schedules the next decision.
func (w *attemptWatch) decide() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != waiting {
		return
	}
	facts := w.facts
	facts.HasOtherServer, facts.TakeRetry = w.hasOtherServer, func() bool { return w.gateway.tryRetry(w.req.service) }
	if w.gateway.accepting.Err() != nil || w.gateway.tooLateToSend(w.req, 0) {
		// The stopping process would send no other attempt.
		facts.MaxAttempts = 0
	}
	earlier := w.decision.Denial
	w.gateway.secondAttempts.update(w.req.service, func(now time.Duration, t *secondattempt.Tracker) {
		facts.ToObjective, facts.ToDeadline = w.req.objectiveDeadline-now, w.req.deadline-now
		w.decision = t.Decide(now, w.attempt, facts)
	})
	if w.decision.GiveUp {
		w.state = givenUp
		w.cancel()
		return
	}
	if d := w.decision.Denial; d != secondattempt.None && d != earlier {
		w.gateway.metrics.countDeniedSecondAttempt(d)
		w.log("First event is overdue; the attempt continues.", &facts, "reason", d.String())
	}
	if w.decision.CheckIn > 0 {
		w.timer = time.AfterFunc(w.decision.CheckIn, w.decide)
	}
}

// hasOtherServer reports whether another server may serve the request.
func (w *attemptWatch) hasOtherServer() bool {
	cooling, _ := w.gateway.coolingDown(w.req.service)
	for _, s := range w.gateway.Servers.Usable(w.req.service) {
		if slices.Contains(w.avoid, s.ID) || slices.Contains(cooling, s.ID) || w.version != nil && s.SoftwareVersion != *w.version {
			continue
		}
		if w.gateway.allows(w.req, s.ID) {
			return true
		}
	}
	return false
}

// log writes a line about the newest decision.
func (w *attemptWatch) log(message string, facts *secondattempt.Facts, more ...any) {
	d := &w.decision
	fields := append([]any{
		"server", w.server, "waited", d.Waited, "expected", w.attempt.Expected(), "overdue_after", d.OverdueAfter, "late_servers", d.LateServers, "on_time_servers", d.OnTimeServers,
		"due", facts.ToObjective, "deadline", facts.ToDeadline, "runs", facts.PossibleRuns, "max_attempts", facts.MaxAttempts,
	}, more...)
	w.req.log.Info(message, fields...)
}

// respond records that a response has begun, and returns false if the attempt was given up
// before. firstEvent is set if it is the response that was expected.
func (w *attemptWatch) respond(firstEvent bool) bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == waiting {
		w.leave(responding, firstEvent)
	}
	return w.state != givenUp
}

// end ends the watch of an attempt that has failed, or whose response is complete. It returns
// true if the attempt was given up.
func (w *attemptWatch) end() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == waiting {
		w.leave(ended, false)
	}
	return w.state == givenUp
}

// leave ends the state waiting. The caller holds the lock.
func (w *attemptWatch) leave(state watchState, firstEvent bool) {
	w.state = state
	if w.timer != nil {
		w.timer.Stop()
	}
	w.gateway.secondAttempts.update(w.req.service, func(now time.Duration, t *secondattempt.Tracker) {
		if firstEvent {
			t.Began(now, w.attempt)
		} else {
			t.Ended(now, w.attempt)
		}
	})
}

// close ends the watch and frees what it holds.
func (w *attemptWatch) close() {
	if w != nil {
		w.end()
		w.cancel()
	}
}

// body returns the body of a stream so that its first byte, or its end, counts as the begin of
// the response.
func (w *attemptWatch) body(body io.ReadCloser) io.ReadCloser {
	if w == nil {
		return body
	}
	return &watchedBody{ReadCloser: body, watch: w}
}

// watchedBody is the body of a stream that is watched.
type watchedBody struct {
	io.ReadCloser
	watch *attemptWatch
	begun bool
}

// Read implements io.Reader. It returns no byte of an attempt that was given up.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.begun || n == 0 && err != io.EOF {
		return n, err
	}
	if !b.watch.respond(true) {
		return 0, errAttemptCancelled
	}
	b.begun = true
	return n, err
}

// handleGivenUp has a request placed again whose attempt was given up. The retry was deducted
// with the decision.
func (s *streamRequest) handleGivenUp(p planner.Placement, w *attemptWatch, progress progressFunc) (bool, *refusal) {
	s.secondMade = true
	s.avoid = append(s.avoid, p.Server)
	s.gateway.metrics.secondAttemptsMade.Inc(1)
	facts := w.facts
	facts.ToObjective, facts.ToDeadline, facts.PossibleRuns = s.req.objectiveDeadline-clock.Now(), s.req.remaining(), s.possibleRuns
	w.log("First event is overdue; the attempt was cancelled.", &facts)
	progress(planner.Progress{Phase: planner.Failed})
	return false, nil
}

// countRun counts an attempt that was given up as a possible run, unless the server did not get
// or not run the request.
func (s *streamRequest) countRun(possible bool) {
	if possible {
		s.possibleRuns++
	}
}

// countFirstEvent counts the first event of a second attempt.
func (s *streamRequest) countFirstEvent() {
	if s.secondMade && !s.secondWon {
		s.secondWon = true
		s.gateway.metrics.secondAttemptsWon.Inc(1)
	}
}
