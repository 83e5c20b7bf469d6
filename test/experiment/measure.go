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
	// deadline is the deadline of the calls in the schema.
	deadline = 3 * time.Second
	// avoidanceTime is how long after a fault new requests should avoid the faulty server.
	avoidanceTime = 2 * time.Second
)

// resultRow holds the results of one scenario with one policy and one seed.
type resultRow struct {
	Scenario, Policy string
	Seed             uint64
	Requests         int
	// Attainment is the fraction of all requests that were completed within the deadline.
	Attainment float64
	// OthersAttainment is the attainment of the customers that are not greedy.
	OthersAttainment float64
	// Goodput is the rate per second of requests completed within the deadline, after the
	// warm-up. GoodputBound is the most that capacity and load allow.
	Goodput, GoodputBound float64
	// FirstTokenP95 and InterTokenP95 are 95th percentiles in milliseconds.
	FirstTokenP95, InterTokenP95 float64
	// Refusals counts all refusals, also several of the same request.
	Refusals int
	// RefusalP99 is the 99th percentile of the latency of refusals, in milliseconds.
	RefusalP99 float64
	// ServerSecondsPerGood, TokensPerGood and CrossRegionBytesPerGood are the cost per request
	// that was completed within the deadline.
	ServerSecondsPerGood, TokensPerGood, CrossRegionBytesPerGood float64
	// WastedShare is the fraction of server time spent on requests that were not completed
	// within the deadline.
	WastedShare float64
	// RetriesPerStage and HedgesPerStage count attempts, refused ones included, per executed
	// stage. RepeatedWorkShare is the fraction of server time spent on executions of a stage
	// after its first.
	RetriesPerStage, HedgesPerStage, RepeatedWorkShare float64
	// AttainmentAfterFault is the attainment of requests due avoidanceTime or more after the
	// fault.
	AttainmentAfterFault float64
	// FaultyServerShare is the fraction of generations from that time on that started at the
	// faulty server.
	FaultyServerShare float64
	// RecoverySeconds is the time from the end of a burst until the last request was due that was
	// not completed within the deadline.
	RecoverySeconds float64
	// RetrySuccessShare is the fraction of requests refused at least once that were completed
	// within the deadline of their last attempt.
	RetrySuccessShare float64
	// WrongAnswers counts the complete answers that were wrong.
	WrongAnswers int
	// IncompleteByCode counts the requests that were not completed, by result code.
	IncompleteByCode map[result.Code]int
}

// summary formats the row as a line for the terminal.
func (r resultRow) summary() string {
	return fmt.Sprintf("%-16s %-13s seed %d: n=%d attained %.3f others %.3f goodput %.1f of %.1f first %.0f ms gap %.0f ms refused %d p99 %.0f ms wasted %.3f added %.3f retries %.3f hedges %.3f cross %.0f B after fault %.3f victim %.3f recovery %.1f returned %.2f wrong %d codes %v",
		r.Scenario, r.Policy, r.Seed, r.Requests, r.Attainment, r.OthersAttainment, r.Goodput, r.GoodputBound, r.FirstTokenP95, r.InterTokenP95,
		r.Refusals, r.RefusalP99, r.WastedShare, r.RepeatedWorkShare, r.RetriesPerStage, r.HedgesPerStage, r.CrossRegionBytesPerGood, r.AttainmentAfterFault, r.FaultyServerShare, r.RecoverySeconds, r.RetrySuccessShare, r.WrongAnswers, r.IncompleteByCode)
}

// measurement holds the data of one run, from which the result row is computed.
type measurement struct {
	scenario     scenario
	loadDuration time.Duration
	start        time.Time
	sent         []sentRequest
	faultyServer string
	policy       policy
	// executions are sorted by start.
	executions              []standin.Execution
	costsBefore, costsAfter *burn.Report
}

// onTime tells whether the request got a correct answer within the deadline.
func (s *sentRequest) onTime() bool {
	return s.Outcome.Class == load.Complete && s.Outcome.Defect == "" && s.Outcome.TotalLatency <= deadline
}

