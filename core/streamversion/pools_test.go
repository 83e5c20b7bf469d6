package streamversion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const pool = "p"

// only returns the version at which a stream that nobody knows continues, or "refused".
func only(p *Pools, at time.Duration) string {
	version, ok := p.Only(at, pool)
	if !ok {
		return "refused"
	}
	return version
}

// assertDue checks the versions that the store should hold; none if the record is right.
func assertDue(t *testing.T, p *Pools, at time.Duration, versions ...string) {
	t.Helper()
	due := p.Due(at, 0)
	if versions == nil {
		assert.Equal(t, len(due), 0, "%v", due)
		return
	}
	assert.DeepEqual(t, due, []StoredVersions{{Pool: pool, Versions: versions}})
}

// restarted returns the state of a process that starts and reads what the store holds.
func restarted(at time.Duration, era int64, stored ...StoredVersions) *Pools {
	p := NewPools()
	p.Learn(at, stored, era)
	return p
}

func TestPoolsOfProcessThatObservedAll(t *testing.T) {
	pools := NewPools()
	pools.ObservedFromStart()
	assert.Equal(t, only(pools, 0), "refused")
	pools.Observe(0, pool, []string{"v1", "v1"})
	assert.Equal(t, only(pools, time.Hour), "v1")
	pools.Observe(10*time.Second, pool, []string{"v1", "v2"})
	assert.Equal(t, only(pools, 11*time.Second), "refused")
	pools.Observe(20*time.Second, pool, []string{"v2"})
	assert.Equal(t, only(pools, 20*time.Second+MaxAge), "refused", "streams of v1 may still be resumed")
	assert.Equal(t, only(pools, 20*time.Second+MaxAge+1), "v2")

	pools.Observe(2*time.Hour, pool, nil)
	assert.Equal(t, only(pools, 2*time.Hour), "v2", "servers that all crashed")
	pools.Observe(2*time.Hour, pool, []string{"v2"})
	assert.Equal(t, only(pools, 3*time.Hour), "v2")
}

// TestProcessThatStartsDoesNotTakeWhatItSeesForAll guards against a process that continues
// a stream at the only version it has seen, although servers of another one left before it
// started.
func TestProcessThatStartsDoesNotTakeWhatItSeesForAll(t *testing.T) {
	tests := []struct {
		name   string
		era    int64
		stored []StoredVersions
		// want is the version at which an unknown stream continues at once.
		want string
	}{
		{"nothing stored", 0, nil, "refused"},
		{"other pool stored", 0, []StoredVersions{{Pool: "other", Versions: []string{"v2"}}}, "refused"},
		{"earlier version left", 0, []StoredVersions{{Pool: pool, Versions: []string{"v1", "v2"}}}, "refused"},
		{"version left, a new one came", 0, []StoredVersions{{Pool: pool, Versions: []string{"v1"}}}, "refused"},
		{"one version all along", 0, []StoredVersions{{Pool: pool, Versions: []string{"v2"}}}, "v2"},
		{"record from an older copy of the store", 1, []StoredVersions{{Pool: pool, Versions: []string{"v2"}}}, "refused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Hour
			for _, observedFirst := range []bool{false, true} {
				p := NewPools()
				if observedFirst {
					p.Observe(start, pool, []string{"v2"})
					assert.Equal(t, only(p, start), "refused", "the store was not read yet")
				}
				p.Learn(start, tt.stored, tt.era)
				p.Observe(start, pool, []string{"v2"})
				assert.Equal(t, only(p, start), tt.want)
				assert.Equal(t, only(p, start+MaxAge+1), "v2", "all older streams are over")
			}
		})
	}
}

// TestStoreLearnsVersionsBeforeStreamsBegin guards against a stream of a version that no later
// process can know.
func TestStoreLearnsVersionsBeforeStreamsBegin(t *testing.T) {
	p := NewPools()
	p.ObservedFromStart()
	p.Observe(0, pool, []string{"v1"})
	assert.Assert(t, !p.Withheld(0, pool, "v1"), "without a record every version may begin streams")
	assertDue(t, p, 0, "v1")
	p.Stored(StoredVersions{Pool: pool, Versions: []string{"v1"}})
	assertDue(t, p, 0)

	release := time.Minute
	p.Observe(release, pool, []string{"v1", "v2"})
	assert.Assert(t, p.Withheld(release, pool, "v2"))
	assert.Assert(t, !p.Withheld(release, pool, "v1"))
	assert.Assert(t, !p.Withheld(release+maxWithhold, pool, "v2"), "an outage of the store must not keep servers idle")
	assertDue(t, p, release, "v1", "v2")
	p.Stored(StoredVersions{Pool: pool, Versions: []string{"v1", "v2"}})
	assert.Assert(t, !p.Withheld(release, pool, "v2"))
	assertDue(t, p, release)

	end := release + 10*time.Second
	p.Observe(end, pool, []string{"v2"})
	assertDue(t, p, end+MaxAge)
	assertDue(t, p, end+MaxAge+1, "v2")
	// Reading the old record once more before the write must not keep v1 for another MaxAge.
	p.Learn(end+MaxAge+1, []StoredVersions{{Pool: pool, Versions: []string{"v1", "v2"}}}, 0)
	p.Observe(end+MaxAge+1, pool, []string{"v2"})
	assertDue(t, p, end+MaxAge+1, "v2")
}

