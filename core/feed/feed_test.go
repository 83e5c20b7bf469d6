package feed

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// replica is the state of a follower: the newest value of each key.
type replica struct {
	position Position
	values   map[string]string
	cursor   Cursor
}

func (r *replica) apply(changes []Change) {
	for _, c := range changes {
		if c.Offset < r.position.Offset {
			continue
		}
		r.values[c.Key] = string(c.Value)
	}
}

// TestFollowersNeverMissChanges checks for random appends, restores from copies, slow and
// restarted followers: a follower that counts as up to date has the state of the log at
// that position.
func TestFollowersNeverMissChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var log []Change
		era := int64(1)
		state := func(end int64) map[string]string {
			values := map[string]string{}
			for _, c := range log[:end] {
				if c.Key != "" {
					values[c.Key] = string(c.Value)
				}
			}
			return values
		}
		f := &Feed{}
		f.Reset(Position{era, 0})
		followers := []*replica{{values: map[string]string{}, position: Position{era, 0}}, {values: map[string]string{}, position: Position{era, 0}}}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1: // The reader reads records, some of which change nothing.
				var changes []Change
				for range rapid.IntRange(0, 5).Draw(rt, "records") {
					c := Change{Offset: int64(len(log))}
					if rapid.Bool().Draw(rt, "is a change") {
						c.Key, c.Value = fmt.Sprint("k", rapid.IntRange(0, 3).Draw(rt, "key")), fmt.Appendf(nil, "%d/%d", era, len(log))
						changes = append(changes, c)
					}
					log = append(log, c)
				}
				f.Append(changes, Position{era, int64(len(log))})
			case 2: // The log is restored from a copy.
				log = log[:rapid.IntRange(0, len(log)).Draw(rt, "copy")]
				era++
				f.Reset(Position{era, int64(len(log))})
			case 3: // The reader restarts.
				f.Reset(Position{era, int64(len(log))})
				for _, r := range followers {
					r.cursor = Cursor{}
				}
			case 4: // A follower reads the log itself.
				r := rapid.SampledFrom(followers).Draw(rt, "follower")
				r.position, r.values = Position{era, int64(len(log))}, state(int64(len(log)))
			case 5: // A follower is sent what it lacks.
				r := rapid.SampledFrom(followers).Draw(rt, "follower")
				changes, from, ok := r.cursor.Next(f, r.position)
				if !ok || from.Era != r.position.Era || from.Offset > r.position.Offset {
					continue
				}
				r.apply(changes)
				r.position.Offset = max(r.position.Offset, f.End().Offset)
				assert.DeepEqual(rt, r.values, state(r.position.Offset))
			}
		}
	})
}

func TestFeedIsBounded(t *testing.T) {
	f := &Feed{}
	f.Reset(Position{0, 0})
	var all Cursor
	_, _, ok := all.Next(f, Position{0, 0})
	assert.Assert(t, ok)
	for i := range int64(3 * maxChanges) {
		f.Append([]Change{{Offset: i, Key: "k"}}, Position{0, i + 1})
	}
	assert.Equal(t, len(f.changes), maxChanges)
	_, _, ok = all.Next(f, Position{0, 0})
	assert.Assert(t, !ok, "changes that the follower lacks were dropped")
	changes, from, ok := all.Next(f, Position{0, 3*maxChanges - 2})
	assert.Assert(t, ok && from.Offset == 3*maxChanges-2)
	assert.Equal(t, len(changes), 2)
	f.Append([]Change{{Offset: 3 * maxChanges, Key: "k", Value: make([]byte, maxBytes+1)}}, Position{0, 3*maxChanges + 1})
	assert.Equal(t, len(f.changes), 0)
}

// TestLargeChangesAreCompressed guards against a configuration of many routes being sent
// to each of hundreds of followers as it is.
func TestLargeChangesAreCompressed(t *testing.T) {
	var routes strings.Builder
	for i := range 300 {
		fmt.Fprintf(&routes, `{"name":"r-%d","host":"h%d.example","prefix":"/p%d/","kind":"safe","service":"s","timeout_ms":2000},`, i, i%7, i)
	}
	for _, value := range []string{"", "small", routes.String()} {
		c := Change{Offset: 3, Key: "k", Value: []byte(value)}
		sent := c.Compress()
		assert.Equal(t, sent.Compressed, len(value) >= compressThreshold)
		assert.Assert(t, !sent.Compressed || len(sent.Value) < len(value)/2, "%d of %d bytes", len(sent.Value), len(value))
		got, err := sent.Original()
		assert.NilError(t, err)
		assert.Equal(t, string(got), value)
		assert.DeepEqual(t, sent.Compress(), sent)
	}
	_, err := Change{Value: []byte("no archive"), Compressed: true}.Original()
	assert.Assert(t, err != nil)
}
