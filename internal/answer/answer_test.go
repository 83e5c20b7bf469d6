package answer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

func TestRecordGrowsUntilItsLastEvent(t *testing.T) {
	bytes := 0
	r := New(Options{RequestID: "e~1", Grew: func(n int) { bytes += n }})
	_, changed, complete := r.After(0)
	assert.Assert(t, !complete)
	r.Append(KindChunk, ChunkData{Stage: "s", Text: "a"})
	<-changed
	r.Append(KindDone, DoneData{Chunks: 1, Checksum: "x"})
	r.Append(KindChunk, ChunkData{Stage: "s", Text: "late"})
	events, _, complete := r.After(1)
	assert.Assert(t, complete)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, string(events[0].Data), `{"stage":"s","text":"a"}`)
	assert.Equal(t, r.Len(), uint64(3))
	assert.Equal(t, r.Bytes(), bytes)
	events, _, _ = r.After(9)
	assert.Equal(t, len(events), 0)
}

func TestRecordIsAbandonedOnlyWithoutReaders(t *testing.T) {
	abandoned := make(chan bool, 2)
	r := New(Options{RequestID: "e~1", Window: time.Millisecond, Abandoned: func() { abandoned <- true }})
	first, second := r.Open(), r.Open()
	first(false)
	second(false)
	<-abandoned
	again := r.Open()
	r.Append(KindDone, DoneData{})
	again(true)
	assert.Equal(t, len(abandoned), 0)
}

func TestRecordIsDeliveredOnce(t *testing.T) {
	delivered := 0
	r := New(Options{RequestID: "e~1", Delivered: func() { delivered++ }})
	r.Append(KindDone, DoneData{})
	r.Open()(false)
	r.Open()(true)
	r.Open()(true)
	assert.Equal(t, delivered, 1)
}

func TestErrorBodyIsInvertible(t *testing.T) {
	e := &result.Error{
		Code: result.Overloaded, Message: "m", Ran: result.RanYes, Effects: result.RanNo, RetryAfter: 250 * time.Millisecond,
	}
	assert.DeepEqual(t, ErrorBody("e~1", e).Err(), e)
}
