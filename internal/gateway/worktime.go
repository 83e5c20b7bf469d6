package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/core/worktime"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// carefulPrior is the number of objectives that a request which may not be repeated is expected to
// take while nothing is learnt.
const carefulPrior = 3

// lateCheckInterval is the longest time between two checks whether a request that waits can
// still be sent, because the expected time changes meanwhile.
const lateCheckInterval = 250 * time.Millisecond

// workTimes holds how long requests take.
type workTimes struct {
	mu    sync.Mutex
	table *worktime.Table
}

func newWorkTimes() *workTimes { return &workTimes{table: worktime.New()} }

// begin records that work on a request begins. The returned function records its end; counts is
// set if the work was completed, or was given up although it would have taken longer.
func (t *workTimes) begin(r *worktime.Request) (end func(counts bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.table.Begin(clock.Now(), r)
	return func(counts bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.table.End(clock.Now(), w, counts)
	}
}

func (t *workTimes) expect(r *worktime.Request) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Expect(clock.Now(), r)
}

// work returns what the time of a request depends on. relayed is the number of the events of a
// stream that its client has got from earlier attempts.
func (r *request) work(relayed int) *worktime.Request {
	w := &worktime.Request{
		Kind:    worktime.Kind{Route: r.route.Name, Service: r.service},
		Careful: !r.route.Idempotent(), Prior: r.route.Objective,
	}
	if w.Careful {
		w.Prior *= carefulPrior
	}
	if r.route.Kind == routes.Stream {
		w.Length = max(0, r.MaxTokens-relayed)
		w.PriorPerLength = r.route.MaxPause
	}
	return w
}

// latestStart returns the clock.Now time until which a stopping process may begin work that is
// expected to take the given time. Work that has to end before the process does so in any case.
func (g *Gateway) latestStart(req *request, expected time.Duration) time.Duration {
	stop := worktime.Stop{Since: time.Duration(g.stoppingSince.Load()), LastAnswer: g.lastAnswerAt()}
	if req.ownDeadline <= stop.LastAnswer {
		return req.ownDeadline
	}
	return stop.LatestStart(expected)
}

// tooLateToAccept reports whether the process stops before a request can be expected to end that
// has just arrived.
func (g *Gateway) tooLateToAccept(req *request) bool {
	return g.isTooLate(req, max(g.requestTimes.expect(req.work(0)), g.serverTimes.expect(req.work(0))))
}

// tooLateToSend reports whether the process stops before a request can be expected to end that is
// about to be sent to a server.
func (g *Gateway) tooLateToSend(req *request, relayed int) bool {
	return g.Stopping() && g.isTooLate(req, g.serverTimes.expect(req.work(relayed)))
}

func (g *Gateway) isTooLate(req *request, expected time.Duration) bool {
	return clock.Now() > g.latestStart(req, expected)
}

// refuseTooLate returns the refusal of a request that would not end before its process.
func (g *Gateway) refuseTooLate(req *request) *refusal {
	work := req.work(0)
	req.log.Info("Request would not end before the process.", "expected", g.requestTimes.expect(work), "expected_at_server", g.serverTimes.expect(work),
		"left", g.lastAnswerAt()-clock.Now(), "stopping_for", g.stoppingFor(), "length", work.Length)
	r := refuseStopping()
	r.cause = causeTooLate
	return r
}

// untilTooLateToSend returns a context that ends when the process stops too soon for a request to
// be sent to a server.
func (g *Gateway) untilTooLateToSend(ctx context.Context, req *request, relayed int) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	var mu sync.Mutex
	var timer *time.Timer
	var schedule func()
	schedule = func() {
		mu.Lock()
		defer mu.Unlock()
		left := g.latestStart(req, g.serverTimes.expect(req.work(relayed))) - clock.Now()
		if left <= 0 {
			cancel()
			return
		}
		if ctx.Err() == nil {
			timer = time.AfterFunc(min(left+time.Millisecond, lateCheckInterval), schedule)
		}
	}
	stopWatching := context.AfterFunc(g.stopping, schedule)
	return ctx, func() {
		stopWatching()
		cancel()
		mu.Lock()
		defer mu.Unlock()
		if timer != nil {
			timer.Stop()
		}
	}
}

// wasGivenUp reports whether the entry has ended a request or an attempt that would have taken
// longer, unlike a client that left.
func wasGivenUp(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(context.Cause(ctx), errProcessEnds)
}

// attemptWork measures the time of an attempt at a stream.
type attemptWork struct {
	// ctx is that of the attempt, client ends when the client disconnects.
	ctx, client context.Context
	req         *request
	endWork     func(counts bool)
}

// beginWork records that an attempt is about to be sent.
func (s *streamRequest) beginWork(ctx context.Context) *attemptWork {
	return &attemptWork{ctx: ctx, client: s.client, req: s.req, endWork: s.gateway.serverTimes.begin(s.req.work(s.relay.events))}
}

// complete records that the response is complete.
func (w *attemptWork) complete() {
	w.endWork(true)
	w.req.endWork(true)
}

// end records that the attempt has ended.
func (w *attemptWork) end() { w.endWork(w.ctx.Err() != nil && w.client.Err() == nil) }
