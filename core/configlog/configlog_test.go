package configlog

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// exampleObjects returns the objects of an example schema.
func exampleObjects(t testing.TB) []Object {
	text, err := os.ReadFile("../../examples/qasr/schema.toml")
	assert.NilError(t, err)
	s, err := schema.Parse(text)
	assert.NilError(t, err)
	list, err := FromSchema(s)
	assert.NilError(t, err)
	return list
}

// encode returns the record of a change.
func encode(t assert.TestingT, c *Change) []byte {
	data, err := EncodeChange(c)
	assert.NilError(t, err)
	return data
}

// filled returns a snapshot with the example schema in force at offset 1.
func filled(t testing.TB) *Snapshot {
	c := &Change{ID: "first", Author: "test", Edits: Diff(nil, exampleObjects(t))}
	s, o := Empty().Fold(1, encode(t, c))
	assert.Equal(t, o.Status, Accepted, "%v", o.Mistakes)
	return s
}

// weight returns an edit that sets the weight of a customer.
func weight(s *Snapshot, n int) Edit {
	o, _ := s.Object("customer/petra-build")
	before, rest, _ := strings.Cut(string(o.Body), `"weight":`)
	_, after, _ := strings.Cut(rest, "}")
	body := fmt.Sprintf(`%s"weight":%d}%s`, before, n, after)
	return Edit{Object: o.Name, Base: o.Version, Body: []byte(body)}
}

func remove(s *Snapshot, name string) Edit {
	o, _ := s.Object(name)
	return Edit{Object: name, Base: o.Version, Delete: true}
}

func TestOutcomes(t *testing.T) {
	s := filled(t)
	pool := `{"name":"encoders","kind":"encoder","concurrency":0,"queue":64,"fencing":false,"models":null}`
	for _, tc := range []struct {
		name   string
		data   []byte
		status Status
		place  string
	}{
		{"accepted", encode(t, &Change{ID: "a", Edits: []Edit{weight(s, 2)}}), Accepted, ""},
		{"old base", encode(t, &Change{ID: "a", Edits: []Edit{{Object: "limits", Base: 0, Body: []byte(`{}`)}}}), Conflict, ""},
		{"same id", encode(t, &Change{ID: "first", Edits: []Edit{weight(s, 2)}}), Duplicate, ""},
		{"zero capacity", encode(t, &Change{ID: "a", Edits: []Edit{{Object: "pool/encoders", Base: 1, Body: []byte(pool)}}}), Invalid, "pool.encoders.concurrency"},
		{"unknown key", encode(t, &Change{ID: "a", Edits: []Edit{{Object: "region/x", Body: []byte(`{"name":"x","zones":["x-1"],"color":1}`)}}}), Invalid, "region/x"},
		{"another name", encode(t, &Change{ID: "a", Edits: []Edit{{Object: "region/x", Body: []byte(`{"name":"y","zones":["x-1"]}`)}}}), Invalid, "region/x"},
		{"unknown kind", encode(t, &Change{ID: "a", Edits: []Edit{{Object: "realm/x", Body: []byte(`{}`)}}}), Invalid, "realm/x"},
		{"name twice", encode(t, &Change{ID: "a", Edits: []Edit{weight(s, 2), weight(s, 3)}}), Invalid, "customer/petra-build"},
		{"body and delete", encode(t, &Change{ID: "a", Edits: []Edit{{Object: "limits", Base: 1, Body: []byte(`{}`), Delete: true}}}), Invalid, "limits"},
		{"pool in use deleted", encode(t, &Change{ID: "a", Edits: []Edit{remove(s, "pool/encoders")}}), Invalid, "pipeline.dossier.stage.encode.pool"},
		{"absent object deleted", encode(t, &Change{ID: "a", Edits: []Edit{remove(s, "pool/none")}}), Invalid, "pool/none"},
		{"no edits", encode(t, &Change{ID: "a"}), Invalid, "edits"},
		{"no id", encode(t, &Change{Edits: []Edit{weight(s, 2)}}), Invalid, "id"},
		{"offset of the future", encode(t, &Change{ID: "a", After: 2, Edits: []Edit{weight(s, 2)}}), Invalid, "after"},
		{"withdrawn", encode(t, &Change{ID: "a", Withdraw: true}), Withdrawn, ""},
		{"not JSON", []byte("change"), Malformed, "record"},
		{"neither", []byte("{}"), Malformed, "record"},
		{"trailing data", []byte(`{"change":{"id":"a","author":"","after":0}} {}`), Malformed, "record"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			next, o := s.Fold(2, tc.data)
			assert.Equal(t, o.Status, tc.status, "%v", o.Mistakes)
			assert.Equal(t, next.Offset, uint64(2))
			assert.Equal(t, next.Digest() != s.Digest(), tc.status == Accepted)
			if tc.place != "" {
				assert.Equal(t, o.Mistakes[0].Path, tc.place)
			}
			if tc.status == Conflict {
				assert.Equal(t, o.ConflictVersion, uint64(1))
			}
		})
	}
}

