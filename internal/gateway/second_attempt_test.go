package gateway

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// emptyConfig is a configuration without routes.
type emptyConfig struct{ noConfig }

func (emptyConfig) Table() *routes.Table { return &routes.Table{} }

// twoServers are the servers of each service.
type twoServers struct{ Servers }

func (twoServers) Usable(string) []platform.Server { return []platform.Server{{ID: "s1"}, {ID: "s2"}} }
func (twoServers) Zone(string) string              { return "" }

// watchRequest returns the watch of the first attempt at a stream in a service of its own, and the
// time from which its first event is overdue.
func watchRequest(g *Gateway, service string) (*attemptWatch, context.Context, time.Duration) {
	now := clock.Now()
	req := &request{
		service: service, route: &routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 2}, residency: residency.Unrestricted(),
		objectiveDeadline: now + 5*time.Second, deadline: now + 20*time.Second, log: logr.Discard(),
	}
	g.countRequest(service)
	s := &streamRequest{gateway: g, req: req, relay: &relay{}}
	w, ctx := s.watchAttempt(context.Background(), &planner.Placement{Server: "s1", ExpectedFirstEvent: time.Millisecond}, notice.Server{ID: "s1"})
	w.mu.Lock()
	defer w.mu.Unlock()
	return w, ctx, w.decision.OverdueAfter
}

// bodyAt returns its first byte, or its end, at a time, whether or not the attempt is cancelled.
type bodyAt struct {
	at  time.Time
	err error
}

func (b bodyAt) Read(p []byte) (int, error) {
	time.Sleep(time.Until(b.at))
	if b.err != nil {
		return 0, b.err
	}
	return copy(p, "x"), nil
}

func (bodyAt) Close() error { return nil }

// TestResponseAndCancellationExcludeEachOther guards against a response that begins while its
// attempt is given up: if it reached the client, two servers would answer, and if a response
// that was kept were cancelled, none would.
func TestResponseAndCancellationExcludeEachOther(t *testing.T) {
	const rounds, spread = 200, 20 * time.Millisecond
	g := New(Options{
		Config: emptyConfig{}, Servers: twoServers{}, Log: logr.Discard(), Scope: tally.NoopScope,
		Settings: &platform.Settings{RetryBudget: platform.RetryBudget{Ratio: 100, Window: 10 * time.Second}},
	})
	var kept, cancelled atomic.Int64
	var wg sync.WaitGroup
	for i := range rounds {
		wg.Go(func() {
			w, ctx, overdueAfter := watchRequest(g, fmt.Sprint("service", i))
			defer w.close()
			response := bodyAt{at: time.Now().Add(overdueAfter + spread*time.Duration(i-rounds/2)/rounds)}
			if i%2 == 1 {
				response.err = io.EOF
			}
			n, err := w.body(response).Read(make([]byte, 1))
			time.Sleep(2 * spread)
			if err == errAttemptCancelled {
				cancelled.Add(1)
				assert.Check(t, n == 0 && ctx.Err() != nil && w.end())
				return
			}
			kept.Add(1)
			assert.Check(t, err == response.err && ctx.Err() == nil && !w.end())
		})
	}
	wg.Wait()
	t.Log("kept:", kept.Load(), "cancelled:", cancelled.Load())
	assert.Assert(t, kept.Load() > 0 && cancelled.Load() > 0)
}
