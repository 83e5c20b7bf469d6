package gateway

import (
	"context"
	"slices"
	"sync"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/peer"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

// mostMoves is the number of entries that may hand a request over before this one
// places it, whichever comes first.
const mostMoves = 5

// place has a request placed by the entry that places for all, or by this one if
// there is none before it. When that entry is lost the next one is asked. The
// function returned tells the placing entry what becomes of the request.
func (g *Gateway) place(ctx context.Context, req *request, avoid []string) (planner.Placed, func(planner.Phase)) {
	made := &madeResults{}
	g.Links.WaitSettled(ctx)
	for moves := 0; ; moves++ {
		pr := g.placementRequest(req, avoid)
		pr.Made = made.all()
		by := g.Links.PlanningPeer()
		if moves >= mostMoves {
			by = nil
		}
		start := clock.Now()
		placed, ok := g.placeBy(ctx, by, &pr, made)
		progress := func(phase planner.Phase) { g.progress(by, req.ID, phase, made) }
		g.metrics.placing.RecordDuration(clock.Now() - start)
		if ok || ctx.Err() != nil {
			req.log.Info("Placement.", "by", peerName(by), "server", placed.Server, "reason", placed.Reason, "took", clock.Now()-start, "stages", len(pr.Stages))
			return placed, progress
		}
		req.log.Info("Placed by another entry now.", "by", peerName(by), "waited", clock.Now()-start, "made", len(made.all()))
	}
}

func peerName(p *peer.Peer) string {
	if p == nil {
		return "self"
	}
	return p.Owner()
}

// madeResults gathers the results of one request while another entry places it.
type madeResults struct {
	mu      sync.Mutex
	results []staging.ResultLocation
}

func (m *madeResults) add(results []staging.ResultLocation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.results = append(m.results, results...)
}

// take returns the results and forgets them.
func (m *madeResults) take() []staging.ResultLocation {
	m.mu.Lock()
	defer m.mu.Unlock()
	results := m.results
	m.results = nil
	return results
}

func (m *madeResults) all() []staging.ResultLocation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.results)
}

// progress tells the placing entry how far a request got. If that entry is lost, this
// one gives up the results.
func (g *Gateway) progress(by *peer.Peer, id string, phase planner.Phase, made *madeResults) {
	if by == nil {
		g.Planner.Progress(id, phase)
		return
	}
	if !by.ReportProgress(id, phase) {
		g.Planner.GiveUp(made.take())
	}
}

type placedAnswer struct {
	placed planner.Placed
	ok     bool
}

// placeBy asks one entry; nil is this one. It returns false if the entry
// was lost before it answered.
func (g *Gateway) placeBy(ctx context.Context, by *peer.Peer, pr *planner.Request, made *madeResults) (planner.Placed, bool) {
	answers := make(chan placedAnswer, 1)
	if by == nil {
		g.Planner.Place(*pr, planner.Watcher{
			Placed: func(p planner.Placed) { answers <- placedAnswer{p, p.Reason != planner.Moved} },
			Made:   made.add, Own: true,
		})
	} else {
		by.Place(pr, func(p planner.Placed, ok bool) { answers <- placedAnswer{p, ok} }, made.add)
	}
	select {
	case a := <-answers:
		return a.placed, a.ok
	case <-ctx.Done():
		return planner.Placed{}, false
	}
}

func (g *Gateway) placementRequest(req *request, avoid []string) planner.Request {
	now := clock.Now()
	pr := planner.Request{
		ID: req.ID, Key: req.PieceKey, Rank: req.rank, Due: req.due - now, Deadline: req.deadline - now,
		Pool: req.service, Zone: g.Settings.Zone, MaxTokens: req.MaxTokens, Avoid: avoid, Owner: g.Owner,
	}
	for _, p := range req.PromptParts {
		pr.Parts = append(pr.Parts, placement.PromptPart{ID: p.ID, Tokens: p.Tokens})
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
