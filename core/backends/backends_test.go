package backends

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestServerUsability(t *testing.T) {
	type step struct {
		at              time.Duration
		recordSeen      bool
		leaving         bool
		startTime       int64
		recordRemoved   bool
		storeReadFailed bool
		removeExpired   bool
		usable          bool
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"listed", []step{{recordSeen: true, usable: true}}},
		{"a server that announced leaving stays unusable", []step{
			{recordSeen: true, usable: true},
			{at: 100 * ms, recordSeen: true, leaving: true},
			{at: 200 * ms, recordSeen: true},
			{at: 300 * ms, recordRemoved: true},
			{at: 400 * ms, recordSeen: true},
		}},
		{"a restarted server under the same ID is usable", []step{
			{recordSeen: true, startTime: 1, usable: true},
			{at: 100 * ms, recordSeen: true, startTime: 1, leaving: true},
			{at: 200 * ms, recordSeen: true, startTime: 2, usable: true},
		}},
		{"a removed record makes the server unusable at once", []step{
			{recordSeen: true, usable: true},
			{at: 100 * ms, recordRemoved: true},
			{at: 101 * ms, removeExpired: true},
		}},
		{"a server whose record expired in an outage stays usable until it is back", []step{
			{recordSeen: true, usable: true},
			{at: 100 * ms, storeReadFailed: true, usable: true},
			{at: 500 * ms, recordRemoved: true, usable: true},
			{at: 1900 * ms, removeExpired: true, usable: true},
			{at: 2000 * ms, recordSeen: true, usable: true},
			{at: 9000 * ms, removeExpired: true, usable: true},
		}},
		{"a server whose record does not return after an outage is removed", []step{
			{recordSeen: true, usable: true},
			{at: 100 * ms, storeReadFailed: true, usable: true},
			{at: 500 * ms, recordRemoved: true, usable: true},
			{at: 2500 * ms, removeExpired: true},
		}},
		{"a record removed some time after an outage makes the server unusable", []step{
			{recordSeen: true, usable: true},
			{at: 100 * ms, storeReadFailed: true, usable: true},
			{at: 3000 * ms, recordRemoved: true},
		}},
		{"a removed server is usable again when its record returns", []step{
			{recordSeen: true, usable: true},
			{at: 100 * ms, recordRemoved: true},
			{at: 200 * ms, removeExpired: true},
			{at: 900 * ms, recordSeen: true, usable: true},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New()
			for i, st := range tt.steps {
				switch {
				case st.recordSeen:
					s.RecordSeen(Record{ID: "a", StartTime: st.startTime, Leaving: st.leaving})
				case st.recordRemoved:
					s.RecordRemoved("a", st.at)
				case st.storeReadFailed:
					s.StoreReadFailed(st.at)
				case st.removeExpired:
					s.RemoveExpired(st.at)
				}
				assert.Equal(t, s.Usable("a"), st.usable, "step %d", i)
			}
		})
	}
}

func TestForgetsRemovedServers(t *testing.T) {
	s := New()
	s.RecordSeen(Record{ID: "a", Leaving: true})
	s.RecordRemoved("a", 0)
	s.RemoveExpired(removedRetention)
	assert.Equal(t, len(s.servers), 0)
}

// TestStoreEraKeepsWhatIsKnownOfServers restores the store from a copy that is older than
// what is known. Leaving servers and removed ones do not come back by it, and a running
// one whose record is missing there stays in use until it has had time to write again.
func TestStoreEraKeepsWhatIsKnownOfServers(t *testing.T) {
	known := Record{ID: "a", StartTime: 5, Sequence: 9}
	tests := []struct {
		name   string
		before func(s *Set)
		copied Record
		usable bool
	}{
		{"running", func(*Set) {}, Record{ID: "a", StartTime: 5, Sequence: 7}, true},
		{"leaving", func(s *Set) { s.RecordSeen(Record{ID: "a", StartTime: 5, Sequence: 10, Leaving: true}) }, known, false},
		{"said to be leaving in an answer", func(s *Set) { s.MarkLeaving("a", 5) }, known, false},
		{"removed", func(s *Set) {
			s.RecordRemoved("a", 0)
			s.RemoveExpired(0)
		}, known, false},
		{"leaving at an earlier start", func(*Set) {}, Record{ID: "a", StartTime: 4, Sequence: 90, Leaving: true}, true},
		{"removed, and written again", func(s *Set) {
			s.RecordRemoved("a", 0)
			s.RemoveExpired(0)
		}, Record{ID: "a", StartTime: 5, Sequence: 11}, true},
		{"leaving, and started anew", func(s *Set) { s.MarkLeaving("a", 5) }, Record{ID: "a", StartTime: 6}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New()
			s.RecordSeen(known)
			tt.before(s)
			s.StoreRestored(time.Second)
			if s.IsNews(tt.copied) {
				s.RecordSeen(tt.copied)
			}
			assert.Equal(t, s.Usable("a"), tt.usable)
		})
	}
	s := New()
	s.RecordSeen(known)
	s.StoreRestored(time.Second)
	s.RecordRemoved("a", time.Second)
	assert.Assert(t, s.Usable("a"), "the record is missing in the copy")
	s.RemoveExpired(time.Second + ExpiryGracePeriod)
	assert.Assert(t, !s.Usable("a"), "the server did not write again")
}

