package gateway

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// slowWorkTime is the reported time of work, relative to the usual one, from which a report
// counts as one of a slow machine in the metrics.
const slowWorkTime = 1.5

// trustBuckets are the bounds of the histogram of the trust in load reports.
var trustBuckets = tally.MustMakeLinearValueBuckets(0, 0.1, 11)

// handleLoad handles what the response to an attempt at a plain request, which arrived after
// the given time, says about the load of its server.
func (g *Gateway) handleLoad(req *request, srv placement.Server, took time.Duration, status int, info platform.ServerResponse) {
	if !info.NotExecuted && !info.Signed {
		return
	}
	if !info.NotExecuted && status < http.StatusInternalServerError {
		g.checkLoad(req, srv, took, info.Load)
	}
	if info.Load == nil {
		return
	}
	countLoad(g.metrics.scope, "plain", info.Load)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads.Observe(clock.Now(), srv.Start(), *info.Load)
}

// checkLoad compares the time of an attempt with what its server reported about its load.
// load is the report of the response, or nil.
func (g *Gateway) checkLoad(req *request, srv placement.Server, took time.Duration, load *loadreport.Report) {
	g.mu.Lock()
	contradicts := g.loads.RecordAnswer(loadreport.Answer{Service: req.service, Server: srv.Start(), Time: took, Report: load})
	_, trust := g.loads.Queue(clock.Now(), srv.Start())
	g.mu.Unlock()
	if contradicts {
		g.metrics.falseLoads.Inc(1)
		req.log.Info("Answer contradicts the load that the server reports.", "server", srv.ID, "took", took, "load", load, "report_trust", trust)
	}
}

// reportedQueue returns the reported queue of a server and the trust in its reports; see
// loadreport.Table.
func (g *Gateway) reportedQueue(srv placement.Server) (rounds, trust float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loads.Queue(clock.Now(), srv.Start())
}

// countLoad counts a response with a load report, by the kind of its server.
func countLoad(scope tally.Scope, kind string, load *loadreport.Report) {
	tagged := scope.Tagged(map[string]string{"kind": kind})
	tagged.Counter("server_load_reports").Inc(1)
	if load.WorkTime >= slowWorkTime {
		tagged.Counter("server_load_reports_slow").Inc(1)
	}
}

// countLoad counts the load report of a response to a call, if it has one.
func (s *StageClient) countLoad(c staging.Call, load *loadreport.Report) {
	if s.Scope == nil || load == nil {
		return
	}
	countLoad(s.Scope, "stage", load)
	if c.WorkTime > 0 {
		s.Scope.Histogram("server_load_trust", trustBuckets).RecordValue(c.ReportTrust)
	}
}