// resultRow computes the results.
func (m *measurement) resultRow() resultRow {
	r := resultRow{Requests: len(m.sent)}
	m.computeAttainment(&r)
	m.computeLatencies(&r)
	m.computeServerCost(&r)
	m.computeRetriesAndHedges(&r)
	m.computeRecovery(&r)
	return r
}

// computeAttainment sets attainment, goodput and the counts of wrong and incomplete answers.
func (m *measurement) computeAttainment(r *resultRow) {
	var all, others, afterFault shareCounter
	completed := 0
	r.IncompleteByCode = map[result.Code]int{}
	for i := range m.sent {
		s := &m.sent[i]
		onTime := s.onTime()
		all.add(onTime)
		if s.Request.Customer != m.scenario.greedyCustomer {
			others.add(onTime)
		}
		if m.scenario.fault != "" && s.Request.ScheduledAt >= faultDelay+avoidanceTime {
			afterFault.add(onTime)
		}
		if endTime := s.lastSentAt + s.Outcome.TotalLatency; onTime && endTime >= warmUpTime && endTime < m.loadDuration {
			completed++
		}
		if s.Outcome.Defect != "" {
			r.WrongAnswers++
		}
		if s.Outcome.Class != load.Complete {
			r.IncompleteByCode[s.Outcome.Code]++
		}
	}
	r.Attainment, r.OthersAttainment, r.AttainmentAfterFault = all.share(), others.share(), afterFault.share()
	r.Goodput = float64(completed) / (m.loadDuration - warmUpTime).Seconds()
	r.GoodputBound = min(m.scenario.relativeLoad, 1) * capacity()
}

// shareCounter computes the fraction of elements that match a condition.
type shareCounter struct{ total, matched int }

// add adds one element.
func (c *shareCounter) add(matches bool) {
	c.total++
	if matches {
		c.matched++
	}
}

// share returns the fraction, or 0 without elements.
func (c *shareCounter) share() float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.matched) / float64(c.total)
}

// computeLatencies sets the latencies of tokens and refusals.
func (m *measurement) computeLatencies(r *resultRow) {
	var firstTexts, gaps, refusals []time.Duration
	for i := range m.sent {
		s := &m.sent[i]
		if s.Outcome.Class == load.Complete {
			firstTexts = append(firstTexts, s.Outcome.FirstTextLatency)
			gaps = append(gaps, s.Outcome.ChunkGaps...)
		}
		refusals = append(refusals, s.refusalLatencies...)
	}
	r.FirstTokenP95, r.InterTokenP95 = quantile(firstTexts, 0.95), quantile(gaps, 0.95)
	r.Refusals, r.RefusalP99 = len(refusals), quantile(refusals, 0.99)
}

// quantile returns a quantile in milliseconds, or 0 if there are no values. It sorts the
// values.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))].Seconds() * 1000
}

// computeServerCost sets what the servers spent, from the record of their executions.
func (m *measurement) computeServerCost(r *resultRow) {
	onTimeNonces := map[string]bool{}
	onTimeCount := 0
	for i := range m.sent {
		if m.sent[i].onTime() {
			onTimeNonces[m.sent[i].Request.Nonce] = true
			onTimeCount++
		}
	}
	totalSeconds, wastedSeconds, repeatedSeconds, tokens := 0.0, 0.0, 0.0, 0
	var generations, atFaultyServer int
	executedStages := map[string]bool{}
	for _, e := range m.executions {
		seconds := executionSeconds(e)
		totalSeconds += seconds
		tokens += e.Tokens
		if !onTimeNonces[e.Nonce] {
			wastedSeconds += seconds
		}
		if stage := stagePrefix(e.ID); executedStages[stage] {
			repeatedSeconds += seconds
		} else {
			executedStages[stage] = true
		}
		if e.Call == "generate" && e.Start.Sub(m.start) >= faultDelay+avoidanceTime && e.Start.Sub(m.start) < m.loadDuration {
			generations++
			if e.Server == m.faultyServer {
				atFaultyServer++
			}
		}
	}
	if onTimeCount > 0 {
		r.ServerSecondsPerGood, r.TokensPerGood = totalSeconds/float64(onTimeCount), float64(tokens)/float64(onTimeCount)
		r.CrossRegionBytesPerGood = crossRegionBytes(m.costsBefore, m.costsAfter) / float64(onTimeCount)
	}
	if totalSeconds > 0 {
		r.WastedShare, r.RepeatedWorkShare = wastedSeconds/totalSeconds, repeatedSeconds/totalSeconds
	}
	if generations > 0 && m.scenario.fault != "" {
		r.FaultyServerShare = float64(atFaultyServer) / float64(generations)
	}
}

