package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/eventstream"
)

// TestInvalidContinuationLeavesTheStreamResumable guards against a server whose answer does not
// continue a stream also preventing others from it: nothing of the answer counts as a part of the
// stream.
func TestInvalidContinuationLeavesTheStreamResumable(t *testing.T) {
	w := httptest.NewRecorder()
	r := newTestRelay(w)
	relayed := func(body string) error {
		return r.copy(t.Context(), chunkedResponse(strings.NewReader(body)), nil)
	}
	firstBytes := 0
	assert.ErrorIs(t, relayed("id: 1\n\nid: 2\nda"), errEndsWithinEvent)
	err := r.copy(t.Context(), chunkedResponse(strings.NewReader("internal error\n\n")), func() { firstBytes++ })
	assert.ErrorIs(t, err, eventstream.ErrNotAField)
	assert.Equal(t, firstBytes, 0, "an invalid answer counts as the first event")
	assert.Assert(t, r.canContinue())
	assert.ErrorIs(t, relayed(""), errNoEvent, "event 2 is due")
	assert.ErrorIs(t, relayed("id: 2\n\nid: 1\n\n"), eventstream.ErrIDNotRising)
	assert.Assert(t, r.canContinue())
	assert.Equal(t, r.lastID, "2")
	plain := chunkedResponse(strings.NewReader("id: 3\n\n"))
	plain.Header.Set("Content-Type", "text/plain")
	assert.ErrorIs(t, r.copy(t.Context(), plain, nil), errNotEventStream)
	assert.Assert(t, r.canContinue())
	encoded := chunkedResponse(strings.NewReader("id: 3\n\n"))
	encoded.Header.Set("Content-Encoding", "gzip")
	assert.ErrorIs(t, r.copy(t.Context(), encoded, nil), errNotEventStream)
	assert.NilError(t, relayed(""), "an invalid answer does not show that an event is missing")
	assert.NilError(t, relayed("id: 3\n\n"))
	awaitDelivery(t, r)
	assert.Equal(t, w.Body.String(), "id: 1\n\nid: 2\n\nid: 3\n\n")
	assert.Equal(t, r.events, 3)
}

// TestStreamAfterCommentsOnlyBeginsWithAnyEvent guards against the first event being required to
// rise if the earlier attempt forwarded comments only.
func TestStreamAfterCommentsOnlyBeginsWithAnyEvent(t *testing.T) {
	w := httptest.NewRecorder()
	r := newTestRelay(w)
	assert.ErrorIs(t, r.copy(t.Context(), chunkedResponse(strings.NewReader(": alive\n\nid: 1\nda")), nil), errEndsWithinEvent)
	assert.Assert(t, r.started)
	assert.NilError(t, r.copy(t.Context(), chunkedResponse(strings.NewReader("id: 1\n\n")), nil))
	awaitDelivery(t, r)
	assert.Equal(t, w.Body.String(), ": alive\n\nid: 1\n\n")
}

// TestResponseHeadEndsTheFirstAttempt guards against a second response, which a server sends after
// one that ends with its connection, being forwarded as events of the first one.
func TestResponseHeadEndsTheFirstAttempt(t *testing.T) {
	w := httptest.NewRecorder()
	r := newTestRelay(w)
	body := "id: 1\n\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	assert.ErrorIs(t, r.copy(t.Context(), untilCloseResponse(strings.NewReader(body)), nil), eventstream.ErrNotAField)
	awaitDelivery(t, r)
	assert.Equal(t, w.Body.String(), "id: 1\n\n")
	assert.Assert(t, r.canContinue())
}
