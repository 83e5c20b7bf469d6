package configlog

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/gzipped"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// exampleObjects returns the objects of the example schema.
func exampleObjects(t testing.TB) []Object {
	text, err := os.ReadFile("../../examples/qasr/schema.toml")
	assert.NilError(t, err)
	s, err := schema.Parse(text)
	assert.NilError(t, err)
	list, err := FromSchema(s)
	assert.NilError(t, err)
	return list
}

// mustEncode returns the record of a change.
func mustEncode(t assert.TestingT, c *Change) []byte {
	data, err := EncodeChange(c)
	assert.NilError(t, err)
	return data
}

// exampleSnapshot returns a snapshot with the example schema applied at offset 1.
func exampleSnapshot(t testing.TB) *Snapshot {
	c := &Change{ID: "first", Author: "test", Edits: Diff(nil, exampleObjects(t))}
	s, o := Empty().Apply(1, mustEncode(t, c))
	assert.Equal(t, o.Status, Accepted, "%v", o.ValidationErrors)
	return s
}

// weightEdit returns an edit that sets the weight of the customer petra-build.
func weightEdit(s *Snapshot, n int) Edit {
	o, _ := s.Object("customer/petra-build")
	before, rest, _ := strings.Cut(string(o.Body), `"weight":`)
	_, after, _ := strings.Cut(rest, "}")
	body := fmt.Sprintf(`%s"weight":%d}%s`, before, n, after)
	return Edit{Object: o.Name, BaseVersion: o.Version, Body: []byte(body)}
}

// deleteEdit returns an edit that deletes the object with the given name.
func deleteEdit(s *Snapshot, name string) Edit {
	o, _ := s.Object(name)
	return Edit{Object: name, BaseVersion: o.Version, Delete: true}
}

func TestApplyOutcomes(t *testing.T) {
	s := exampleSnapshot(t)
	pool := `{"name":"encoders","kind":"encoder","concurrency":0,"queue":64,"fencing":false,"models":null}`
	for _, tc := range []struct {
		name   string
		data   []byte
		status Status
		path   string
	}{
		{"accepted", mustEncode(t, &Change{ID: "a", Edits: []Edit{weightEdit(s, 2)}}), Accepted, ""},
		{"outdated base version", mustEncode(t, &Change{ID: "a", Edits: []Edit{{Object: "limits", BaseVersion: 0, Body: []byte(`{}`)}}}), Conflict, ""},
		{"repeated id", mustEncode(t, &Change{ID: "first", Edits: []Edit{weightEdit(s, 2)}}), Duplicate, ""},
		{"zero capacity", mustEncode(t, &Change{ID: "a", Edits: []Edit{{Object: "pool/encoders", BaseVersion: 1, Body: []byte(pool)}}}), Invalid, "pool.encoders.concurrency"},
		{"unknown key", mustEncode(t, &Change{ID: "a", Edits: []Edit{{Object: "region/x", Body: []byte(`{"name":"x","zones":["x-1"],"color":1}`)}}}), Invalid, "region/x"},
		{"name in body differs", mustEncode(t, &Change{ID: "a", Edits: []Edit{{Object: "region/x", Body: []byte(`{"name":"y","zones":["x-1"]}`)}}}), Invalid, "region/x"},
		{"unknown kind", mustEncode(t, &Change{ID: "a", Edits: []Edit{{Object: "realm/x", Body: []byte(`{}`)}}}), Invalid, "realm/x"},
		{"object edited twice", mustEncode(t, &Change{ID: "a", Edits: []Edit{weightEdit(s, 2), weightEdit(s, 3)}}), Invalid, "customer/petra-build"},
		{"body and delete", mustEncode(t, &Change{ID: "a", Edits: []Edit{{Object: "limits", BaseVersion: 1, Body: []byte(`{}`), Delete: true}}}), Invalid, "limits"},
		{"delete pool in use", mustEncode(t, &Change{ID: "a", Edits: []Edit{deleteEdit(s, "pool/encoders")}}), Invalid, "pipeline.dossier.stage.encode.pool"},
		{"delete object that does not exist", mustEncode(t, &Change{ID: "a", Edits: []Edit{deleteEdit(s, "pool/none")}}), Invalid, "pool/none"},
		{"no edits", mustEncode(t, &Change{ID: "a"}), Invalid, "edits"},
		{"no id", mustEncode(t, &Change{Edits: []Edit{weightEdit(s, 2)}}), Invalid, "id"},
		{"base offset not before the record", mustEncode(t, &Change{ID: "a", BaseOffset: 2, Edits: []Edit{weightEdit(s, 2)}}), Invalid, "after"},
		{"withdrawn", mustEncode(t, &Change{ID: "a", Withdraw: true}), Withdrawn, ""},
		{"not JSON", []byte("change"), Malformed, "record"},
		{"neither change nor checkpoint", []byte("{}"), Malformed, "record"},
		{"trailing data", []byte(`{"change":{"id":"a","author":"","after":0}} {}`), Malformed, "record"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			next, o := s.Apply(2, tc.data)
			assert.Equal(t, o.Status, tc.status, "%v", o.ValidationErrors)
			assert.Equal(t, next.Offset, uint64(2))
			assert.Equal(t, next.Digest() != s.Digest(), tc.status == Accepted)
			if tc.path != "" {
				assert.Equal(t, o.ValidationErrors[0].Path, tc.path)
			}
			if tc.status == Conflict {
				assert.Equal(t, o.ConflictVersion, uint64(1))
			}
		})
	}
}