func TestSnapshotIsNotChangedByFold(t *testing.T) {
	s := filled(t)
	before := s.Schema.Customer("petra-build").Weight
	next, o := s.Fold(2, encode(t, &Change{ID: "a", Edits: []Edit{weight(s, 7)}}))
	assert.Equal(t, o.Status, Accepted)
	assert.Equal(t, s.Schema.Customer("petra-build").Weight, before)
	assert.Equal(t, next.Schema.Customer("petra-build").Weight, 7)
}

func TestWithdrawnChangeNeverTakesEffect(t *testing.T) {
	s := filled(t)
	late := encode(t, &Change{ID: "late", After: 1, Edits: []Edit{weight(s, 7)}})
	s, _ = s.Fold(2, encode(t, &Change{ID: "late", After: 1, Withdraw: true}))
	s, o := s.Fold(3, late)
	assert.Equal(t, o.Status, Duplicate)
	assert.Equal(t, s.Schema.Customer("petra-build").Weight, 1)
}

func TestLateWriteAfterForgettingIsVoid(t *testing.T) {
	s := filled(t)
	invalid := encode(t, &Change{ID: "late", After: 1, Edits: []Edit{{Object: "call/new", Body: []byte(
		`{"name":"new","pipeline":"later","deadline":"1s","max_body_bytes":1,"max_answer_bytes":1,"key_required":false,"objective":0.9}`)}}})
	s, o := s.Fold(2, invalid)
	assert.Equal(t, o.Status, Invalid)
	pipeline, _ := s.Object("pipeline/question")
	body := strings.Replace(string(pipeline.Body), `"question"`, `"later"`, 1)
	s, o = s.Fold(3, encode(t, &Change{ID: "b", After: 2, Edits: []Edit{{Object: "pipeline/later", Body: []byte(body)}}}))
	assert.Equal(t, o.Status, Accepted, "%v", o.Mistakes)
	for s.Offset < Window+10 {
		s, _ = s.Fold(s.Offset+1, []byte("{}"))
	}
	_, known := s.Outcome("late")
	assert.Assert(t, !known)
	_, o = s.Fold(s.Offset+1, invalid)
	assert.Equal(t, o.Status, Expired)
}

func TestCreatedAgainOnlyOnTombstone(t *testing.T) {
	s := filled(t)
	create := Edit{Object: "customer/new", Body: []byte(`{"name":"new","key_sha256":"` + strings.Repeat("0", 64) + `","weight":1,"calls":null}`)}
	late := encode(t, &Change{ID: "copy", After: 1, Edits: []Edit{create}})
	s, o := s.Fold(2, encode(t, &Change{ID: "create", After: 1, Edits: []Edit{create}}))
	assert.Equal(t, o.Status, Accepted, "%v", o.Mistakes)
	s, o = s.Fold(3, encode(t, &Change{ID: "delete", After: 2, Edits: []Edit{remove(s, "customer/new")}}))
	assert.Equal(t, o.Status, Accepted)
	_, o = s.Fold(4, late)
	assert.Equal(t, o.Status, Conflict)
	assert.Equal(t, o.ConflictVersion, uint64(3))
	create.Base = 3
	_, o = s.Fold(4, encode(t, &Change{ID: "again", After: 3, Edits: []Edit{create}}))
	assert.Equal(t, o.Status, Accepted)
}

func TestBadCheckpointsAreRefused(t *testing.T) {
	s := filled(t)
	record, err := s.EncodeCheckpoint()
	assert.NilError(t, err)
	good, err := decompress(record)
	assert.NilError(t, err)
	for name, data := range map[string]string{
		"cut record":     string(record[:len(record)/2]),
		"cut":            string(good[:len(good)/2]),
		"content":        strings.Replace(string(good), `"weight":4`, `"weight":5`, 1),
		"version":        strings.Replace(string(good), `"version":1`, `"version":9`, 1),
		"a change":       `{"change":{"id":"a","author":"","after":0}}`,
		"invalid schema": strings.Replace(string(good), `"weight":4`, `"weight":0`, 1),
	} {
		_, err := DecodeCheckpoint([]byte(data))
		assert.ErrorIs(t, err, ErrCheckpoint, name)
	}
	got, err := DecodeCheckpoint(record)
	assert.NilError(t, err)
	assert.Equal(t, got.Digest(), s.Digest())
	assert.DeepEqual(t, got.Schema, s.Schema)
}

func TestBodiesAreKeptWithDefaults(t *testing.T) {
	s := filled(t)
	body := `{"name":"new","pipeline":"question","deadline":"1s"}`
	s, o := s.Fold(2, encode(t, &Change{ID: "a", Edits: []Edit{{Object: "call/new", Body: []byte(body)}}}))
	assert.Equal(t, o.Status, Accepted, "%v", o.Mistakes)
	want, err := FromSchema(s.Schema)
	assert.NilError(t, err)
	assert.Equal(t, len(Diff(s.AllObjects(), want)), 0)
}
