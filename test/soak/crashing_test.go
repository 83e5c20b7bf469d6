package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

const (
	// crashingBody is that of the request that ends the servers which run it.
	crashingBody = "body that ends servers"
	// crashedPause is the time from the end of a server to the start of its successor, and
	// repeatPause that between two repeats of the request.
	crashedPause = time.Second
	repeatPause  = 60 * time.Millisecond
	// requestCrashes is the number of servers that may end before the request is held back,
	// spreadTime the time until all entries know, and lateRepeats the number of repeats that
	// may reach servers afterwards.
	requestCrashes = 3
	spreadTime     = 3 * time.Second
	lateRepeats    = 3
)

// crashingService is a service whose servers end when they run one request.
type crashingService struct {
	fleet *fleet
	mu    sync.Mutex
	// ends are the times at which servers ended.
	ends []time.Time
}

func newCrashingService(f *fleet, name string) *crashingService {
	c := &crashingService{fleet: f}
	for _, s := range f.activeServers {
		if s.service == name {
			c.arm(s)
		}
	}
	return c
}

// arm makes a server end when it runs the request. Another one starts some time later.
func (c *crashingService) arm(s *server) {
	var once sync.Once
	s.CrashOnBody(crashingBody, false, func() {
		once.Do(func() {
			c.mu.Lock()
			c.ends = append(c.ends, time.Now())
			c.mu.Unlock()
			s.relay.Close()
			_ = s.Listener.Close()
			time.AfterFunc(crashedPause, func() {
				c.fleet.removeServer(s)
				c.arm(c.fleet.addServer(s.service))
			})
		})
	})
}

// repeat sends the request again and again under new IDs, to random entries, until stop is
// closed.
func (c *crashingService) repeat(l *requestLog, seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 3))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeoutUnderFaults}
	for {
		select {
		case <-stop:
			return
		case <-time.After(repeatPause):
		}
		e := c.fleet.entries[rng.IntN(len(c.fleet.entries))]
		req, err := http.NewRequest(http.MethodPost, "http://"+e.clientRelay.Addr()+standin.PathSafe, strings.NewReader(crashingBody))
		assert.Check(c.fleet.t, err)
		req.Host = standin.Host
		standin.ClientHeader{RequestID: l.newID(), APIKey: "key-0"}.SetOn(req.Header)
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
}

// check checks that the request was held back, and that sound ones were served.
func (c *crashingService) check(t *testing.T, l *requestLog) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for i, at := range c.ends {
		if i >= requestCrashes && at.After(c.ends[requestCrashes-1].Add(spreadTime)) {
			late++
		}
	}
	t.Logf("%d servers ended, %d of them late", len(c.ends), late)
	assert.Check(t, len(c.ends) >= 2, "the request was never run")
	assert.Check(t, late <= lateRepeats)
	served := 0
	for _, r := range l.requests {
		if requestKinds[r.kind].path == standin.PathUnsafe && r.status == http.StatusOK {
			served++
		}
	}
	assert.Check(t, served > len(l.requests)/8, "%d of %d requests are served unsafe ones", served, len(l.requests))
}

// TestCrashingRequestUnderKills guards against a request that ends more servers with each loss
// of an entry, because what the entries knew of it was lost with one of them.
func TestCrashingRequestUnderKills(t *testing.T) {
	list, _ := seeds(t)
	for _, seed := range list {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, entryCount)
			l := &requestLog{}
			waitUntilServing(t, f, l)
			c := newCrashingService(f, "plain")
			stop := make(chan struct{})
			var repeats sync.WaitGroup
			repeats.Go(func() { c.repeat(l, seed, stop) })
			for round := range uint64(3) {
				killInTurn(f, l, seed+round)
			}
			close(stop)
			repeats.Wait()
			checkInvariants(t, f, newInjector(f, seed), l)
			c.check(t, l)
		})
	}
}
