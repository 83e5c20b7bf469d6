package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/burn"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/internal/report"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

const (
	deadline = 3 * time.Second
	// avoidAfter is the time after a fault from which new requests should avoid the
	// faulty server.
	avoidAfter = 2 * time.Second
)

// row is the figures of one cell with one policy and one seed.
type row struct {
	Cell, Policy string
	Seed         uint64
	Requests     int
	// Attainment is the share of all offered that completed within the deadline.
	Attainment float64
	// Others is the attainment of the customers that are not greedy.
	Others float64
	// Goodput is the requests a second that ended complete within the deadline, after
	// the warm-up; Bound is what capacity and load allow.
	Goodput, Bound float64
	// FirstToken and InterToken are the 95th percentiles in milliseconds.
	FirstToken, InterToken float64
	Refused                int
	// Refusal is the 99th percentile of the latency of refusals, in milliseconds.
	Refusal float64
	// ServerSeconds, Tokens and CrossBytes are per request complete in time.
	ServerSeconds, Tokens, CrossBytes float64
	// Wasted is the share of server time of requests not complete in time.
	Wasted float64
	// Retries and Hedges are attempts per stage run, refused ones included; Added is
	// the share of server time of executions after the first of a stage.
	Retries, Hedges, Added float64
	// AfterFault is the attainment of requests due 2 s or more after the fault.
	AfterFault float64
	// VictimShare is the share of generations begun at the faulty server by then.
	VictimShare float64
	// Recovery is the time after a burst until no request misses, in seconds.
	Recovery float64
	// Returned is the share of refused callers that got through by coming back.
	Returned float64
	Wrong    int
	// Codes counts the requests that were not complete, by result code.
	Codes map[result.Code]int
}

func (r row) line() string {
	return fmt.Sprintf("%-16s %-13s seed %d: n=%d attained %.3f others %.3f goodput %.1f of %.1f first %.0f ms gap %.0f ms refused %d p99 %.0f ms wasted %.3f added %.3f retries %.3f hedges %.3f cross %.0f B after fault %.3f victim %.3f recovery %.1f returned %.2f wrong %d codes %v",
		r.Cell, r.Policy, r.Seed, r.Requests, r.Attainment, r.Others, r.Goodput, r.Bound, r.FirstToken, r.InterToken,
		r.Refused, r.Refusal, r.Wasted, r.Added, r.Retries, r.Hedges, r.CrossBytes, r.AfterFault, r.VictimShare, r.Recovery, r.Returned, r.Wrong, r.Codes)
}

// measure works out a row.
type measure struct {
	cell    cell
	span    time.Duration
	started time.Time
	sent    []sent
	victim  string
	policy  policy
	// executions are by start.
	executions    []standin.Execution
	before, after *burn.Report
}

func (s *sent) onTime() bool {
	return s.Outcome.Class == load.Complete && s.Outcome.Defect == "" && s.Outcome.TotalLatency <= deadline
}

func (m *measure) row() row {
	r := row{Requests: len(m.sent)}
	m.attainment(&r)
	m.latencies(&r)
	m.cost(&r)
	m.repeats(&r)
	m.recovery(&r)
	return r
}

func (m *measure) attainment(r *row) {
	var all, others, after counter
	ended := 0
	r.Codes = map[result.Code]int{}
	for i := range m.sent {
		s := &m.sent[i]
		good := s.onTime()
		all.add(good)
		if s.Request.Customer != m.cell.greedy {
			others.add(good)
		}
		if m.cell.fault != "" && s.Request.ScheduledAt >= faultAfter+avoidAfter {
			after.add(good)
		}
		if end := s.last + s.Outcome.TotalLatency; good && end >= warmUp && end < m.span {
			ended++
		}
		if s.Outcome.Defect != "" {
			r.Wrong++
		}
		if s.Outcome.Class != load.Complete {
			r.Codes[s.Outcome.Code]++
		}
	}
	r.Attainment, r.Others, r.AfterFault = all.share(), others.share(), after.share()
	r.Goodput = float64(ended) / (m.span - warmUp).Seconds()
	r.Bound = min(m.cell.load, 1) * capacity()
}

// counter counts good ones among all.
type counter struct{ all, good int }

func (c *counter) add(good bool) {
	c.all++
	if good {
		c.good++
	}
}

func (c *counter) share() float64 {
	if c.all == 0 {
		return 0
	}
	return float64(c.good) / float64(c.all)
}

