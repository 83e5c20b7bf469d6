package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// releaseRounds is the number of releases of the model servers in one run. On a busy machine
	// no stream may be open at a loss, so there are more until one was taken up, at most
	// maxReleaseRounds.
	releaseRounds    = 3
	maxReleaseRounds = 12
	// releaseDelay is the time that a model server takes before each event, so that many
	// streams are open when the entries are lost.
	releaseDelay = 80 * time.Millisecond
	// maxReleaseOffset is the longest time between the end of the old servers and the loss of
	// all entries, either way.
	maxReleaseOffset = 400 * time.Millisecond
	// maxReleaseDowntime is the longest time without any entry.
	maxReleaseDowntime = 600 * time.Millisecond
	// resumeFor is how long callers try to take up a stream.
	resumeFor = 3 * time.Second
)

// TestReleaseUnderLossOfAllEntries guards against answers that are joined from two software
// versions: the model servers are replaced by newer ones while all entries are lost at once,
// and callers take up the streams that broke off. Callers check that all events of an answer
// name one version.
func TestReleaseUnderLossOfAllEntries(t *testing.T) {
	list, _ := seeds(t)
	for _, seed := range list {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, entryCount)
			l := &requestLog{}
			in := newInjector(f, seed)
			rng := rand.New(rand.NewPCG(seed, 3))
			stop := startResumingCallers(f, l, seed+3, timeoutUnderFaults, resumeFor)
			for round := 0; round < releaseRounds || round < maxReleaseRounds && !l.hasResumed(); round++ {
				f.releaseUnderLoss(in, rng, fmt.Sprint("v", round+len(softwareVersions)+1))
			}
			for _, e := range f.entries {
				e.waitUntilReady()
			}
			stop()
			checkInvariants(t, f, in, l)
			resumed, continued := countResumed(l.requests)
			if resumed == 0 {
				t.Error("no stream was taken up: the run tests nothing")
			}
			t.Logf("%d streams taken up by callers, %d of them continued", resumed, continued)
		})
	}
}

// hasResumed reports whether a caller has taken up a stream.
func (l *requestLog) hasResumed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	resumed, _ := countResumed(l.requests)
	return resumed > 0
}

// releaseUnderLoss replaces all model servers by ones of a new version, and kills and restarts
// all entries around the end of the old ones. The store may lose its history meanwhile.
func (f *fleet) releaseUnderLoss(in *injector, rng *rand.Rand, version string) {
	old := f.startRelease(version)
	time.Sleep(time.Duration(rng.Int64N(int64(maxReleaseOffset))))
	var wg sync.WaitGroup
	offset := time.Duration(rng.Int64N(int64(2*maxReleaseOffset))) - maxReleaseOffset
	downtime := time.Duration(rng.Int64N(int64(maxReleaseDowntime)))
	expires := rng.IntN(3) == 0
	wg.Go(func() {
		time.Sleep(max(0, offset))
		for _, s := range old {
			f.removeServer(s)
		}
		if expires {
			f.store.ExpireRecords(platform.ServersTopic)
		}
	})
	wg.Go(func() {
		time.Sleep(max(0, -offset))
		_, killAll := in.killAll(downtime)
		killAll()
	})
	wg.Wait()
	time.Sleep(maxReleaseOffset)
}

// startRelease starts a model server of the new version for each old one, and returns those.
func (f *fleet) startRelease(version string) []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var old []*server
	for _, s := range f.activeServers {
		if s.service == "model" {
			old = append(old, s)
		}
	}
	for range old {
		f.startServer("model", version).SetDelay(releaseDelay)
	}
	return old
}
