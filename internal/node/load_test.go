package node

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// TestPlainRequestsGoToShorterQueues guards against requests that wait at a server that reports
// a long queue, also at an entry that has been restarted, and against servers that get another
// share without reports or with reports that are not valid: the first one gets all.
func TestPlainRequestsGoToShorterQueues(t *testing.T) {
	for _, tt := range []struct {
		loads    [2]string
		min, max int
	}{
		{[2]string{"4,16,4", "1,0,4"}, 1, 20},
		{[2]string{"4,16,0", "none"}, 60, 60},
	} {
		f := newFleet(t)
		for i, load := range tt.loads {
			f.startServer("plain", fmt.Sprint("plain", i), 0).SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
				standin.SetLoad(w.Header(), load)
				return false
			})
		}
		f.putConfig()
		for start := range 2 {
			e := f.startEntry("e1", 0).waitReady()
			for i := range 30 {
				got := e.do(keyedCall(standin.PathUnsafe, fmt.Sprint("r", start, ".", i), "key-1"))
				assert.Equal(t, got.status, http.StatusOK, got.body)
			}
			e.stop()
			<-e.done
		}
		n := len(f.servers["plain0"].ExecutedRequests())
		assert.Assert(t, n >= tt.min && n <= tt.max, "%v: %d of 60", tt.loads, n)
	}
}