func (m *measure) latencies(r *row) {
	var first, gaps, refusals []time.Duration
	for i := range m.sent {
		s := &m.sent[i]
		if s.Outcome.Class == load.Complete {
			first = append(first, s.Outcome.FirstTextLatency)
			gaps = append(gaps, s.Outcome.ChunkGaps...)
		}
		refusals = append(refusals, s.refusals...)
	}
	r.FirstToken, r.InterToken = quantile(first, 0.95), quantile(gaps, 0.95)
	r.Refused, r.Refusal = len(refusals), quantile(refusals, 0.99)
}

// quantile returns a quantile in milliseconds; 0 if there are no values.
func quantile(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))].Seconds() * 1000
}

// cost works out what the servers spent, from their own record.
func (m *measure) cost(r *row) {
	good := map[string]bool{}
	n := 0
	for i := range m.sent {
		if m.sent[i].onTime() {
			good[m.sent[i].Request.Nonce] = true
			n++
		}
	}
	total, wasted, added, produced := 0.0, 0.0, 0.0, 0
	var starts, victims int
	seen := map[string]bool{}
	for _, e := range m.executions {
		t := executionTime(e)
		total += t
		produced += e.Tokens
		if !good[e.Nonce] {
			wasted += t
		}
		if stage := stageOf(e.ID); seen[stage] {
			added += t
		} else {
			seen[stage] = true
		}
		if e.Call == "generate" && e.Start.Sub(m.started) >= faultAfter+avoidAfter && e.Start.Sub(m.started) < m.span {
			starts++
			if e.Server == m.victim {
				victims++
			}
		}
	}
	if n > 0 {
		r.ServerSeconds, r.Tokens = total/float64(n), float64(produced)/float64(n)
		r.CrossBytes = crossBytes(m.before, m.after) / float64(n)
	}
	if total > 0 {
		r.Wasted, r.Added = wasted/total, added/total
	}
	if starts > 0 && m.cell.fault != "" {
		r.VictimShare = float64(victims) / float64(starts)
	}
}

func executionTime(e standin.Execution) float64 {
	if e.End.IsZero() {
		return 0
	}
	return e.End.Sub(e.Start).Seconds()
}

// stageOf returns the request and stage of an execution's id.
func stageOf(id string) string { return id[:strings.LastIndex(id, "/")] }

func crossBytes(before, after *burn.Report) float64 {
	sum := func(r *burn.Report) (n uint64) {
		for i := range r.Stages {
			n += r.Stages[i].CrossRegionBytes
		}
		return n
	}
	return float64(sum(after) - sum(before))
}

func (m *measure) repeats(r *row) {
	sum := func(rep *burn.Report) (requests, attempts, hedges float64) {
		for i := range rep.Stages {
			s := &rep.Stages[i]
			requests += float64(s.Requests)
			attempts += float64(s.Attempts)
			hedges += float64(s.Hedges)
		}
		return requests, attempts, hedges
	}
	r0, a0, h0 := sum(m.before)
	r1, a1, h1 := sum(m.after)
	if n := r1 - r0; n > 0 {
		r.Hedges = (h1 - h0) / n
		r.Retries = (a1-a0-n)/n - r.Hedges
	}
}

// recovery works out how the end of a burst was got over.
func (m *measure) recovery(r *row) {
	if !m.cell.burst {
		return
	}
	end := m.span / 2
	var returned counter
	for i := range m.sent {
		s := &m.sent[i]
		if s.Request.ScheduledAt >= end && !s.onTime() {
			r.Recovery = max(r.Recovery, (s.Request.ScheduledAt - end).Seconds())
		}
		if len(s.refusals) > 0 {
			returned.add(s.onTime())
		}
	}
	r.Returned = returned.share()
}

func ofRun(all []standin.Execution, run string) []standin.Execution {
	var out []standin.Execution
	for _, e := range all {
		if strings.HasPrefix(e.Nonce, run+"-") {
			out = append(out, e)
		}
	}
	return out
}

func fetchBurn(ctx context.Context, admin string) (*burn.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, admin+report.Path, nil)
	if err != nil {
		return nil, err
	}
	adminapi.SetAuthorization(req, harness.AdminKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s", resp.Status)
	}
	r := &burn.Report{}
	return r, json.NewDecoder(resp.Body).Decode(r)
}
