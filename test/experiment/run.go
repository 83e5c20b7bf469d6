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
	// drainTime is the time after the last outcome in which servers end their work.
	drainTime = 500 * time.Millisecond
	// settleTime is the further time after a fault was taken back.
	settleTime = 500 * time.Millisecond
	// returnsMost bounds how often a refused caller comes back.
	returnsMost = 10
	slowFactor  = 10
	// refusals is the first of the result codes of refusals.
	refusals = 2000
)

// sent is one request with its last outcome.
type sent struct {
	load.Request
	load.Outcome
	// tries counts the times it was sent; last is when it was sent last, since the
	// start of the load.
	tries int
	last  time.Duration
	// refusals are the latencies of its refusals.
	refusals []time.Duration
}

// run runs one cell with one policy.
func (b *bench) run(ctx context.Context, c cell, name string, seed uint64, quick bool) (row, error) {
	span := loadTime
	if quick {
		span = quickLoadTime
	}
	b.runs++
	p := policies[slices.IndexFunc(policies, func(p policy) bool { return p.name == name })]
	d := b.deployments[p.queue]
	entries := d.entries(name)
	run := fmt.Sprintf("x%03d", b.runs)
	requests := c.trace(seed, span).Requests(run)
	before, err := burnOf(ctx, entries)
	if err != nil {
		return row{}, err
	}
	// The faulty server changes, so that one run does not burden the next.
	victim := fmt.Sprintf("engines-%d", b.runs%engines+1)
	caller := load.NewCaller(callers(entries))
	defer caller.Close()
	started := time.Now()
	ended := make(chan struct{})
	faults := make(chan error, 1)
	go func() { faults <- d.breakServer(ctx, c.fault, victim, ended) }()
	out := send(ctx, caller, requests, c.burst)
	close(ended)
	if err := <-faults; err != nil {
		return row{}, err
	}
	if err := sleep(ctx, drainTime); err != nil {
		return row{}, err
	}
	after, err := burnOf(ctx, entries)
	if err != nil {
		return row{}, err
	}
	executions, err := d.Executions()
	if err != nil {
		return row{}, err
	}
	m := measure{
		cell: c, span: span, started: started, sent: out, victim: victim, policy: p,
		executions: ofRun(executions, run), before: before, after: after,
	}
	r := m.row()
	r.Cell, r.Policy, r.Seed = c.name, name, seed
	if c.fault != noFault && c.fault != "" {
		err = sleep(ctx, settleTime)
	}
	return r, err
}

func callers(entries []*harness.Instance) []string {
	var urls []string
	for _, e := range entries {
		urls = append(urls, e.CallerURL)
	}
	return urls
}

// breakServer makes a server faulty from shortly after the start until all
// requests ended.
func (d *deployment) breakServer(ctx context.Context, f fault, victim string, ended <-chan struct{}) error {
	if f == "" || f == noFault {
		return nil
	}
	if err := sleep(ctx, faultAfter); err != nil {
		return err
	}
	var err error
	switch f {
	case slow:
		err = d.Control(victim, map[string]any{"slow": slowFactor})
	case failing:
		err = d.Control(victim, map[string]any{"fail": true})
	case silent, zoneCut:
		for _, a := range d.silenced(f, victim) {
			err = errors.Join(err, a.Freeze())
		}
	}
	if err != nil {
		return err
	}
	<-ended
	if f == slow || f == failing {
		return d.Control(victim, map[string]any{"reset": true})
	}
	for _, a := range d.silenced(f, victim) {
		err = errors.Join(err, a.Resume())
	}
	return err
}

// silenced returns the agents that a fault silences.
func (d *deployment) silenced(f fault, victim string) []*harness.Instance {
	agent := d.Agent(victim)
	if f == silent {
		return []*harness.Instance{agent}
	}
	var out []*harness.Instance
	for _, a := range d.Agents {
		if a.Server.Zone == agent.Server.Zone {
			out = append(out, a)
		}
	}
	return out
}

// send sends each request when it is due. With returns, refused callers come
// back when they were told to.
func send(ctx context.Context, caller *load.Caller, requests []load.Request, returns bool) []sent {
	out := make([]sent, len(requests))
	start := time.Now()
	var wg sync.WaitGroup
	for i := range requests {
		if sleep(ctx, time.Until(start.Add(requests[i].ScheduledAt))) != nil {
			out = out[:i]
			break
		}
		wg.Go(func() { out[i] = sendOne(ctx, caller, requests[i], i, start, returns) })
	}
	wg.Wait()
	return out
}

func sendOne(ctx context.Context, caller *load.Caller, req load.Request, i int, start time.Time, returns bool) sent {
	s := sent{Request: req}
	due := start.Add(req.ScheduledAt)
	for {
		s.tries++
		s.last = due.Sub(start)
		s.Outcome = caller.Do(ctx, req, i, due)
		if s.Outcome.Class != load.Refused || s.Outcome.Code < refusals || s.Outcome.Code >= refusals+1000 {
			return s
		}
		s.refusals = append(s.refusals, s.Outcome.TotalLatency)
		if !returns || s.Outcome.RetryAfter <= 0 || s.tries >= returnsMost {
			return s
		}
		due = time.Now().Add(s.Outcome.RetryAfter)
		if sleep(ctx, time.Until(due)) != nil {
			return s
		}
	}
}

func burnOf(ctx context.Context, entries []*harness.Instance) (*burn.Report, error) {
	var reports []*burn.Report
	for _, e := range entries {
		r, err := fetchBurn(ctx, e.AdminURL)
		if err != nil {
			return nil, fmt.Errorf("burn of %s: %w", e.ID, err)
		}
		reports = append(reports, r)
	}
	return burn.Merge(reports...), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
