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
					s.RecordSeen("a", st.startTime, st.leaving)
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
	s.RecordSeen("a", 0, true)
	s.RecordRemoved("a", 0)
	s.RemoveExpired(removedRetention)
	assert.Equal(t, len(s.servers), 0)
}