// executionSeconds returns the duration of an execution, or 0 if it has not ended.
func executionSeconds(e standin.Execution) float64 {
	if e.End.IsZero() {
		return 0
	}
	return e.End.Sub(e.Start).Seconds()
}

// stagePrefix returns the part of an execution's ID that names the request and the stage.
func stagePrefix(id string) string { return id[:strings.LastIndex(id, "/")] }

// crossRegionBytes returns the bytes sent between regions from one report to the other.
func crossRegionBytes(before, after *burn.Report) float64 {
	sum := func(r *burn.Report) (n uint64) {
		for i := range r.Stages {
			n += r.Stages[i].CrossRegionBytes
		}
		return n
	}
	return float64(sum(after) - sum(before))
}

// computeRetriesAndHedges sets retries and hedges per stage, from the growth of the cost
// reports.
func (m *measurement) computeRetriesAndHedges(r *resultRow) {
	sum := func(rep *burn.Report) (requests, attempts, hedges float64) {
		for i := range rep.Stages {
			s := &rep.Stages[i]
			requests += float64(s.Requests)
			attempts += float64(s.Attempts)
			hedges += float64(s.Hedges)
		}
		return requests, attempts, hedges
	}
	requestsBefore, attemptsBefore, hedgesBefore := sum(m.costsBefore)
	requestsAfter, attemptsAfter, hedgesAfter := sum(m.costsAfter)
	if stageRequests := requestsAfter - requestsBefore; stageRequests > 0 {
		r.HedgesPerStage = (hedgesAfter - hedgesBefore) / stageRequests
		r.RetriesPerStage = (attemptsAfter-attemptsBefore-stageRequests)/stageRequests - r.HedgesPerStage
	}
}

// computeRecovery sets the results that concern the end of a burst.
func (m *measurement) computeRecovery(r *resultRow) {
	if !m.scenario.burst {
		return
	}
	burstEnd := m.loadDuration / 2
	var retried shareCounter
	for i := range m.sent {
		s := &m.sent[i]
		if s.Request.ScheduledAt >= burstEnd && !s.onTime() {
			r.RecoverySeconds = max(r.RecoverySeconds, (s.Request.ScheduledAt - burstEnd).Seconds())
		}
		if len(s.refusalLatencies) > 0 {
			retried.add(s.onTime())
		}
	}
	r.RetrySuccessShare = retried.share()
}

// executionsOfRun returns the executions whose nonce has the prefix of the run.
func executionsOfRun(executions []standin.Execution, noncePrefix string) []standin.Execution {
	var selected []standin.Execution
	for _, e := range executions {
		if strings.HasPrefix(e.Nonce, noncePrefix+"-") {
			selected = append(selected, e)
		}
	}
	return selected
}

// fetchCosts fetches the report of one entry from its admin API.
func fetchCosts(ctx context.Context, adminURL string) (*burn.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, adminURL+report.Path, nil)
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
		return nil, fmt.Errorf("unexpected status %s", resp.Status)
	}
	r := &burn.Report{}
	return r, json.NewDecoder(resp.Body).Decode(r)
}
