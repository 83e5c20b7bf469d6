package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// maxPlacements bounds how often one request is placed.
	maxPlacements = 4
	// lateStreams is how long after the signal to stop new streams are still taken.
	lateStreams = 3 * time.Second
	// stopRetry is when to come back to another entry.
	stopRetry = 50 * time.Millisecond
	// resumeReserve is the least time left in which a broken stream is resumed.
	resumeReserve = 500 * time.Millisecond
)

// streamRun is a stream on its way: what was placed and what the client has.
type streamRun struct {
	g     *Gateway
	req   *request
	w     http.ResponseWriter
	avoid []string
	// sends counts the servers to which the request was sent.
	sends  int
	relay  *relay
	placed int
}

// serveStream serves a request that is answered by a series of events.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, req *request) {
	if g.stoppingFor() > lateStreams {
		g.refuse(w, req, &refusal{code: result.EntryDraining, after: stopRetry, cause: "entry stops", close: true})
		return
	}
	s := &streamRun{g: g, req: req, w: w, relay: newRelay(w, req.route.Resumable)}
	for {
		done, r := s.attempt(ctx)
		if ctx.Err() != nil {
			s.expire(ctx)
			return
		}
		if done {
			return
		}
		if r == nil {
			continue
		}
		if s.relay.started {
			s.abort(r.cause)
		}
		g.refuse(w, req, r)
		return
	}
}

// expire ends a stream whose client left or whose time is over.
func (s *streamRun) expire(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		s.g.metrics.left.Inc(1)
		s.req.log.Info("Client left.", "held", clock.Now()-s.req.arrived, "tries", s.req.tries, "events", s.relay.events)
		panic(http.ErrAbortHandler)
	}
	if s.relay.started {
		s.abort("deadline reached")
	}
	if s.sends == 0 {
		s.g.refuse(s.w, s.req, refused(result.Overloaded, "deadline reached before the request was sent", 0))
		return
	}
	s.g.refuse(s.w, s.req, timedOut("deadline reached"))
}

// abort breaks off an answer so that it can't be taken for a whole one.
func (s *streamRun) abort(cause string) {
	s.g.metrics.broken.Inc(1)
	s.req.log.Info("Stream broken off.", "cause", cause, "events", s.relay.events, "held", clock.Now()-s.req.arrived, "tries", s.req.tries)
	panic(http.ErrAbortHandler)
}

// attempt places the request and sends it once. It returns true if the client got
// its whole answer, or a refusal, or neither if the request is to be placed again.
func (s *streamRun) attempt(ctx context.Context) (bool, *refusal) {
	s.placed++
	if s.placed > maxPlacements {
		return false, s.giveUp(result.NoServer, "placed too often", busyRetry)
	}
	p, progress := s.g.place(ctx, s.req, s.avoid)
	if ctx.Err() != nil {
		progress(planner.Cancelled)
		return false, nil
	}
	if p.Reason != 0 {
		return false, s.giveUp(reasonCode(p.Reason), p.Reason.String(), p.RetryAfter)
	}
	return s.send(ctx, p, progress)
}

// giveUp refuses a request that has not run, or fails one that may have.
func (s *streamRun) giveUp(code result.Code, cause string, after time.Duration) *refusal {
	if s.sends > 0 {
		return failed(cause)
	}
	return refused(code, cause, after)
}

func reasonCode(r staging.RefusalReason) result.Code {
	if r == planner.NoServer {
		return result.NoServer
	}
	return result.Overloaded
}

// send sends the request to the server chosen and relays its answer.
func (s *streamRun) send(ctx context.Context, p planner.Placed, progress func(planner.Phase)) (bool, *refusal) {
	req := s.req
	if r := s.g.stillAllowed(req, p.Server); r != "" {
		progress(planner.Cancelled)
		s.avoid = append(s.avoid, p.Server)
		return false, s.afterNotRun(r)
	}
	req.tries++
	start := clock.Now()
	srv := placement.Server{ID: p.Server, Address: p.Address}
	resp, err := s.g.Upstream.Do(ctx, s.g.encode(req, srv, p.Inputs, modelPriority(req)))
	if err != nil {
		return s.sendFailed(ctx, p, progress, err)
	}
	defer func() { _ = resp.Body.Close() }()
	info := platform.DecodeServerResponse(resp.StatusCode, resp.Header)
	if info.NotExecuted {
		req.log.Info("Server did not run the request.", "server", p.Server, "status", resp.StatusCode, "took", clock.Now()-start)
		return s.notRunBy(p, progress, resp.StatusCode)
	}
	s.sends++
	if resp.StatusCode != http.StatusOK || !info.Signed {
		return s.otherAnswer(resp, info, progress)
	}
	err = s.relay.copy(resp, func() {
		s.g.metrics.first.RecordDuration(clock.Now() - req.arrived)
		req.log.Info("First event.", "server", p.Server, "route", req.route.Name, "version", req.version, "held", clock.Now()-req.arrived, "took", clock.Now()-start)
		progress(planner.Started)
	})
	if err == nil {
		progress(planner.Complete)
		s.g.metrics.answered.Inc(1)
		s.g.metrics.held.RecordDuration(clock.Now() - req.arrived)
		req.log.Info("Stream answered.", "server", p.Server, "events", s.relay.events, "held", clock.Now()-req.arrived, "tries", req.tries)
		return true, nil
	}
	return s.broken(ctx, p, progress, err)
}

