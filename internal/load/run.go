package load

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Progress is the state of a running load.
type Progress struct {
	Sent, Finished, Total int
}

// Options sets up a load.
type Options struct {
	Caller   *Caller
	Requests []Request
	// OnOutcome is called for each outcome as it comes, from many goroutines.
	OnOutcome func(Outcome)
	// OnProgress is called every second; it may be nil.
	OnProgress func(Progress)
}

const progressInterval = time.Second

// Run sends each request when it is due, however many are in flight, and returns
// all outcomes in the order of the requests.
func Run(ctx context.Context, o Options) []Outcome {
	outcomes := make([]Outcome, len(o.Requests))
	var sent, finished atomic.Int64
	var wg sync.WaitGroup
	stop := o.reportProgress(&sent, &finished)
	start := time.Now()
	for i, req := range o.Requests {
		if !waitUntil(ctx, start.Add(req.At)) {
			outcomes = outcomes[:i]
			break
		}
		sent.Add(1)
		wg.Add(1)
		go func() {
			defer wg.Done()
			out := o.Caller.Do(ctx, req, i, start.Add(req.At))
			verify(&out)
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

func (o Options) reportProgress(sent, finished *atomic.Int64) (stop func()) {
	if o.OnProgress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				o.OnProgress(Progress{Sent: int(sent.Load()), Finished: int(finished.Load()), Total: len(o.Requests)})
			case <-done:
				return
			}
		}
	}()
	return func() {
		close(done)
		wg.Wait()
	}
}

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

// verify checks that every part of a complete answer carries the request's nonce.
func verify(out *Outcome) {
	if out.Class != Complete || out.Wrong != "" {
		return
	}
	if len(out.Texts) == 0 {
		out.Wrong = "empty answer"
	}
	for stage, text := range out.Texts {
		if !strings.Contains(text, out.Nonce) {
			out.Wrong = "stage " + stage + " does not carry the request's nonce"
		}
	}
}
