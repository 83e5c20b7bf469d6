package answer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

func TestNothingIsAppendedAfterLastEvent(t *testing.T) {
	appendedBytes := 0
	r := New(Options{RequestID: "e~1", OnAppend: func(n int) { appendedBytes += n }})
	_, changed, complete := r.EventsAfter(0)
	assert.Assert(t, !complete)
	r.Append(KindChunk, ChunkData{Stage: "s", Text: "a"})
	<-changed
	r.Append(KindDone, DoneData{Chunks: 1, Checksum: "x"})
	r.Append(KindChunk, ChunkData{Stage: "s", Text: "late"})
	events, _, complete := r.EventsAfter(1)
	assert.Assert(t, complete)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, string(events[0].Data), `{"stage":"s","text":"a"}`)
	assert.Equal(t, r.Len(), uint64(3))
	assert.Equal(t, r.Size(), appendedBytes)
	events, _, _ = r.EventsAfter(9)
	assert.Equal(t, len(events), 0)
}

func TestRecordIsAbandonedOnlyWithoutReaders(t *testing.T) {
	abandoned := make(chan bool, 2)
	r := New(Options{RequestID: "e~1", AbandonTimeout: time.Millisecond, OnAbandoned: func() { abandoned <- true }})
	closeFirst, closeSecond := r.OpenReader(), r.OpenReader()
	closeFirst(false)
	closeSecond(false)
	<-abandoned
	closeThird := r.OpenReader()
	r.Append(KindDone, DoneData{})
	closeThird(true)
	assert.Equal(t, len(abandoned), 0)
}

func TestOnDeliveredIsCalledOnce(t *testing.T) {
	delivered := 0
	r := New(Options{RequestID: "e~1", OnDelivered: func() { delivered++ }})
	r.Append(KindDone, DoneData{})
	r.OpenReader()(false)
	r.OpenReader()(true)
	r.OpenReader()(true)
	assert.Equal(t, delivered, 1)
}

func TestErrorDataRoundTrip(t *testing.T) {
	e := &result.Error{
		Code: result.Overloaded, Message: "m", Ran: result.RanYes, Effects: result.RanNo, RetryAfter: 250 * time.Millisecond,
	}
	assert.DeepEqual(t, NewErrorData("e~1", e).ResultError(), e)
}
