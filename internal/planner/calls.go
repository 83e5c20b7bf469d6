package planner

import (
	"context"
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/telemetry"
)

// runCall performs a call and records its result.
func (p *Planner) runCall(c staging.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	start := clock.Now()
	result, err := p.stages.Run(ctx, c)
	elapsed := clock.Now() - start
	if result.Status != staging.Answered {
		p.log.Info("Stage call failed.", "call", c.ID, "requests", requestIDs(c), "pool", c.Pool, "server", c.Server.ID, "pieces", len(c.Items), "took", elapsed, "cause", telemetry.ErrorText(err), "retry_after", result.RetryAfter,
			"load", result.Load, "work_time", c.WorkTime, "report_trust", c.ReportTrust)
	} else {
		p.log.Info("Stage call completed.", "call", c.ID, "requests", requestIDs(c), "pool", c.Pool, "server", c.Server.ID, "pieces", len(c.Items), "took", elapsed, "expected", c.ExpectedTime,
			"waited", c.WaitTime, "memory_left", c.MemoryLeft, "load", result.Load, "work_time", c.WorkTime, "report_trust", c.ReportTrust)
	}
	p.reportStageCall(c, result.Status, start)
	p.update(func(now time.Duration) { p.scheduler.CallDone(now, c.ID, result) })
}

// requestIDs returns the IDs of the requests whose pieces a call runs.
func requestIDs(c staging.Call) []string {
	var ids []string
	for _, it := range c.Items {
		if !slices.Contains(ids, it.JobID) {
			ids = append(ids, it.JobID)
		}
	}
	return ids
}

func (p *Planner) freeOnServer(f staging.FreeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	retryAfter, err := p.stages.Free(ctx, f)
	if err != nil {
		p.log.Info("Results not freed.", "server", f.Server.ID, "results", len(f.Handles), "cause", err.Error(), "retry_after", retryAfter)
	}
	p.update(func(now time.Duration) { p.scheduler.FreeDone(now, f.ID, retryAfter) })
}
