package load

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Progress counts the requests of a running load.
type Progress struct {
	Sent, Finished, Total int
}

// Options configures a load.
type Options struct {
	Caller   *Caller
	Requests []Request
	// OnOutcome is called with each outcome when its request ends, from several
	// goroutines at a time; it may be nil.
	OnOutcome func(Outcome)
	// OnProgress is called every second while the load runs; it may be nil.
	OnProgress func(Progress)
}

const progressInterval = time.Second

// Run sends each request at its scheduled time, regardless of how many are in flight,
// and returns the outcomes in the order of the requests. If ctx ends, the requests that
// were not sent have no outcomes.
func Run(ctx context.Context, o Options) []Outcome {
	outcomes := make([]Outcome, len(o.Requests))
	var sent, finished atomic.Int64
	var wg sync.WaitGroup
	stop := o.startProgressReports(&sent, &finished)
	start := time.Now()
	for i, req := range o.Requests {
		if !waitUntil(ctx, start.Add(req.ScheduledAt)) {
			outcomes = outcomes[:i]
			break
		}
		sent.Add(1)
		wg.Add(1)
		go func() {
			defer wg.Done()
			out := o.Caller.Do(ctx, req, i, start.Add(req.ScheduledAt))
			verifyNonce(&out)
			outcomes[i] = out
			finished.Add(1)
			if o.OnOutcome != nil {
				o.OnOutcome(out)
			}
		}()
	}
	wg.Wait()
	stop()
	return outcomes
}

// startProgressReports calls OnProgress periodically until stop is called.
func (o Options) startProgressReports(sent, finished *atomic.Int64) (stop func()) {
	if o.OnProgress == nil {
		return func() {}
	}
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				o.OnProgress(Progress{Sent: int(sent.Load()), Finished: int(finished.Load()), Total: len(o.Requests)})
			case <-stopped:
				return
			}
		}
	}()
	return func() {
		close(stopped)
		wg.Wait()
	}
}

// waitUntil waits until t; it returns false if ctx ends first.
func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// verifyNonce checks that each stage's text of a complete answer contains the request's
// nonce, so that it is not the answer to another request.
func verifyNonce(out *Outcome) {
	if out.Class != Complete || out.Defect != "" {
		return
	}
	if len(out.Texts) == 0 {
		out.Defect = "empty answer"
	}
	for stage, text := range out.Texts {
		if !strings.Contains(text, out.Nonce) {
			out.Defect = "the text of stage " + stage + " does not contain the request's nonce"
		}
	}
}
