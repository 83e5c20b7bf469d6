package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/core/streamversion"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// TestStreamIsPlacedAtItsVersionOrRefusedAtOnce guards against a stream that goes on at
// another software version, and against stages that run for one that cannot go on.
func TestStreamIsPlacedAtItsVersionOrRefusedAtOnce(t *testing.T) {
	v1, v2, v3 := "v1", "v2", "v3"
	tests := []struct {
		name string
		// recorded is the version that the planner recorded for the stream.
		recorded   *string
		resume     *Resume
		avoid      []string
		wantServer string
		wantReason staging.RefusalReason
	}{
		{"new stream", nil, nil, nil, "m1", 0},
		{"version told by the entry", nil, &Resume{Stream: "s", Version: &v2}, nil, "m2", 0},
		{"version known here", &v2, &Resume{Stream: "s"}, nil, "m2", 0},
		{"entry knows better", &v1, &Resume{Stream: "s", Version: &v2}, nil, "m2", 0},
		{"not known", nil, &Resume{Stream: "s"}, nil, "", VersionUnknown},
		{"no server of the version", nil, &Resume{Stream: "s", Version: &v3}, nil, "", VersionGone},
		{"its only server failed", nil, &Resume{Stream: "s", Version: &v2}, []string{"m2"}, "", VersionGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stages := &hangingFirstCall{calls: make(chan string, 10)}
			p := New(stages, nil, logr.Discard())
			p.SetPools([]Pool{
				{Name: "a", StageSpec: &staging.PoolSpec{Slots: 1, BatchSize: 1, CallOverhead: time.Millisecond, MemoryBytes: 1 << 20}, StageServers: []staging.Server{{ID: "a1"}}},
				{Name: "m", ModelServers: []placement.Server{{ID: "m1", SoftwareVersion: v1}, {ID: "m2", SoftwareVersion: v2}}},
			})
			if tt.recorded != nil {
				p.StreamBegan(streamversion.Record{Stream: "s", Version: *tt.recorded, Until: clock.Now() + time.Minute}, false)
			}
			ctx := t.Context()
			go p.Run(ctx)
			placed := make(chan Placement, 1)
			p.Place(Request{
				ID: "r", Stages: []staging.Stage{{Pool: "a", Pieces: 1, ResultBytes: 1}}, TimeToObjective: time.Minute, TimeToDeadline: time.Minute,
				Pool: "m", Avoid: tt.avoid, Resume: tt.resume, Residency: residency.Unrestricted(),
			}, Callbacks{OnPlacement: func(a Placement) { placed <- a }, OnResultChanges: func([]staging.ResultLocation) {}})
			got := <-placed
			assert.Equal(t, got.Server, tt.wantServer)
			assert.Equal(t, got.RefusalReason, tt.wantReason)
			if tt.wantReason != 0 {
				assert.Equal(t, len(stages.calls), 0, "a stage ran")
				assert.Assert(t, got.RetryAfter > 0)
			}
		})
	}
}

// TestPlannerThatStartsContinuesUnknownStreamsOnlyByTheStore guards against a stream that goes
// on at the only version that a planner has seen since its start, while the stored versions
// say that an earlier one may have begun it.
func TestPlannerThatStartsContinuesUnknownStreamsOnlyByTheStore(t *testing.T) {
	tests := []struct {
		name   string
		stored []streamversion.StoredVersions
		want   string
	}{
		{"store not read", nil, ""},
		{"store without a record", []streamversion.StoredVersions{}, ""},
		{"earlier version stored", []streamversion.StoredVersions{{Pool: "m", Versions: []string{"v1", "v2"}}}, ""},
		{"only this version stored", []streamversion.StoredVersions{{Pool: "m", Versions: []string{"v2"}}}, "m1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New(nil, nil, logr.Discard())
			p.SetPools([]Pool{{Name: "m", HasResumableStreams: true, ModelServers: []placement.Server{{ID: "m1", SoftwareVersion: "v2"}}}})
			if tt.stored != nil {
				p.LearnVersions(tt.stored, 0)
			}
			placed := make(chan Placement, 1)
			p.Place(Request{
				ID: "r", Pool: "m", TimeToObjective: time.Minute, TimeToDeadline: time.Minute, ResumableFor: time.Minute, Resume: &Resume{Stream: "s"}, Residency: residency.Unrestricted(),
			}, Callbacks{OnPlacement: func(a Placement) { placed <- a }, OnResultChanges: func([]staging.ResultLocation) {}})
			got := <-placed
			assert.Equal(t, got.Server, tt.want)
			if tt.want == "" {
				assert.Equal(t, got.RefusalReason, VersionUnknown)
				assert.Assert(t, got.RetryAfter > 0)
			}
		})
	}
}

