package gateway

import (
	"context"
	"slices"
	"sync"

	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/peer"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

// maxPlannerChanges is the number of times that the placing entry of a request may be lost
// or hand the request over before this entry places it itself.
const maxPlannerChanges = 5

// progressFunc reports the progress of a request to the entry that placed it.
type progressFunc func(planner.Progress)

// place gets a placement from the entry that places the requests of all entries, which may
// be this one. If that entry is lost or hands the request over, place tries again with the
// entry that succeeds it. The returned function reports the progress of the request to the
// entry that placed it.
func (g *Gateway) place(ctx context.Context, req *request, avoid []string) (planner.Placement, progressFunc) {
	reported := &reportedResults{}
	for plannerChanges := 0; ; plannerChanges++ {
		g.Links.WaitSettled(ctx)
		pr := g.placementRequest(req, avoid)
		pr.Residency = g.residency(req)
		pr.PriorResults = reported.all()
		plannerPeer := g.Links.PlanningPeer()
		if plannerChanges >= maxPlannerChanges {
			plannerPeer = nil
		}
		start := clock.Now()
		answer, ok := g.requestPlacement(ctx, plannerPeer, &pr, reported, func() bool { return g.residency(req).Equal(pr.Residency) })
		progress := func(p planner.Progress) { g.reportProgress(plannerPeer, req.ID, p, reported) }
		g.metrics.placementTime.RecordDuration(clock.Now() - start)
		if ok || ctx.Err() != nil {
			req.log.Info("Placement finished.", "by", peerName(plannerPeer), "server", answer.Server, "server_version", answer.SoftwareVersion, "reason", answer.RefusalReason, "took", clock.Now()-start, "stages", len(pr.Stages))
			return answer, progress
		}
		req.log.Info("Placement is retried with another entry.", "by", peerName(plannerPeer), "waited", clock.Now()-start, "made", len(reported.all()))
	}
}

func peerName(p *peer.Peer) string {
	if p == nil {
		return "self"
	}
	return p.Owner()
}

// reportedResults collects the stage results that the placing entry reports. If that
// entry is lost, they are passed on to the next one, or freed.
type reportedResults struct {
	mu      sync.Mutex
	results []staging.ResultLocation
}

func (r *reportedResults) add(results []staging.ResultLocation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, results...)
}

// take removes and returns the results.
func (r *reportedResults) take() []staging.ResultLocation {
	r.mu.Lock()
	defer r.mu.Unlock()
	results := r.results
	r.results = nil
	return results
}

func (r *reportedResults) all() []staging.ResultLocation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.results)
}

// reportProgress reports the progress of a request to the entry that placed it. If that
// entry is lost, this one frees the results.
func (g *Gateway) reportProgress(plannerPeer *peer.Peer, id string, progress planner.Progress, reported *reportedResults) {
	if plannerPeer == nil {
		g.Planner.UpdateProgress(id, progress)
		return
	}
	if !plannerPeer.ReportProgress(id, progress) {
		g.Planner.FreeResults(reported.take())
	}
}

// placementReply is the answer of the placing entry; ok is false if that entry was lost or
// handed the request over.
type placementReply struct {
	placement planner.Placement
	ok        bool
}

// requestPlacement requests the placement from plannerPeer, or from this entry if
// plannerPeer is nil. It returns false if the other entry was lost or handed the request
// over, if ctx ended, or if the request is no longer valid after a change of the
// configuration.
func (g *Gateway) requestPlacement(ctx context.Context, plannerPeer *peer.Peer, pr *planner.Request, reported *reportedResults, isValid func() bool) (planner.Placement, bool) {
	replies := make(chan placementReply, 1)
	if plannerPeer == nil {
		g.Planner.Place(*pr, planner.Callbacks{
			OnPlacement:     func(p planner.Placement) { replies <- placementReply{p, p.RefusalReason != planner.HandedOver} },
			OnResultChanges: reported.add, Local: true,
		})
	} else {
		plannerPeer.Place(pr, func(p planner.Placement, ok bool) { replies <- placementReply{p, ok} }, reported.add)
	}
	for {
		configChanged := g.configChanges.next()
		if !isValid() {
			g.reportProgress(plannerPeer, pr.ID, planner.Progress{Phase: planner.Cancelled}, reported)
			reported.take()
			return planner.Placement{}, false
		}
		select {
		case a := <-replies:
			return a.placement, a.ok
		case <-ctx.Done():
			return planner.Placement{}, false
		case <-configChanged:
		}
	}
}

func (g *Gateway) placementRequest(req *request, avoid []string) planner.Request {
	now := clock.Now()
	pr := planner.Request{
		ID: req.ID, Identity: req.identity, PieceKey: req.PieceKey, Priority: req.priority, TimeToObjective: req.objectiveDeadline - now, TimeToDeadline: req.deadline - now,
		MaxPause: req.route.MaxPause, Pool: req.service, Zone: g.Settings.Zone, MaxTokens: req.MaxTokens, Avoid: avoid, Customer: req.customer, Owner: g.Owner, PromptParts: req.promptParts,
	}
	if req.route.Resumable {
		pr.ResumableFor = req.resumableUntil - now
	}
	if req.LastEventID != "" {
		pr.Resume = &planner.Resume{Stream: req.streamID(), Version: g.Planner.StreamVersion(req.streamID())}
	}
	for i, st := range req.route.Stages {
		pieces := 0
		if i < len(req.PieceCounts) {
			pieces = req.PieceCounts[i]
		}
		pr.Stages = append(pr.Stages, staging.Stage{Pool: st.Service, DependsOn: st.DependsOn, ResultBytes: st.ResultBytes, Pieces: pieces})
	}
	return pr
}
