package backends

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestServerUse(t *testing.T) {
	type step struct {
		at     time.Duration
		listed bool
		leaves bool
		start  int64
		drop   bool
		lost   bool
		expire bool
		usable bool
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"listed", []step{{listed: true, usable: true}}},
		{"leaving is never unseen", []step{
			{listed: true, usable: true},
			{at: 100 * ms, listed: true, leaves: true},
			{at: 200 * ms, listed: true},
			{at: 300 * ms, drop: true},
			{at: 400 * ms, listed: true},
		}},
		{"a new start under the id is another server", []step{
			{listed: true, start: 1, usable: true},
			{at: 100 * ms, listed: true, start: 1, leaves: true},
			{at: 200 * ms, listed: true, start: 2, usable: true},
		}},
		{"a dropped record ends the use at once", []step{
			{listed: true, usable: true},
			{at: 100 * ms, drop: true},
			{at: 101 * ms, expire: true},
		}},
		{"a record that lapsed in an outage may come back", []step{
			{listed: true, usable: true},
			{at: 100 * ms, lost: true, usable: true},
			{at: 500 * ms, drop: true, usable: true},
			{at: 1900 * ms, expire: true, usable: true},
			{at: 2000 * ms, listed: true, usable: true},
			{at: 9000 * ms, expire: true, usable: true},
		}},
		{"a lapsed record that stays away is gone", []step{
			{listed: true, usable: true},
			{at: 100 * ms, lost: true, usable: true},
			{at: 500 * ms, drop: true, usable: true},
			{at: 2500 * ms, expire: true},
		}},
		{"a drop some time after an outage is a drop", []step{
			{listed: true, usable: true},
			{at: 100 * ms, lost: true, usable: true},
			{at: 3000 * ms, drop: true},
		}},
		{"a record back after it was taken as gone is used", []step{
			{listed: true, usable: true},
			{at: 100 * ms, drop: true},
			{at: 200 * ms, expire: true},
			{at: 900 * ms, listed: true, usable: true},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New()
			for i, st := range tt.steps {
				switch {
				case st.listed:
					s.Listed("a", st.start, st.leaves)
				case st.drop:
					s.Dropped("a", st.at)
				case st.lost:
					s.StoreLost(st.at)
				case st.expire:
					s.Expire(st.at)
				}
				assert.Equal(t, s.Usable("a"), st.usable, "step %d", i)
			}
		})
	}
}

func TestForgetsServersThatLeft(t *testing.T) {
	s := New()
	s.Listed("a", 0, true)
	s.Dropped("a", 0)
	s.Expire(keepLeft)
	assert.Equal(t, len(s.servers), 0)
}
