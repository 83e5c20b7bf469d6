package gateway

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// lastRequestTime is how long before its end a stopping process accepts the last
	// requests, and lastAnswerTime how long before it gives the last answers.
	lastRequestTime = 2500 * time.Millisecond
	lastAnswerTime  = 100 * time.Millisecond
)

// Stop marks the gateway as stopping; the process ends after the given time at the latest.
// Requests that can be expected to end in that time are still served, with closing connections;
// others are refused at once, also those that wait for a server. No requests are accepted in the
// last part of the time, and new streams only for newStreamGrace. Complete answers are delivered
// until deliverWithin has passed.
func (g *Gateway) Stop(within, deliverWithin time.Duration) {
	now := clock.Now()
	g.endsAt.CompareAndSwap(0, int64(now+within))
	if g.stoppingSince.CompareAndSwap(0, int64(now)) {
		g.beginStop()
		time.AfterFunc(within-min(lastRequestTime, within/2), g.stopAccepting)
		time.AfterFunc(within-lastAnswerTimeOf(within), g.end)
		time.AfterFunc(deliverWithin, g.stopDelivering)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowanceShare.Stop()
}

// Stopping reports whether Stop was called.
func (g *Gateway) Stopping() bool { return g.stoppingSince.Load() != 0 }

// Ending reports whether the process is about to end, so that the last answers are given.
func (g *Gateway) Ending() bool { return g.ending.Err() != nil }

// stoppingFor returns the time since Stop was called, or 0.
func (g *Gateway) stoppingFor() time.Duration {
	at := g.stoppingSince.Load()
	if at == 0 {
		return 0
	}
	return clock.Now() - time.Duration(at)
}

// lastAnswerAt returns the clock.Now time at which a stopping process gives the last answers.
func (g *Gateway) lastAnswerAt() time.Duration {
	endsAt, stoppingSince := time.Duration(g.endsAt.Load()), time.Duration(g.stoppingSince.Load())
	return endsAt - lastAnswerTimeOf(endsAt-stoppingSince)
}

// lastAnswerTimeOf returns lastAnswerTime, or a shorter time for a stop that lasts less than
// usual.
func lastAnswerTimeOf(stopTime time.Duration) time.Duration {
	return min(lastAnswerTime, stopTime/4)
}

// refuseAtEnd refuses a request if the process is expected to end before it is served.
// Otherwise, if the process is stopping, the request is answered before the process ends.
func (g *Gateway) refuseAtEnd(req *request) *refusal {
	if !g.Stopping() {
		return nil
	}
	if g.accepting.Err() != nil {
		return refuseStopping()
	}
	if g.tooLateToAccept(req) {
		return g.refuseTooLate(req)
	}
	if req.route.Kind != routes.Stream {
		req.deadline = min(req.deadline, g.lastAnswerAt())
	}
	return nil
}

// requestContext returns the context of the work on a request. It ends when the client
// disconnects, at the deadline of the request, and with errProcessEnds shortly before the process
// ends.
func (g *Gateway) requestContext(client context.Context, req *request) (context.Context, context.CancelFunc) {
	timed, cancelTimed := context.WithTimeout(client, req.remaining())
	ctx, cancel := context.WithCancelCause(timed)
	stopWatching := context.AfterFunc(g.ending, func() { cancel(errProcessEnds) })
	return ctx, func() {
		stopWatching()
		cancel(nil)
		cancelTimed()
	}
}

// InFlight returns the number of unanswered requests, 0 once the gateway is closed.
func (g *Gateway) InFlight() int64 { return max(0, g.inFlight.Load()) }

// closedInFlight makes the number of requests in flight negative, whatever arrives later.
const closedInFlight = math.MinInt64 / 2

// TryClose closes the gateway and returns true if no request is in flight. Requests that
// arrive later are refused, so that the process can end without interrupting one that was
// sent to a server.
func (g *Gateway) TryClose() bool { return g.inFlight.CompareAndSwap(0, closedInFlight) }

// refuseClosed refuses a request that arrived after the gateway was closed.
func (g *Gateway) refuseClosed(w http.ResponseWriter, hr *http.Request) {
	limitUnreadBody(w)
	cr, _ := platform.DecodeClientRequest(hr.Header)
	req := &request{ClientRequest: cr, arrivedAt: clock.Now(), log: g.Log.WithValues("request", cr.ID)}
	g.refuse(w, req, &refusal{code: result.EntryDraining, retryAfter: stoppingRetryAfter, cause: "entry has stopped", closeConnection: true})
}
