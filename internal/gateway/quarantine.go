package gateway

import (
	"context"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/placement"
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

// setElements sets what the request has in common with repeats of it, and may have with others.
// A request without a body is known by its prompt.
func (r *request) setElements() {
	for _, p := range r.PromptParts {
		r.promptParts = append(r.promptParts, placement.PromptPart{ID: p.ID, Tokens: p.Tokens})
	}
	shared := planner.SharedParts(r.promptParts)
	q := quarantine.Request{Method: r.method, Host: r.host, Target: r.target, Customer: r.customer, Body: r.body}
	if len(r.body) == 0 {
		q.SharedParts = shared
	}
	r.identity = q.Identity()
	r.elements = quarantine.Elements(r.identity, shared)
}

// reportAttempt reports how an attempt at a server ended.
func (g *Gateway) reportAttempt(req *request, srv notice.Server, beganAt time.Duration, ending quarantine.Ending) {
	if ending.Interrupted() {
		g.metrics.interrupted.Inc(1)
		req.log.Info("Server may have crashed under the request.", "server", srv.ID, "identity", req.identity, "began", ending == quarantine.InterruptedAnswering)
	}
	g.Links.ReportAttempts(quarantine.Attempt{Server: srv, Elements: req.elements, BeganAt: beganAt, EndedAt: clock.Now(), Ending: ending})
}

// checkHeldBack returns a refusal for a plain request that is held back, or nil. While it
// is not clear yet whether servers crashed under the request, it waits.
func (g *Gateway) checkHeldBack(ctx context.Context, req *request) *refusal {
	for range maxEvidenceWaits {
		d := g.Planner.CheckRequest(req.elements)
		switch {
		case !d.Held:
			return nil
		case d.TrialDue:
			return g.requestTrial(ctx, req)
		case d.Unsettled <= 0:
			return newRefusal(result.PromptHeldBack, causeHeldBack, d.RetryAfter)
		}
		clock.Sleep(ctx, min(d.Unsettled, req.remaining()))
	}
	return newRefusal(result.PromptHeldBack, causeHeldBack, busyRetryAfter)
}

// requestTrial asks the entry that places requests whether a request that is held back may
// be sent as a trial, since only one entry may grant trials.
func (g *Gateway) requestTrial(ctx context.Context, req *request) *refusal {
	ctx, cancel := context.WithTimeout(ctx, trialAnswerTimeout)
	defer cancel()
	check := &planner.Request{ID: req.ID, Identity: req.identity, PromptParts: req.promptParts, TimeToDeadline: req.remaining(), Owner: g.Owner, CheckOnly: true, Residency: req.residency}
	answer, ok := g.requestPlacement(ctx, g.Links.PlanningPeer(), check, &reportedResults{}, func() bool { return true })
	switch {
	case !ok:
		return newRefusal(result.PromptHeldBack, causeHeldBack, trialAnswerTimeout)
	case answer.RefusalReason != 0:
		g.Planner.PostponeTrial(req.elements, answer.RetryAfter)
		return newRefusal(result.PromptHeldBack, causeHeldBack, answer.RetryAfter)
	}
	req.log.Info("Request that is held back is sent as a trial.", "identity", req.identity)
	g.Planner.PostponeTrial(req.elements, trialAnswerTimeout)
	return nil
}
