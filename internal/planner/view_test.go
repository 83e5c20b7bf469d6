package planner

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/core/streamversion"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// fakeView is a View whose confirmations the test gives.
type fakeView struct {
	// asked receives a value with each call of Confirm, which returns what answers has.
	asked   chan struct{}
	answers chan error
}

func (v *fakeView) Age() time.Duration { return time.Second }

// Confirm implements View.
func (v *fakeView) Confirm(ctx context.Context) error {
	v.asked <- struct{}{}
	select {
	case err := <-v.answers:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newViewedPlanner returns a planner that knows a server of v1 and has seen no other version.
func newViewedPlanner(scope tally.Scope) (*Planner, *fakeView) {
	p := New(nil, nil, logr.Discard())
	p.SetScope(scope)
	v := &fakeView{asked: make(chan struct{}, 10), answers: make(chan error, 1)}
	p.SetView(v)
	p.ObservedFromStart()
	p.SetPools([]Pool{{Name: "m", HasResumableStreams: true, ModelServers: []placement.Server{{ID: "m1", SoftwareVersion: "v1"}}}})
	return p, v
}

// resume places a request that continues the stream "s".
func (p *Planner) resume(local bool) chan Placement {
	placed := make(chan Placement, 2)
	p.Place(Request{
		ID: "r", Pool: "m", TimeToObjective: time.Minute, TimeToDeadline: time.Minute, ResumableFor: time.Minute, Resume: &Resume{Stream: "s"}, Residency: residency.Unrestricted(),
	}, Callbacks{OnPlacement: func(a Placement) { placed <- a }, OnResultChanges: func([]staging.ResultLocation) {}, Local: local})
	return placed
}

func (p *Planner) streamBegan(version string) {
	p.StreamBegan(streamversion.Record{Stream: "s", Version: version, Until: clock.Now() + time.Minute}, false, false)
}

// TestResumedStreamWaitsForAConfirmationOnlyIfItMust guards against a stream that goes on by an old
// view of the servers, and against known streams that are held up or refused for its sake.
func TestResumedStreamWaitsForAConfirmationOnlyIfItMust(t *testing.T) {
	failure := errors.New("no store")
	tests := []struct {
		name string
		// before happens before the request, meanwhile while it waits.
		before, meanwhile func(p *Planner, v *fakeView)
		failure           error
		asks              int
		want              staging.RefusalReason
	}{
		{"unknown", nil, nil, nil, 1, 0},
		{"unknown, not confirmed", nil, nil, failure, 1, VersionUnknown},
		{"unknown, another version was seen", nil, func(p *Planner, _ *fakeView) { p.VersionsSeen(map[string][]string{"m": {"v2"}}) }, nil, 1, VersionUnknown},
		{"unknown, told meanwhile", nil, func(p *Planner, _ *fakeView) { p.streamBegan("v1") }, failure, 1, 0},
		{"unknown, told another version meanwhile", nil, func(p *Planner, _ *fakeView) { p.streamBegan("v2") }, nil, 1, VersionGone},
		{"unknown among several versions", func(p *Planner, _ *fakeView) { p.VersionsSeen(map[string][]string{"m": {"v2"}}) }, nil, nil, 0, VersionUnknown},
		{"known", func(p *Planner, _ *fakeView) { p.streamBegan("v1") }, nil, nil, 1, 0},
		{"known, not confirmed", func(p *Planner, _ *fakeView) { p.streamBegan("v1") }, nil, failure, 1, 0},
		{"known, its server started again as another version", func(p *Planner, _ *fakeView) { p.streamBegan("v1") }, func(p *Planner, _ *fakeView) {
			p.SetPools([]Pool{{Name: "m", HasResumableStreams: true, ModelServers: []placement.Server{{ID: "m1", SoftwareVersion: "v2"}}}})
		}, nil, 1, VersionGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			p, v := newViewedPlanner(scope)
			if tt.before != nil {
				tt.before(p, v)
			}
			placed := p.resume(true)
			if tt.asks > 0 {
				<-v.asked
				if tt.meanwhile != nil {
					tt.meanwhile(p, v)
				}
				v.answers <- tt.failure
			}
			got := <-placed
			assert.Equal(t, got.RefusalReason, tt.want)
			assert.Equal(t, got.RetryAfter > 0, tt.want != 0)
			assert.Equal(t, len(v.asked), 0)
			counted := int64(0)
			for _, c := range scope.Snapshot().Counters() {
				if c.Name() == "server_views_checked" {
					counted += c.Value()
				}
			}
			assert.Equal(t, counted, int64(tt.asks))
		})
	}
}

// TestUnknownStreamIsRefusedOnceTheConfirmationIsOverdue guards against a request that waits for a
// store that does not answer.
func TestUnknownStreamIsRefusedOnceTheConfirmationIsOverdue(t *testing.T) {
	p, _ := newViewedPlanner(tally.NoopScope)
	began := clock.Now()
	assert.Equal(t, (<-p.resume(true)).RefusalReason, VersionUnknown)
	took := clock.Now() - began
	assert.Assert(t, took >= unknownStreamConfirmation && took < 2*unknownStreamConfirmation, "%v", took)
}

// TestRequestThatWaitsForAConfirmationCanEnd guards against a request that is answered twice, or
// placed after it was cancelled or handed over, once the confirmation arrives.
func TestRequestThatWaitsForAConfirmationCanEnd(t *testing.T) {
	tests := []struct {
		name string
		end  func(p *Planner)
		want []staging.RefusalReason
	}{
		{"handed over", (*Planner).HandOver, []staging.RefusalReason{HandedOver}},
		{"planner stops", (*Planner).Stop, []staging.RefusalReason{HandedOver}},
		{"cancelled", func(p *Planner) { p.UpdateProgress("r", Progress{Phase: Cancelled}) }, nil},
		{"entry lost", func(p *Planner) { p.Abandon("r") }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, v := newViewedPlanner(tally.NoopScope)
			placed := p.resume(false)
			<-v.asked
			tt.end(p)
			v.answers <- nil
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, len(placed), len(tt.want))
			for _, want := range tt.want {
				assert.Equal(t, (<-placed).RefusalReason, want)
			}
			assert.Equal(t, p.JobCount(), 0)
		})
	}
}

