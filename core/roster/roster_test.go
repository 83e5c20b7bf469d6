package roster

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func names(entries []Entry) []string {
	var all []string
	for _, e := range entries {
		all = append(all, e.Name)
	}
	return all
}

func TestOrder(t *testing.T) {
	records := []Record{
		{Name: "a", Offset: 9, Start: 1, First: 3},
		{Name: "b", Offset: 3, Start: 1},
		{Name: "c", Offset: 4, Start: 1},
		{Name: "left", Offset: 1, Start: 1, Left: true},
		{Name: "small", Offset: 0, Start: 1, Small: true},
	}
	tests := []struct {
		name   string
		start  int64
		before []string
	}{
		{"a", 1, nil},
		{"b", 1, []string{"a"}},
		{"c", 1, []string{"a", "b"}},
		{"small", 1, []string{"a", "b", "c"}},
	}
	for _, tt := range tests {
		v := New(tt.name, tt.start).Look(0, records)
		assert.Assert(t, v.Registered, tt.name)
		assert.Equal(t, v.Count, 5, "records of entries that left count")
		assert.DeepEqual(t, names(v.Before), tt.before)
	}
}

func TestNotRegistered(t *testing.T) {
	tests := []struct {
		name    string
		records []Record
		earlier bool
	}{
		{"no record", nil, false},
		{"a record of an earlier start", []Record{{Name: "a", Start: 1}}, true},
		{"an earlier start that left", []Record{{Name: "a", Start: 1, Left: true}}, true},
		{"its own leave", []Record{{Name: "a", Start: 2, Left: true}}, false},
	}
	for _, tt := range tests {
		v := New("a", 2).Look(0, tt.records)
		assert.Assert(t, !v.Registered, tt.name)
		assert.Equal(t, v.Earlier, tt.earlier, tt.name)
	}
}

func TestRefreshKeepsTheOrder(t *testing.T) {
	r := New("a", 1)
	assert.Assert(t, r.Look(0, []Record{{Name: "a", Start: 1, Offset: 7}}).Refresh == nil)
	v := r.Look(RefreshAfter, []Record{{Name: "a", Start: 1, Offset: 7}})
	assert.Equal(t, v.Refresh.First, int64(8))
	again := *v.Refresh
	again.Offset = 30
	v = r.Look(RefreshAfter+time.Second, []Record{again})
	assert.Equal(t, v.Order, int64(7))
	assert.Assert(t, v.Refresh == nil, "it was just written")
	v = r.Look(2*RefreshAfter+time.Second, []Record{again})
	assert.Equal(t, v.Refresh.First, int64(8))
}

// TestRecordsOfLostEntriesAreDropped replaces all entries but two over a day: the
// records stay few, only the first of the two drops any, and neither is dropped.
func TestRecordsOfLostEntriesAreDropped(t *testing.T) {
	const step = 15 * time.Second
	records := map[string]Record{"a": {Name: "a", Start: 1}, "b": {Name: "b", Start: 1, Offset: 1}}
	a, b := New("a", 1), New("b", 1)
	offset, most := int64(2), 0
	look := func(r *Roster, now time.Duration) []string {
		var list []Record
		for _, rec := range records {
			list = append(list, rec)
		}
		v := r.Look(now, list)
		assert.Assert(t, v.Registered)
		if v.Refresh != nil {
			v.Refresh.Offset = offset
			offset++
			records[v.Refresh.Name] = *v.Refresh
		}
		return v.Drop
	}
	for now := time.Duration(0); now < 24*time.Hour; now += step {
		if now%(90*time.Second) == 0 {
			name := now.String()
			records[name] = Record{Name: name, Start: 1, Offset: offset, Left: now%(3*time.Minute) == 0}
			offset++
		}
		for _, name := range look(a, now) {
			delete(records, name)
		}
		assert.Equal(t, len(look(b, now)), 0)
		most = max(most, len(records))
	}
	assert.Assert(t, most <= int(GoneAfter/(90*time.Second))+3, "%d records", most)
}

func TestTheNextOneDropsTheFirst(t *testing.T) {
	r := New("b", 1)
	own := Record{Name: "b", Start: 1, Offset: 1}
	r.Look(0, []Record{{Name: "a", Start: 1}, own})
	own.First, own.Offset = 2, 2
	v := r.Look(GoneAfter, []Record{{Name: "a", Start: 1}, own})
	assert.Assert(t, slices.Equal(v.Drop, []string{"a"}))
}