// TestServerLeavingMarksOneStart checks that the word of a server that it leaves does not
// hold for a later start under the same ID.
func TestServerLeavingMarksOneStart(t *testing.T) {
	s := New()
	s.RecordSeen(Record{ID: "a", StartTime: 1})
	assert.Assert(t, !s.MarkLeaving("a", 2) && !s.MarkLeaving("b", 1))
	assert.Assert(t, s.Usable("a"))
	assert.Assert(t, s.MarkLeaving("a", 1) && !s.MarkLeaving("a", 1))
	assert.Assert(t, !s.Usable("a"))
	s.RecordSeen(Record{ID: "a", StartTime: 1, Sequence: 5})
	assert.Assert(t, !s.Usable("a"), "the server has not written yet that it leaves")
	s.RecordSeen(Record{ID: "a", StartTime: 2})
	assert.Assert(t, s.Usable("a"))
}

// TestEvacuatedZoneGetsNoWork guards against new work for servers of a zone that the operator
// has evacuated, also for those that appear there meanwhile.
func TestEvacuatedZoneGetsNoWork(t *testing.T) {
	s := New()
	s.RecordSeen(Record{ID: "a", Zone: "x"})
	s.RecordSeen(Record{ID: "b", Zone: "y"})
	s.SetEvacuated(time.Second, "x", true)
	s.RecordSeen(Record{ID: "new", Zone: "x"})
	assert.Assert(t, !s.Usable("a") && !s.Usable("new") && s.Usable("b"))
	assert.Assert(t, s.Evacuated("x") && !s.Evacuated("y"))
	s.SetEvacuated(2*time.Second, "x", false)
	assert.Assert(t, s.Usable("a") && s.Usable("new"))
}

// TestServerIsPresumedCold guards against a server that is overloaded while it is cold,
// because its record announces that too late or not at all.
func TestServerIsPresumedCold(t *testing.T) {
	const coldStart = 3 * time.Second
	s := New()
	s.RecordSeen(Record{ID: "old", Zone: "x", ReadAt: 10 * time.Second, RunningFor: time.Minute})
	s.RecordSeen(Record{ID: "new", Zone: "y", ReadAt: 10 * time.Second})
	assert.Assert(t, s.ColdUntil("old", coldStart) <= 10*time.Second)
	assert.Equal(t, s.ColdUntil("new", coldStart), 13*time.Second)
	assert.Equal(t, s.ColdUntil("unknown", coldStart), time.Duration(0))

	s.RecordSeen(Record{ID: "old", Zone: "x", ReadAt: 20 * time.Second, ColdFor: 4 * time.Second})
	s.RecordSeen(Record{ID: "old", Zone: "x", ReadAt: 21 * time.Second, ColdFor: time.Second})
	assert.Equal(t, s.ColdUntil("old", coldStart), 24*time.Second, "a later record does not shorten the period")

	s.SetEvacuated(30*time.Second, "x", true)
	s.SetEvacuated(35*time.Second, "x", false)
	assert.Equal(t, s.ColdUntil("old", coldStart), 38*time.Second)
	s.SetEvacuated(40*time.Second, "x", false)
	assert.Equal(t, s.ColdUntil("old", coldStart), 38*time.Second, "the evacuation had ended before")
	s.RecordSeen(Record{ID: "old", Zone: "x", StartTime: 2, ReadAt: 50 * time.Second})
	assert.Equal(t, s.ColdUntil("old", coldStart), 53*time.Second, "another start")
}
