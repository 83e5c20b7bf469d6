package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// cutAnswers are the answers whose heads are cut: a success with a length and one without, and
// refusals.
func cutAnswers() []string {
	notRun := http.Header{"Retry-After": {"1"}, "Content-Length": {"0"}}
	standin.SetNotExecuted(notRun)
	var lines strings.Builder
	_ = notRun.Write(&lines)
	return []string{
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\n" + lines.String() + "\r\n",
		"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	}
}

// TestCutHeadIsTheEndOfItsConnection guards against a server that ends within the head of its answer
// not counting as one that its request may have ended, and against the head counting as an answer:
// as results, as freed results, as an empty cache, or as a refusal of a call that runs.
func TestCutHeadIsTheEndOfItsConnection(t *testing.T) {
	for i, head := range cutAnswers() {
		for _, end := range cutserver.Ends {
			t.Run(fmt.Sprintf("answer %d, %s", i, end), func(t *testing.T) {
				t.Parallel()
				var length atomic.Int32
				address := cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
					return cutserver.Answer{Bytes: head[:length.Load()], End: end}
				})
				for n := range len(head) {
					length.Store(int32(n))
					checkCallsFail(t, address, head[:n])
				}
			})
		}
	}
}

// checkCallsFail checks that all calls to a server fail.
func checkCallsFail(t *testing.T, address, part string) {
	client := upstream.New()
	stages := &StageClient{Client: client, Bodies: NewBodyBudget(0), AcceptsRequests: func(string) bool { return true }}
	server := staging.Server{ID: "s", Address: address}
	result, err := stages.Run(t.Context(), staging.Call{Server: server, Items: make([]staging.Item, 1)})
	assert.Assert(t, err != nil, "%q", part)
	assert.Equal(t, result.Status, staging.Interrupted, "%q", part)
	_, err = stages.Free(t.Context(), staging.FreeRequest{Server: server, Handles: []string{"h"}})
	assert.Assert(t, err != nil, "%q", part)
	g := &Gateway{Options: Options{Upstream: client}}
	_, err = g.readCache(t.Context(), platform.Server{ID: "s", Address: address})
	assert.Assert(t, err != nil, "%q", part)
	_, err = client.Do(t.Context(), &upstream.Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h"})
	assert.Assert(t, connectionEnded(err), "%q: %v", part, err)
}