// freeRecorder is a StageCaller that passes on which results are freed.
type freeRecorder struct {
	StageCaller
	freed chan staging.FreeRequest
}

// Free implements StageCaller.
func (r *freeRecorder) Free(_ context.Context, f staging.FreeRequest) (time.Duration, error) {
	r.freed <- f
	return 0, nil
}

// TestResultsOfARequestThatEndsBeforeItsConfirmationAreFreed guards against stage results that their
// servers keep for a stream whose client left while it waited for a confirmation.
func TestResultsOfARequestThatEndsBeforeItsConfirmationAreFreed(t *testing.T) {
	p, v := newViewedPlanner(tally.NoopScope)
	stages := &freeRecorder{freed: make(chan staging.FreeRequest, 1)}
	p.stages = stages
	p.SetPools([]Pool{{Name: "st", StageSpec: &staging.PoolSpec{Slots: 1, BatchSize: 1, MemoryBytes: 1 << 20, ResultRetention: time.Minute}, StageServers: []staging.Server{{ID: "s1"}}}})
	p.Place(Request{
		ID: "r", Pool: "m", TimeToObjective: time.Minute, TimeToDeadline: time.Minute, ResumableFor: time.Minute, Resume: &Resume{Stream: "s"}, Residency: residency.Unrestricted(),
		PriorResults: []staging.ResultLocation{{ServerID: "s1", Handle: "h"}},
	}, Callbacks{OnPlacement: func(Placement) {}, OnResultChanges: func([]staging.ResultLocation) {}})
	<-v.asked
	p.UpdateProgress("r", Progress{Phase: Cancelled})
	go p.Run(t.Context())
	select {
	case f := <-stages.freed:
		assert.DeepEqual(t, f.Handles, []string{"h"})
	case <-time.After(2 * time.Second):
		t.Fatal("not freed")
	}
}
