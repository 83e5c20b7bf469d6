package gateway

import (
	"context"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

const (
	// maxEvidenceWaits bounds how often a request waits for evidence against it to settle.
	maxEvidenceWaits = 3
	// trialAnswerTimeout bounds the wait for the entry that grants trials.
	trialAnswerTimeout = 500 * time.Millisecond
	// causeHeldBack is the cause of refusals of requests that are held back.
	causeHeldBack = "servers crash under this request"
)

// quarantineIdentity returns what the request has in common with all repeats of it. A request
// without a body is known by its prompt.
func (r *request) quarantineIdentity() string {
	q := quarantine.Request{Method: r.method, Host: r.host, Target: r.target, Customer: r.customer, Body: r.body}
	if len(r.body) == 0 {
		q.SharedParts = planner.SharedParts(r.promptParts())
	}
	return q.Identity()
}

// elements returns what the request may have in common with others that crash servers.
func (r *request) elements() []string {
	pr := planner.Request{Identity: r.identity, PromptParts: r.promptParts()}
	return pr.Elements()
}

// reportAttempt reports how an attempt at a server ended.
func (g *Gateway) reportAttempt(req *request, srv notice.Server, beganAt time.Duration, ending quarantine.Ending) {
	if ending.Interrupted() {
		g.metrics.interrupted.Inc(1)
		req.log.Info("Server may have crashed under the request.", "server", srv.ID, "identity", req.identity, "began", ending == quarantine.InterruptedAnswering)
	}
	g.Links.ReportAttempts(quarantine.Attempt{Server: srv, Elements: req.elements(), BeganAt: beganAt, EndedAt: clock.Now(), Ending: ending})
}

// checkHeldBack returns a refusal for a plain request that is held back, or nil. While it
// is not clear yet whether servers crashed under the request, it waits.
func (g *Gateway) checkHeldBack(ctx context.Context, req *request) *refusal {
	elements := req.elements()
	for range maxEvidenceWaits {
		d := g.Planner.CheckRequest(elements)
		switch {
		case !d.Held:
			return nil
		case d.TrialDue:
			return g.requestTrial(ctx, req, elements)
		case d.Unsettled <= 0:
			return newRefusal(result.PromptHeldBack, causeHeldBack, d.RetryAfter)
		}
		clock.Sleep(ctx, min(d.Unsettled, req.remaining()))
	}
	return newRefusal(result.PromptHeldBack, causeHeldBack, busyRetryAfter)
}

// requestTrial asks the entry that places requests whether a request that is held back may
// be sent as a trial, since only one entry may grant trials.
func (g *Gateway) requestTrial(ctx context.Context, req *request, elements []string) *refusal {
	ctx, cancel := context.WithTimeout(ctx, trialAnswerTimeout)
	defer cancel()
	check := &planner.Request{ID: req.ID, Identity: req.identity, PromptParts: req.promptParts(), TimeToDeadline: req.remaining(), Owner: g.Owner, CheckOnly: true}
	answer, ok := g.requestPlacement(ctx, g.Links.PlanningPeer(), check, &reportedResults{})
	switch {
	case !ok:
		return newRefusal(result.PromptHeldBack, causeHeldBack, trialAnswerTimeout)
	case answer.RefusalReason != 0:
		g.Planner.PostponeTrial(elements, answer.RetryAfter)
		return newRefusal(result.PromptHeldBack, causeHeldBack, answer.RetryAfter)
	}
	req.log.Info("Request that is held back is sent as a trial.", "identity", req.identity)
	g.Planner.PostponeTrial(elements, trialAnswerTimeout)
	return nil
}