func TestApplyDoesNotModifySnapshot(t *testing.T) {
	s := exampleSnapshot(t)
	before := s.Schema.Customer("petra-build").Weight
	next, o := s.Apply(2, mustEncode(t, &Change{ID: "a", Edits: []Edit{weightEdit(s, 7)}}))
	assert.Equal(t, o.Status, Accepted)
	assert.Equal(t, s.Schema.Customer("petra-build").Weight, before)
	assert.Equal(t, next.Schema.Customer("petra-build").Weight, 7)
}

// TestWithdrawnChangeNeverTakesEffect guards against a delayed append: the record of
// a change reaches the log after the record that withdraws it.
func TestWithdrawnChangeNeverTakesEffect(t *testing.T) {
	s := exampleSnapshot(t)
	lateChange := mustEncode(t, &Change{ID: "late", BaseOffset: 1, Edits: []Edit{weightEdit(s, 7)}})
	s, _ = s.Apply(2, mustEncode(t, &Change{ID: "late", BaseOffset: 1, Withdraw: true}))
	s, o := s.Apply(3, lateChange)
	assert.Equal(t, o.Status, Duplicate)
	assert.Equal(t, s.Schema.Customer("petra-build").Weight, 1)
}

// TestLateChangeExpiresAfterOutcomeIsDiscarded appends a change again that was
// invalid and would be valid now, after its outcome was discarded. Without expiry
// the change would be accepted although it was reported as invalid.
func TestLateChangeExpiresAfterOutcomeIsDiscarded(t *testing.T) {
	s := exampleSnapshot(t)
	invalid := mustEncode(t, &Change{ID: "late", BaseOffset: 1, Edits: []Edit{{Object: "call/new", Body: []byte(
		`{"name":"new","pipeline":"later","deadline":"1s","max_body_bytes":1,"max_answer_bytes":1,"key_required":false,"objective":0.9}`)}}})
	s, o := s.Apply(2, invalid)
	assert.Equal(t, o.Status, Invalid)
	pipeline, _ := s.Object("pipeline/question")
	body := strings.Replace(string(pipeline.Body), `"question"`, `"later"`, 1)
	s, o = s.Apply(3, mustEncode(t, &Change{ID: "b", BaseOffset: 2, Edits: []Edit{{Object: "pipeline/later", Body: []byte(body)}}}))
	assert.Equal(t, o.Status, Accepted, "%v", o.ValidationErrors)
	for s.Offset < ChangeWindow+10 {
		s, _ = s.Apply(s.Offset+1, []byte("{}"))
	}
	_, found := s.Outcome("late")
	assert.Assert(t, !found)
	_, o = s.Apply(s.Offset+1, invalid)
	assert.Equal(t, o.Status, Expired)
}

// TestRecreateRequiresTombstoneVersion guards against a delayed append that creates
// an object again after it was created and deleted.
func TestRecreateRequiresTombstoneVersion(t *testing.T) {
	s := exampleSnapshot(t)
	create := Edit{Object: "customer/new", Body: []byte(`{"name":"new","key_sha256":"` + strings.Repeat("0", 64) + `","weight":1,"calls":null}`)}
	lateChange := mustEncode(t, &Change{ID: "copy", BaseOffset: 1, Edits: []Edit{create}})
	s, o := s.Apply(2, mustEncode(t, &Change{ID: "create", BaseOffset: 1, Edits: []Edit{create}}))
	assert.Equal(t, o.Status, Accepted, "%v", o.ValidationErrors)
	s, o = s.Apply(3, mustEncode(t, &Change{ID: "delete", BaseOffset: 2, Edits: []Edit{deleteEdit(s, "customer/new")}}))
	assert.Equal(t, o.Status, Accepted)
	_, o = s.Apply(4, lateChange)
	assert.Equal(t, o.Status, Conflict)
	assert.Equal(t, o.ConflictVersion, uint64(3))
	create.BaseVersion = 3
	_, o = s.Apply(4, mustEncode(t, &Change{ID: "again", BaseOffset: 3, Edits: []Edit{create}}))
	assert.Equal(t, o.Status, Accepted)
}

func TestInvalidCheckpointsAreRejected(t *testing.T) {
	s := exampleSnapshot(t)
	record, err := s.EncodeCheckpoint()
	assert.NilError(t, err)
	valid, err := gzipped.Decompress(record, maxRecordBytes)
	assert.NilError(t, err)
	for name, data := range map[string]string{
		"truncated record":     string(record[:len(record)/2]),
		"truncated":            string(valid[:len(valid)/2]),
		"modified content":     strings.Replace(string(valid), `"weight":4`, `"weight":5`, 1),
		"version above offset": strings.Replace(string(valid), `"version":1`, `"version":9`, 1),
		"change record":        `{"change":{"id":"a","author":"","after":0}}`,
		"invalid schema":       strings.Replace(string(valid), `"weight":4`, `"weight":0`, 1),
	} {
		_, err := DecodeCheckpoint([]byte(data))
		assert.ErrorIs(t, err, ErrInvalidCheckpoint, name)
	}
	got, err := DecodeCheckpoint(record)
	assert.NilError(t, err)
	assert.Equal(t, got.Digest(), s.Digest())
	assert.DeepEqual(t, got.Schema, s.Schema)
}

func TestBodiesAreStoredWithDefaults(t *testing.T) {
	s := exampleSnapshot(t)
	body := `{"name":"new","pipeline":"question","deadline":"1s"}`
	s, o := s.Apply(2, mustEncode(t, &Change{ID: "a", Edits: []Edit{{Object: "call/new", Body: []byte(body)}}}))
	assert.Equal(t, o.Status, Accepted, "%v", o.ValidationErrors)
	want, err := FromSchema(s.Schema)
	assert.NilError(t, err)
	assert.Equal(t, len(Diff(s.AllObjects(), want)), 0)
}