// sendFailed takes a request that got no answer.
func (s *streamRun) sendFailed(ctx context.Context, p planner.Placed, progress func(planner.Phase), err error) (bool, *refusal) {
	s.req.log.Info("No answer.", "server", p.Server, "cause", err.Error())
	s.avoid = append(s.avoid, p.Server)
	sent := !errors.Is(err, upstream.ErrNotSent)
	if sent {
		s.sends++
	}
	if ctx.Err() != nil {
		progress(planner.Cancelled)
		return false, nil
	}
	progress(planner.Unreached)
	if !sent {
		return false, s.afterNotRun("server not reached")
	}
	return false, s.afterRun("no answer from the server")
}

// notRunBy takes the word of a server that it did not run the request.
func (s *streamRun) notRunBy(p planner.Placed, progress func(planner.Phase), status int) (bool, *refusal) {
	if status == http.StatusConflict {
		// An input is gone: the stages run again.
		progress(planner.Cancelled)
		return false, s.afterNotRun("input gone")
	}
	s.avoid = append(s.avoid, p.Server)
	if status == http.StatusMisdirectedRequest {
		progress(planner.Unreached)
		return false, s.afterNotRun(causeOther)
	}
	progress(planner.Failed)
	if s.req.tries >= s.req.route.MaxAttempts {
		return false, s.giveUp(result.QueueFull, causeFull, busyRetry)
	}
	return false, s.afterNotRun(causeFull)
}

// afterNotRun places a request again that has not run, if the budget allows.
func (s *streamRun) afterNotRun(cause string) *refusal {
	if s.req.remaining() < resumeReserve || !s.g.mayRepeat(s.req.service) {
		return s.giveUp(outcome{cause: cause}.code(), cause, busyRetry)
	}
	return nil
}

// afterRun places a request again that may have run, if it may be repeated.
func (s *streamRun) afterRun(cause string) *refusal {
	if !s.req.route.Idempotent() || s.sends >= s.req.route.MaxAttempts ||
		s.req.remaining() < resumeReserve || !s.g.mayRepeat(s.req.service) {
		return failed(cause)
	}
	return nil
}

// broken takes a stream that ended early.
func (s *streamRun) broken(ctx context.Context, p planner.Placed, progress func(planner.Phase), err error) (bool, *refusal) {
	s.req.log.Info("Stream from the server broken.", "server", p.Server, "events", s.relay.events, "cause", err.Error())
	if ctx.Err() != nil || errors.Is(err, errClient) {
		progress(planner.Cancelled)
		if errors.Is(err, errClient) {
			s.abort("client does not read")
		}
		return false, nil
	}
	progress(planner.Failed)
	s.avoid = append(s.avoid, p.Server)
	if last := s.relay.lastEvent(); last != "" {
		s.req.LastEventID = last
	}
	return false, s.afterRun("stream broken")
}

// otherAnswer relays an answer that is no stream.
func (s *streamRun) otherAnswer(resp *upstream.Response, info platform.ServerResponse, progress func(planner.Phase)) (bool, *refusal) {
	progress(planner.Failed)
	if !info.Signed || s.relay.started {
		return false, s.afterRun("answer without the server's seal")
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		if r := s.afterRun("server failed"); r == nil {
			return false, nil
		}
	}
	a, err := readWhole(resp)
	if err != nil {
		return false, s.afterRun("answer broken off")
	}
	s.g.relayWhole(s.w, s.req, a)
	return true, nil
}

// modelPriority maps ranks to the priorities of model servers, where 5 is usual.
func modelPriority(req *request) int { return min(3+req.rank, 9) }