// TestServersOfANewVersionBeginNoStreamsUntilItIsStored guards against a stream of a version
// that no later process can know.
func TestServersOfANewVersionBeginNoStreamsUntilItIsStored(t *testing.T) {
	p := New(nil, nil, logr.Discard())
	p.ObservedFromStart()
	due := 0
	p.OnVersionsDue(func() { due++ })
	setVersions := func(versions ...string) {
		pool := Pool{Name: "m", HasResumableStreams: true}
		for _, v := range versions {
			pool.ModelServers = append(pool.ModelServers, placement.Server{ID: v, SoftwareVersion: v})
		}
		p.SetPools([]Pool{pool})
	}
	place := func() string {
		placed := make(chan Placement, 1)
		p.Place(Request{ID: "r", Pool: "m", Avoid: []string{"v1"}, TimeToObjective: time.Minute, TimeToDeadline: time.Minute, Residency: residency.Unrestricted()},
			Callbacks{OnPlacement: func(a Placement) { placed <- a }, OnResultChanges: func([]staging.ResultLocation) {}})
		return (<-placed).Server
	}
	setVersions("v1")
	assert.Equal(t, due, 1)
	p.VersionsStored(p.VersionsDue(0)[0])
	setVersions("v1", "v2")
	assert.Equal(t, due, 2)
	assert.Equal(t, place(), "")
	p.VersionsStored(p.VersionsDue(0)[0])
	setVersions("v1", "v2")
	assert.Equal(t, place(), "v2")
	setVersions("v3")
	p.removePending("r")
	assert.Equal(t, place(), "v3", "servers of no other version are there")
}

// TestVersionIsRecordedWithThePlacement guards against a stream whose version is lost with the
// entry that serves it: the first event may reach the client before any record of the
// version has left the entry. The placing entry knows the version before that.
func TestVersionIsRecordedWithThePlacement(t *testing.T) {
	for _, local := range []bool{true, false} {
		p := New(nil, nil, logr.Discard())
		p.ObservedFromStart()
		p.SetPools([]Pool{{Name: "m", HasResumableStreams: true, ModelServers: []placement.Server{{ID: "m1", SoftwareVersion: "v1"}}}})
		place := func(r Request) {
			r.Pool, r.TimeToObjective, r.TimeToDeadline, r.Residency = "m", time.Minute, time.Minute, residency.Unrestricted()
			placed := make(chan Placement, 1)
			p.Place(r, Callbacks{OnPlacement: func(a Placement) { placed <- a }, OnResultChanges: func([]staging.ResultLocation) {}, Local: local})
			assert.Equal(t, (<-placed).Server, "m1")
		}
		place(Request{ID: "once"})
		assert.Assert(t, p.StreamVersion("once") == nil, "it can't be resumed")
		place(Request{ID: "r", ResumableFor: time.Minute})
		assert.Equal(t, *p.StreamVersion("r"), "v1")
		place(Request{ID: "r2", ResumableFor: time.Minute, Resume: &Resume{Stream: "first"}})
		assert.Equal(t, *p.StreamVersion("first"), "v1")
		assert.Equal(t, len(p.LocalStreams()) == 2, local)
	}
}

// TestVersionOfAStreamThatDidNotBeginIsForgotten guards against the record of a placement that
// failed before its first event: another entry may place the stream anew at another version, and
// its client would be sent back to the first one. A lost entry may have relayed the first event.
func TestVersionOfAStreamThatDidNotBeginIsForgotten(t *testing.T) {
	report := func(phases ...Phase) func(p *Planner) {
		return func(p *Planner) {
			for _, phase := range phases {
				p.UpdateProgress("s", Progress{Phase: phase})
			}
		}
	}
	tests := []struct {
		name  string
		end   func(p *Planner)
		known bool
	}{
		{"open", report(), true},
		{"failed", report(Failed), false},
		{"not reached", report(Unreached), false},
		{"cancelled", report(Cancelled), false},
		{"failed after its first event", report(Started, Failed), true},
		{"complete", report(Started, Complete), true},
		{"entry lost", func(p *Planner) { p.Abandon("s") }, true},
		{"entry was out of touch", func(p *Planner) { p.DropUnbegun("s") }, false},
		{"entry was out of touch after the first event", func(p *Planner) { report(Started)(p); p.DropUnbegun("s") }, true},
	}
	for _, tt := range tests {
		for _, resumes := range []bool{false, true} {
			t.Run(fmt.Sprint(tt.name, ", resumes=", resumes), func(t *testing.T) {
				p := New(nil, nil, logr.Discard())
				p.ObservedFromStart()
				p.SetPools([]Pool{{Name: "m", HasResumableStreams: true, ModelServers: []placement.Server{{ID: "m1", SoftwareVersion: "v1"}}}})
				r := Request{ID: "s", Pool: "m", TimeToObjective: time.Minute, TimeToDeadline: time.Minute, ResumableFor: time.Minute, Residency: residency.Unrestricted()}
				if resumes {
					r.Resume = &Resume{Stream: "first"}
				}
				placed := make(chan Placement, 1)
				p.Place(r, Callbacks{OnPlacement: func(a Placement) { placed <- a }, OnResultChanges: func([]staging.ResultLocation) {}})
				assert.Equal(t, (<-placed).Server, "m1")
				tt.end(p)
				stream, known := "s", tt.known
				if resumes {
					stream, known = "first", true
				}
				assert.Equal(t, p.StreamVersion(stream) != nil, known)
			})
		}
	}
}
