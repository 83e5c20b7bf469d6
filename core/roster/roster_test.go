package roster

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func entryNames(entries []Entry) []string {
	var result []string
	for _, e := range entries {
		result = append(result, e.Name)
	}
	return result
}

func TestPredecessors(t *testing.T) {
	records := []Record{
		{Name: "a", Offset: 9, StartID: 1, FirstRecordNumber: 3},
		{Name: "b", Offset: 3, StartID: 1},
		{Name: "c", Offset: 4, StartID: 1},
		{Name: "stopped", Offset: 1, StartID: 1, Stopped: true},
		{Name: "small", Offset: 0, StartID: 1, Small: true},
	}
	tests := []struct {
		name         string
		startID      int64
		predecessors []string
	}{
		{"a", 1, nil},
		{"b", 1, []string{"a"}},
		{"c", 1, []string{"a", "b"}},
		{"small", 1, []string{"a", "b", "c"}},
	}
	for _, tt := range tests {
		v := New(tt.name, tt.startID).Update(0, records)
		assert.Assert(t, v.Registered, tt.name)
		assert.Equal(t, v.Count, 5, "records of stopped entries count")
		assert.DeepEqual(t, entryNames(v.Predecessors), tt.predecessors)
	}
}

func TestNotRegistered(t *testing.T) {
	tests := []struct {
		name         string
		records      []Record
		earlierStart bool
	}{
		{"no record", nil, false},
		{"record of an earlier start", []Record{{Name: "a", StartID: 1}}, true},
		{"stopped record of an earlier start", []Record{{Name: "a", StartID: 1, Stopped: true}}, true},
		{"own stopped record", []Record{{Name: "a", StartID: 2, Stopped: true}}, false},
	}
	for _, tt := range tests {
		v := New("a", 2).Update(0, tt.records)
		assert.Assert(t, !v.Registered, tt.name)
		assert.Equal(t, v.EarlierStart, tt.earlierStart, tt.name)
	}
}

func TestRefreshKeepsPosition(t *testing.T) {
	r := New("a", 1)
	assert.Assert(t, r.Update(0, []Record{{Name: "a", StartID: 1, Offset: 7}}).Refresh == nil)
	v := r.Update(RefreshInterval, []Record{{Name: "a", StartID: 1, Offset: 7}})
	assert.Equal(t, v.Refresh.FirstRecordNumber, int64(8))
	refreshed := *v.Refresh
	refreshed.Offset = 30
	v = r.Update(RefreshInterval+time.Second, []Record{refreshed})
	assert.Equal(t, v.Position, int64(7))
	assert.Assert(t, v.Refresh == nil, "the record was just written")
	v = r.Update(2*RefreshInterval+time.Second, []Record{refreshed})
	assert.Equal(t, v.Refresh.FirstRecordNumber, int64(8))
}

// TestExpiredRecordsDropped simulates a day in which two entries keep running while
// others register and disappear, half of them after marking their record as stopped.
// The number of records must stay small, only the first of the two entries may drop
// records, and neither of their own records may be dropped.
func TestExpiredRecordsDropped(t *testing.T) {
	const step = 15 * time.Second
	records := map[string]Record{"a": {Name: "a", StartID: 1}, "b": {Name: "b", StartID: 1, Offset: 1}}
	a, b := New("a", 1), New("b", 1)
	offset, maxRecords := int64(2), 0
	update := func(r *Roster, now time.Duration) []string {
		var list []Record
		for _, rec := range records {
			list = append(list, rec)
		}
		v := r.Update(now, list)
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
			records[name] = Record{Name: name, StartID: 1, Offset: offset, Stopped: now%(3*time.Minute) == 0}
			offset++
		}
		for _, name := range update(a, now) {
			delete(records, name)
		}
		assert.Equal(t, len(update(b, now)), 0)
		maxRecords = max(maxRecords, len(records))
	}
	assert.Assert(t, maxRecords <= int(RecordExpiry/(90*time.Second))+3, "%d records", maxRecords)
}

func TestNextEntryDropsExpiredRecordOfFirst(t *testing.T) {
	r := New("b", 1)
	own := Record{Name: "b", StartID: 1, Offset: 1}
	r.Update(0, []Record{{Name: "a", StartID: 1}, own})
	own.FirstRecordNumber, own.Offset = 2, 2
	v := r.Update(RecordExpiry, []Record{{Name: "a", StartID: 1}, own})
	assert.Assert(t, slices.Equal(v.Drop, []string{"a"}))
}

// TestStoreEraKeepsOrder restores the records from a copy that lacks two of the four, while
// a new entry registers at an offset that was assigned before. The entries that write their
// records again keep their places, and all entries derive the same order.
func TestStoreEraKeepsOrder(t *testing.T) {
	names := []string{"a", "b", "c", "small"}
	rosters := map[string]*Roster{}
	records := map[string]Record{}
	list := func() []Record { return slices.Collect(maps.Values(records)) }
	for i, name := range names {
		rosters[name] = New(name, 1)
		records[name] = Record{Name: name, StartID: 1, Era: 1, Offset: int64(10 + i), Small: name == "small"}
	}
	for _, name := range names {
		assert.Assert(t, rosters[name].Update(0, list()).Registered)
	}
	delete(records, "b")
	delete(records, "c")
	rosters["new"] = New("new", 1)
	records["new"] = Record{Name: "new", StartID: 1, Era: 2, Offset: 11}
	offset := int64(12)
	for _, name := range []string{"c", "b"} {
		v := rosters[name].Update(time.Second, list())
		assert.Assert(t, !v.Registered && !v.EarlierStart && v.Lost != nil, name)
		rec := *v.Lost
		rec.Offset = offset
		offset++
		records[name] = rec
	}
	want := []string{"a", "b", "c", "new", "small"}
	for i, name := range want {
		v := rosters[name].Update(2*time.Second, list())
		assert.Assert(t, v.Registered, name)
		assert.DeepEqual(t, append(entryNames(v.Predecessors), name), want[:i+1])
	}
}

// TestStoreEraRestoresEarlierStart restores a copy from before the entry restarted: the
// record of its earlier start is no reason to register anew.
func TestStoreEraRestoresEarlierStart(t *testing.T) {
	r := New("a", 2)
	assert.Assert(t, r.Update(0, []Record{{Name: "a", StartID: 1, Offset: 1}}).EarlierStart)
	assert.Assert(t, r.Update(0, []Record{{Name: "a", StartID: 2, Offset: 5}}).Registered)
	v := r.Update(time.Second, []Record{{Name: "a", StartID: 1, Offset: 1}})
	assert.Assert(t, !v.Registered && !v.EarlierStart)
	assert.Equal(t, v.Lost.StartID, int64(2))
	assert.Equal(t, v.Lost.FirstRecordNumber, int64(6))
}
