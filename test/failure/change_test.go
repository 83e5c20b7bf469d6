package failure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"
)

// contendedObject is the object that the tests change. Each change sets a different weight,
// which identifies it.
const contendedObject = "customer/gulf-towers"

// object holds the fields of a configuration object that the tests use.
type object struct {
	Version uint64          `json:"version"`
	Body    json.RawMessage `json:"body"`
}

func (o object) weight(t *testing.T) int {
	t.Helper()
	var c struct{ Weight int }
	assert.NilError(t, json.Unmarshal(o.Body, &c))
	return c.Weight
}

// object reads a configuration object from an entry.
func (f *fleet) object(entry int, name string) object {
	f.t.Helper()
	var o object
	assert.NilError(f.t, f.GetAdmin(f.ctx, f.Entries[entry], "/admin/v1/config/objects/"+name, &o))
	return o
}

// changeReply is the response to a change of the configuration.
type changeReply struct {
	status int
	Code   result.Code `json:"code"`
	Change string      `json:"change"`
	Offset uint64      `json:"offset"`
	Object string      `json:"object"`
	// Version is the version of the object that won a conflict.
	Version      uint64 `json:"version"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// setWeight changes the weight of contendedObject, based on the version in base.
func (f *fleet) setWeight(entry int, base object, weight int) changeReply {
	f.t.Helper()
	var body map[string]any
	assert.NilError(f.t, json.Unmarshal(base.Body, &body))
	body["weight"] = weight
	text, err := json.Marshal(body)
	assert.NilError(f.t, err)
	return f.postChange(entry, fmt.Sprintf(`{"edits":[{"object":%q,"base":%d,"body":%s}]}`, contendedObject, base.Version, text))
}

// postChange posts a change to an entry's admin API and returns the decoded response.
func (f *fleet) postChange(entry int, body string) changeReply {
	f.t.Helper()
	url := f.Entries[entry].AdminURL + "/admin/v1/config/changes"
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, url, bytes.NewBufferString(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+harness.AdminKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	reply := changeReply{status: resp.StatusCode}
	assert.NilError(f.t, json.Unmarshal(text, &reply), "%s", text)
	return reply
}

// awaitOffsetEverywhere waits until the configuration up to the offset is in force at every
// entry and agent.
func (f *fleet) awaitOffsetEverywhere(offset uint64) {
	f.t.Helper()
	out, err := f.Mwctl(f.ctx, "config", "wait", "--admin", f.Entries[0].AdminURL, "--key", harness.AdminKey,
		"--offset", fmt.Sprint(offset), "--timeout", waitTimeout.String())
	assert.NilError(f.t, err, "%s", out)
	for _, i := range slices.Concat(f.Entries, f.Agents) {
		assert.Assert(f.t, strings.Contains(string(out), i.ID), "%s is not in\n%s", i.ID, out)
	}
}

// TestConflictReportsWinningVersion repeatedly changes one object at both entries, based on
// the same version. Exactly one change is accepted each time, and the other one gets a
// conflict that names the winning version.
func TestConflictReportsWinningVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	weight := 10
	for range 8 {
		base := f.object(0, contendedObject)
		f.await("the base at the other entry", func() bool { return f.object(1, contendedObject).Version == base.Version })
		replies := make(chan changeReply, 2)
		for entry := range 2 {
			weight++
			go func(weight int) { replies <- f.setWeight(entry, base, weight) }(weight)
		}
		first, second := <-replies, <-replies
		if first.status != http.StatusOK {
			first, second = second, first
		}
		assert.Equal(t, first.status, http.StatusOK, "%+v %+v", first, second)
		assert.Equal(t, second.Code, result.ConfigConflict, "%+v", second)
		assert.Equal(t, second.Object, contendedObject)
		assert.Equal(t, second.Version, first.Offset)
		f.awaitOffsetEverywhere(first.Offset)
		assert.Equal(t, f.object(0, contendedObject).Version, first.Offset)
	}
	f.sendUntilComplete("draft", 0, withStream)
	f.checkOutcomes()
}

// TestChangesUnderFaults makes a change during each fault. After the fault, an accepted
// change is in force at all instances, and a refused one is not.
func TestChangesUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name       string
		begin, end func(f *fleet)
		// codes are the codes that are allowed if the change is not accepted.
		codes []result.Code
		// accepted reports whether the change must be accepted.
		accepted bool
	}{
		{"log down", setFaults(spec.KindPlatformLog, map[string]any{"down": true}), resetFaults(spec.KindPlatformLog), []result.Code{result.ConfigUnavailable}, false},
		{"log slow", setFaults(spec.KindPlatformLog, map[string]any{"delay_ms": 400}), resetFaults(spec.KindPlatformLog), nil, true},
		{"answer lost after the write took effect", setFaults(spec.KindPlatformLog, map[string]any{"drop_answers": 1}), func(*fleet) {}, nil, true},
		{"write applied late", setFaults(spec.KindPlatformLog, map[string]any{"late_writes": 1, "late_write_ms": 800}), func(*fleet) {},
			[]result.Code{result.ConfigUnavailable, result.ConfigUnknown}, false},
		{"log's open connections silent", setFaults(spec.KindPlatformLog, map[string]any{"silence": true}), func(*fleet) {},
			[]result.Code{result.ConfigUnavailable, result.ConfigUnknown}, false},
		{"answer lost while the other entry is frozen",
			func(f *fleet) {
				assert.NilError(f.t, f.Entries[1].Freeze())
				f.control(map[string]any{"drop_answers": 1}, spec.KindPlatformLog)
			},
			func(f *fleet) { assert.NilError(f.t, f.Entries[1].Resume()) }, nil, true},
		{"list down", setFaults(spec.KindInstanceList, map[string]any{"down": true}), resetFaults(spec.KindInstanceList), nil, true},
		{"other entry and an agent frozen",
			func(f *fleet) {
				assert.NilError(f.t, f.Entries[1].Freeze())
				freezeAgent("services-1")(f)
			},
			func(f *fleet) {
				assert.NilError(f.t, f.Entries[1].Resume())
				resumeAgent("services-1")(f)
			}, nil, true},
		{"other entry and an agent killed",
			func(f *fleet) {
				f.Entries[1].Kill()
				killAgent("services-1")(f)
			},
			func(f *fleet) {
				assert.NilError(f.t, f.Restart(f.Entries[1]))
				restartAgent("services-1")(f)
			}, nil, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			base := f.object(0, contendedObject)
			tc.begin(f)
			reply := f.setWeight(0, base, 77)
			accepted := reply.status == http.StatusOK
			if !accepted {
				assert.Assert(t, slices.Contains(tc.codes, reply.Code), "%+v", reply)
			}
			assert.Assert(t, accepted || !tc.accepted, "%+v", reply)
			f.sendUntilComplete("draft", 0, withStream)
			tc.end(f)
			assert.NilError(t, f.WaitReady(f.ctx))
			acceptedVersion := f.awaitAcceptedChange(base, reply)
			f.awaitOffsetEverywhere(acceptedVersion)
			for entry := range f.Entries {
				o := f.object(entry, contendedObject)
				assert.Equal(t, o.Version, acceptedVersion, "entry %d", entry)
				if accepted {
					assert.Equal(t, o.weight(t), 77)
				}
			}
			f.sendUntilComplete("draft", 1, withStream)
			f.checkOutcomes()
		})
	}
}

// awaitAcceptedChange returns the version of contendedObject after the change with the
// given reply. If that change was not accepted, it tries another one until that is accepted
// or conflicts with the first one.
func (f *fleet) awaitAcceptedChange(base object, reply changeReply) uint64 {
	f.t.Helper()
	if reply.status == http.StatusOK {
		return reply.Offset
	}
	var retry changeReply
	f.await("a change after the fault", func() bool {
		retry = f.setWeight(0, base, 88)
		return retry.status == http.StatusOK || retry.Code == result.ConfigConflict
	})
	if retry.status == http.StatusOK {
		return retry.Offset
	}
	// The conflict is with the first change, whose outcome was unknown and which took
	// effect.
	assert.Equal(f.t, reply.Code, result.ConfigUnknown, "%+v, then %+v", reply, retry)
	return retry.Version
}
