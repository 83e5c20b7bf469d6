package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/burn"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

const (
	// drainTime is how long servers get after the last outcome to finish their work.
	drainTime = 500 * time.Millisecond
	// settleTime is the additional pause after a fault was removed.
	settleTime = 500 * time.Millisecond
	// maxAttempts limits how often a request is sent, the first time included.
	maxAttempts = 10
	// slowdownFactor multiplies the processing times of a slow server.
	slowdownFactor = 10
	// firstRefusalCode is the lowest of the 1000 result codes for refusals.
	firstRefusalCode = 2000
)

// sentRequest is a request with the outcome of its last attempt.
type sentRequest struct {
	load.Request
	load.Outcome
	// attempts counts how often the request was sent. lastSentAt is when it was last due, from
	// the start of the load.
	attempts   int
	lastSentAt time.Duration
	// refusalLatencies holds the latency of each refusal of the request.
	refusalLatencies []time.Duration
}

// run runs one scenario with one policy and returns its results.
func (b *testbed) run(ctx context.Context, s scenario, policyName string, seed uint64, quick bool) (resultRow, error) {
	duration := loadDuration
	if quick {
		duration = quickLoadDuration
	}
	b.runCount++
	p := policies[slices.IndexFunc(policies, func(p policy) bool { return p.name == policyName })]
	d := b.deployments[p.agentQueue]
	entries := d.entries(policyName)
	noncePrefix := fmt.Sprintf("x%03d", b.runCount)
	requests := s.trace(seed, duration).Requests(noncePrefix)
	costsBefore, err := fetchMergedCosts(ctx, entries)
	if err != nil {
		return resultRow{}, err
	}
	// The faulty server changes, so that a run does not affect the next one.
	faultyServer := fmt.Sprintf("engines-%d", b.runCount%engineCount+1)
	caller := load.NewCaller(callerURLs(entries))
	defer caller.Close()
	start := time.Now()
	requestsDone := make(chan struct{})
	faultErr := make(chan error, 1)
	go func() { faultErr <- d.injectFault(ctx, s.fault, faultyServer, requestsDone) }()
	sent := sendAll(ctx, caller, requests, s.burst)
	close(requestsDone)
	if err := <-faultErr; err != nil {
		return resultRow{}, err
	}
	if err := sleep(ctx, drainTime); err != nil {
		return resultRow{}, err
	}
	costsAfter, err := fetchMergedCosts(ctx, entries)
	if err != nil {
		return resultRow{}, err
	}
	executions, err := d.Executions()
	if err != nil {
		return resultRow{}, err
	}
	m := measurement{
		scenario: s, loadDuration: duration, start: start, sent: sent, faultyServer: faultyServer, policy: p,
		executions: executionsOfRun(executions, noncePrefix), costsBefore: costsBefore, costsAfter: costsAfter,
	}
	r := m.resultRow()
	r.Scenario, r.Policy, r.Seed = s.name, policyName, seed
	if s.fault != noFault && s.fault != "" {
		err = sleep(ctx, settleTime)
	}
	return r, err
}

// callerURLs returns the URLs at which the entries accept requests of callers.
func callerURLs(entries []*harness.Instance) []string {
	var urls []string
	for _, e := range entries {
		urls = append(urls, e.CallerURL)
	}
	return urls
}

// injectFault starts the fault shortly after the start of the load and removes it when
// requestsDone is closed.
func (d *deployment) injectFault(ctx context.Context, f fault, faultyServer string, requestsDone <-chan struct{}) error {
	if f == "" || f == noFault {
		return nil
	}
	if err := sleep(ctx, faultDelay); err != nil {
		return err
	}
	var err error
	switch f {
	case slowServer:
		err = d.Control(faultyServer, map[string]any{"slow": slowdownFactor})
	case failingServer:
		err = d.Control(faultyServer, map[string]any{"fail": true})
	case frozenAgent, frozenZone:
		for _, a := range d.agentsToFreeze(f, faultyServer) {
			err = errors.Join(err, a.Freeze())
		}
	}
	if err != nil {
		return err
	}
	<-requestsDone
	if f == slowServer || f == failingServer {
		return d.Control(faultyServer, map[string]any{"reset": true})
	}
	for _, a := range d.agentsToFreeze(f, faultyServer) {
		err = errors.Join(err, a.Resume())
	}
	return err
}

// agentsToFreeze returns the agents that the fault freezes: that of the faulty server, or all
// in its zone.
func (d *deployment) agentsToFreeze(f fault, faultyServer string) []*harness.Instance {
	agent := d.Agent(faultyServer)
	if f == frozenAgent {
		return []*harness.Instance{agent}
	}
	var agents []*harness.Instance
	for _, a := range d.Agents {
		if a.Server.Zone == agent.Server.Zone {
			agents = append(agents, a)
		}
	}
	return agents
}

// sendAll sends each request when it is due and waits for all outcomes. With retryRefused,
// refused requests are sent again after the delay that the refusal asks for.
func sendAll(ctx context.Context, caller *load.Caller, requests []load.Request, retryRefused bool) []sentRequest {
	sent := make([]sentRequest, len(requests))
	start := time.Now()
	var wg sync.WaitGroup
	for i := range requests {
		if sleep(ctx, time.Until(start.Add(requests[i].ScheduledAt))) != nil {
			sent = sent[:i]
			break
		}
		wg.Go(func() { sent[i] = sendUntilSettled(ctx, caller, requests[i], i, start, retryRefused) })
	}
	wg.Wait()
	return sent
}

// sendUntilSettled sends one request to the entry with index i. With retryRefused it repeats
// the request while it is refused with a delay to retry after.
func sendUntilSettled(ctx context.Context, caller *load.Caller, req load.Request, i int, start time.Time, retryRefused bool) sentRequest {
	s := sentRequest{Request: req}
	due := start.Add(req.ScheduledAt)
	for {
		s.attempts++
		s.lastSentAt = due.Sub(start)
		s.Outcome = caller.Do(ctx, req, i, due)
		if s.Outcome.Class != load.Refused || s.Outcome.Code < firstRefusalCode || s.Outcome.Code >= firstRefusalCode+1000 {
			return s
		}
		s.refusalLatencies = append(s.refusalLatencies, s.Outcome.TotalLatency)
		if !retryRefused || s.Outcome.RetryAfter <= 0 || s.attempts >= maxAttempts {
			return s
		}
		due = time.Now().Add(s.Outcome.RetryAfter)
		if sleep(ctx, time.Until(due)) != nil {
			return s
		}
	}
}

// fetchMergedCosts returns the merged reports of the entries.
func fetchMergedCosts(ctx context.Context, entries []*harness.Instance) (*burn.Report, error) {
	var reports []*burn.Report
	for _, e := range entries {
		r, err := fetchCosts(ctx, e.AdminURL)
		if err != nil {
			return nil, fmt.Errorf("fetch the cost report of %s: %w", e.ID, err)
		}
		reports = append(reports, r)
	}
	return burn.Merge(reports...), nil
}

// sleep waits for d, or returns an error when ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
