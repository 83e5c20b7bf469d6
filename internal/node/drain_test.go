package node

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// TestNoRequestIsCutAtTheEndOfTheDrain guards against an entry that still accepts requests
// when its time to stop is nearly over, and ends while servers run them: under a steady load
// it is never without one.
func TestNoRequestIsCutAtTheEndOfTheDrain(t *testing.T) {
	const (
		clientCount = 8
		runTime     = 200 * time.Millisecond
	)
	f := newFleet(t)
	f.startServer("plain", "p1", 0).SetDelay(runTime)
	f.putConfig()
	f.shutdownGrace = shutdownReserve + 2*time.Second
	e := f.startEntry("e1", 0).waitReady()

	var clients sync.WaitGroup
	var answered, refused atomic.Int64
	for i := range clientCount {
		clients.Go(func() {
			// Clients in step would all be without an answer at the same moments.
			time.Sleep(time.Duration(i) * runTime / clientCount)
			for n := 0; ; n++ {
				got := e.do(keyedCall(standin.PathUnsafe, fmt.Sprint("r", i, ".", n), "key-1"))
				select {
				case <-e.done:
					return
				default:
				}
				assert.Check(t, got.err)
				if got.status == http.StatusOK {
					answered.Add(1)
					continue
				}
				assert.Check(t, got.status == http.StatusServiceUnavailable, got.body)
				refused.Add(1)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	eventually(t, "requests are served", func() bool { return answered.Load() >= 8 })
	e.stop()
	<-e.done
	left := e.gateway.InFlight()
	clients.Wait()
	assert.Equal(t, left, int64(0), "the process ends with requests at work")
	assert.Assert(t, refused.Load() > 0)
}
