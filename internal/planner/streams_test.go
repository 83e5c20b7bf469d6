package planner

import (
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
				p.StreamBegan(streamversion.Record{Stream: "s", Version: *tt.recorded, Until: clock.Now() + time.Minute}, false, false)
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

// TestVersionIsUnknownUntilTheStreamBegins guards against the version of a placement being taken for
// that of the stream: an attempt that fails before its first event may be followed by one at another
// version, which another entry has placed unnoticed by this one. A stream that is resumed has begun.
func TestVersionIsUnknownUntilTheStreamBegins(t *testing.T) {
	for _, local := range []bool{true, false} {
		p := New(nil, nil, logr.Discard())
		p.ObservedFromStart()
		servers := []placement.Server{{ID: "m1", SoftwareVersion: "v1"}}
		p.SetPools([]Pool{{Name: "m", HasResumableStreams: true, ModelServers: servers}})
		place := func(r Request) {
			r.Pool, r.TimeToObjective, r.TimeToDeadline, r.Residency = "m", time.Minute, time.Minute, residency.Unrestricted()
			placed := make(chan Placement, 1)
			p.Place(r, Callbacks{OnPlacement: func(a Placement) { placed <- a }, OnResultChanges: func([]staging.ResultLocation) {}, Local: local})
			assert.Equal(t, (<-placed).Server, "m1")
		}
		place(Request{ID: "r", ResumableFor: time.Minute})
		assert.Assert(t, p.StreamVersion("r") == nil)
		for _, phase := range []Phase{Started, Failed} {
			p.UpdateProgress("r", Progress{Phase: phase})
			assert.Assert(t, p.StreamVersion("r") == nil)
		}
		p.StreamBegan(streamversion.Record{Stream: "r", Version: "v1", Until: clock.Now() + time.Minute}, local, true)
		assert.Equal(t, *p.StreamVersion("r"), "v1")
		place(Request{ID: "r2", ResumableFor: time.Minute, Resume: &Resume{Stream: "first"}})
		assert.Equal(t, *p.StreamVersion("first"), "v1")
		assert.Equal(t, len(p.LocalStreams()) == 2, local)
	}
}

// TestOnlyStreamsThatBeganAreStored guards against a version in the store at which its stream never
// began, and against one that is missing there when all entries are lost.
func TestOnlyStreamsThatBeganAreStored(t *testing.T) {
	p := New(nil, nil, logr.Discard())
	p.ObservedFromStart()
	record := func(stream string) streamversion.Record {
		return streamversion.Record{Stream: stream, Version: "v1", Until: clock.Now() + time.Minute}
	}
	stored := func() (streams []string) {
		for _, r := range p.TakeUnstoredStreams() {
			streams = append(streams, r.Stream)
		}
		return streams
	}
	p.SetPools([]Pool{{Name: "m", HasResumableStreams: true, ModelServers: []placement.Server{{ID: "m1", SoftwareVersion: "v1"}}}})
	p.StreamBegan(record("before"), true, true)
	assert.Equal(t, len(stored()), 0, "one version tells all streams")
	p.SetPools([]Pool{{Name: "m", HasResumableStreams: true, ModelServers: []placement.Server{{ID: "m1", SoftwareVersion: "v1"}, {ID: "m2", SoftwareVersion: "v2"}}}})
	p.Place(Request{ID: "placed", Pool: "m", TimeToObjective: time.Minute, TimeToDeadline: time.Minute, ResumableFor: time.Minute, Residency: residency.Unrestricted()},
		Callbacks{OnPlacement: func(Placement) {}, OnResultChanges: func([]staging.ResultLocation) {}})
	p.StreamBegan(record("placed elsewhere"), false, false)
	assert.DeepEqual(t, stored(), []string{"before"})
	p.StreamBegan(record("placed"), false, true)
	assert.DeepEqual(t, stored(), []string{"placed"})
}
