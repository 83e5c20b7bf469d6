package entry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// draftAnswer is the answer of the call "draft" when all agents answer with their
// default chunks.
var draftAnswer = map[string]string{
	"generate": "generate-1 generate-2 generate-3",
	"file":     "file-1 file-2 file-3",
}

func TestRequestRunsThroughAllStages(t *testing.T) {
	b := startTestBench(t)
	r := b.call("draft")
	assert.DeepEqual(t, r.answer(t), draftAnswer)
	assert.Assert(t, r.header.Get("Request-Id") != "")
	assert.Equal(t, string(b.engine.runs()[0].Payload), "encode-1 encode-2 encode-3")
	assert.Equal(t, len(b.filer.runs()), 1)
}

func TestStreamCarriesNumberedEvents(t *testing.T) {
	b := startTestBench(t)
	r := b.call("ask", "Accept", "text/event-stream")
	id := r.header.Get("Request-Id")
	want := `id: 1
event: request
data: {"request_id":"ID"}

id: 2
event: chunk
data: {"stage":"generate","text":"generate-1 "}

id: 3
event: chunk
data: {"stage":"generate","text":"generate-2 "}

id: 4
event: chunk
data: {"stage":"generate","text":"generate-3"}

id: 5
event: done
data: {"chunks":3,"checksum":"SUM"}

`
	sum := fmt.Sprintf("%016x", xxhash.Sum64String(draftAnswer["generate"]))
	assert.Equal(t, strings.NewReplacer(id, "ID", sum, "SUM").Replace(r.body), want)
}