// TestVersionsOfSeveralWritersAreMerged guards against a process that removes a version which
// another one has stored and uses.
func TestVersionsOfSeveralWritersAreMerged(t *testing.T) {
	p := restarted(0, 0, StoredVersions{Pool: pool, Versions: []string{"v1"}})
	p.Observe(0, pool, []string{"v1", "v3"})
	p.Learn(time.Second, []StoredVersions{{Pool: pool, Versions: []string{"v1", "v2"}}}, 0)
	assertDue(t, p, time.Second, "v1", "v2", "v3")
	assertDue(t, p, time.Second+MaxAge, "v1", "v2", "v3")
	assertDue(t, p, time.Second+MaxAge+1, "v1", "v3")
}

// TestNothingIsStoredByAProcessThatDoesNotKnowAllVersions guards against a record that looks
// complete and is not.
func TestNothingIsStoredByAProcessThatDoesNotKnowAllVersions(t *testing.T) {
	tests := []struct {
		name string
		p    *Pools
	}{
		{"nothing stored", restarted(0, 0)},
		{"record of an earlier era", restarted(0, 1, StoredVersions{Pool: pool, Versions: []string{"v1"}})},
		{"servers missed", func() *Pools {
			p := restarted(0, 0, StoredVersions{Pool: pool, Versions: []string{"v1"}})
			p.Interrupt(0)
			return p
		}()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.p.Observe(0, pool, []string{"v2"})
			assertDue(t, tt.p, MaxAge)
			assert.Assert(t, !tt.p.Withheld(0, pool, "v2"))
			assert.Equal(t, len(tt.p.Due(MaxAge+1, 0)), 1)
		})
	}
}

// TestRecordIsWrittenAgainAfterARestore guards against a record that a restored store has lost
// or has from before: processes that start later do not trust it.
func TestRecordIsWrittenAgainAfterARestore(t *testing.T) {
	p := restarted(0, 0, StoredVersions{Pool: pool, Versions: []string{"v1"}})
	p.Observe(0, pool, []string{"v1"})
	p.Learn(time.Second, []StoredVersions{{Pool: pool, Versions: []string{"v1"}}}, 1)
	assert.Equal(t, only(p, time.Second), "v1", "it knew before")
	assert.DeepEqual(t, p.Due(time.Second, 1), []StoredVersions{{Pool: pool, Versions: []string{"v1"}, Era: 1}})
}

// TestVersionsOfAReleaseEveryMinuteAreBounded guards against versions that are never forgotten.
func TestVersionsOfAReleaseEveryMinuteAreBounded(t *testing.T) {
	p := NewPools()
	p.ObservedFromStart()
	for i := range 1000 {
		now := time.Duration(i) * time.Minute
		p.Observe(now, pool, []string{string(rune('a' + i%26)), string(rune('A' + i%25))})
		for _, due := range p.Due(now, 0) {
			p.Stored(due)
		}
		versions, all := p.Resumable(now, pool)
		assert.Assert(t, all)
		// Two are current, two ended now, and two ended MaxAge ago.
		assert.Assert(t, len(versions) <= 6, "%v", versions)
		assert.Assert(t, len(p.pools[pool].ended) <= 6, "%v", p.pools[pool].ended)
	}
}

// TestVersionThatWasOnlySeenCounts guards against a version that no call of Observe had, because
// its servers came and left between two, and against one of a pool without resumable streams.
func TestVersionThatWasOnlySeenCounts(t *testing.T) {
	p := NewPools()
	p.ObservedFromStart()
	p.Seen(0, pool, []string{"v1"})
	assert.Assert(t, !p.AnySeveral(0))
	p.Observe(0, pool, []string{"v1"})
	assert.Equal(t, only(p, 0), "v1")
	p.Seen(time.Second, pool, []string{"v1", "v2"})
	p.Observe(time.Second, pool, []string{"v1"})
	assert.Equal(t, only(p, time.Second+MaxAge), "refused")
	assert.Equal(t, only(p, time.Second+MaxAge+1), "v1")
	p.Seen(time.Hour, "other", []string{"v1", "v2"})
	assert.Assert(t, !p.AnySeveral(time.Hour), "streams of the other pool cannot be resumed")
}
